"""What the HTTP clients add to aiohttp's: no call is sent again by itself.

aiohttp repeats a GET, HEAD, OPTIONS, TRACE, PUT or DELETE whose connection was lost, though the
other side may have acted on it, and reports only the outcome of the second send.
"""

import aiohttp
from aiohttp import ClientHandlerType, ClientRequest, ClientResponse

READ_METHODS = ("GET", "HEAD")


class ConnectionLostError(aiohttp.ClientError):
    """The connection ended after the call was sent and before its answer: it may have run."""


async def send_once(request: ClientRequest, handler: ClientHandlerType) -> ClientResponse:
    """Send a call, once.

    Raises:
      ConnectionLostError: The call may have run.
      ClientConnectorError: No connection was made, so it has not run.
    """
    try:
        return await handler(request)
    except aiohttp.ClientConnectorError:
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise ConnectionLostError(f"{type(error).__name__} {error}") from error


async def send_writes_once(request: ClientRequest, handler: ClientHandlerType) -> ClientResponse:
    """Send a call, once unless it only reads.

    A read may be repeated when a pooled connection turns out to be closed.

    Raises:
      ConnectionLostError: The call may have run.
    """
    if request.method in READ_METHODS:
        return await handler(request)
    return await send_once(request, handler)
