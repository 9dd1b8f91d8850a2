"""Middleware that gives every answer to a caller a verdict, also after an unhandled error."""

from collections.abc import Awaitable, Callable

from aiohttp import web

from ..data import Refusal, Verdict
from ..logs import get_logger
from ..requests.parse import request_id_of
from ..requests.refusals import not_run, response_of
from ..requests.streams import STREAMING

LOG = get_logger(__name__)
Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


@web.middleware
async def add_verdicts(request: web.Request, handler: Handler) -> web.StreamResponse:
    """Turn errors of the HTTP library and of handlers into refusals.

    Args:
      request: HTTP request of a caller or of another process.
      handler: The next handler.

    Returns:
      The response of the handler, or a refusal without internal details.
    """
    request_id = request_id_of(request.headers)
    try:
        return await handler(request)
    except web.HTTPException as error:
        if error.status < web.HTTPBadRequest.status_code:
            raise
        return response_of(not_run(error.status, "http", error.reason), request_id)
    except ConnectionError:
        raise
    except Exception as error:
        if request.get(STREAMING):
            raise
        LOG.error("request.failed", path=request.path, error=repr(error))
        message = "internal error of the entry process; the request may have run"
        return response_of(Refusal(Verdict.MAY_HAVE_RUN, 500, "internal", message), request_id)
