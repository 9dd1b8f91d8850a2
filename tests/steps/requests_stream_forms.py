"""Steps on streams that pass an endpoint process and an entry process."""

import contextlib
import dataclasses
from types import SimpleNamespace

import aiohttp
from aiohttp import web
from behave import given, then, when

from tests.fakes import request_of
from tests.steps.requests_streams import FakeResponse
from verbenaward import clock
from verbenaward.endpoint.admission import AdmissionGate
from verbenaward.endpoint.backend import BackendClient
from verbenaward.endpoint.run_handler import RunHandler
from verbenaward.requests.endpoints import EndpointView
from verbenaward.requests.retries import AttemptHistory
from verbenaward.requests.streams import StreamProgress, StreamRelay
from verbenaward.schema.messages import Member

WRITE_BYTES = 7
"""Size of the pieces in which the backend writes, which cut lines and line ends."""


async def serve(stack, method, handler):
    """Serve all paths until the stack is closed; return the address."""
    app = web.Application()
    app.router.add_route(method, "/{path:.*}", handler)
    runner = web.AppRunner(app, access_log=None)
    await runner.setup()
    stack.push_async_callback(runner.cleanup)
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    return f"127.0.0.1:{runner.addresses[0][1]}"


async def relay(body, attempts):
    """Relay the stream of a backend; return the progress and the result of the last attempt."""

    async def answer(request):
        response = web.StreamResponse()
        await response.prepare(request)
        for start in range(0, len(body), WRITE_BYTES):
            await response.write(body[start : start + WRITE_BYTES])
        return response

    progress = StreamProgress(response=FakeResponse(), labels=("w", "standard"))
    async with contextlib.AsyncExitStack() as stack:
        session = await stack.enter_async_context(aiohttp.ClientSession())
        backend = BackendClient(f"http://{await serve(stack, '*', answer)}", session)
        handler = RunHandler(
            "vm", backend, AdmissionGate(4, 4), str, False, None, lambda size: None, lambda: None
        )
        address = await serve(stack, "POST", handler.serve)
        dispatcher = SimpleNamespace(session=session, take_no_wait=lambda *_: False)
        view = EndpointView(Member(vm="vm", address=address))
        request = dataclasses.replace(request_of("w", clock.now() + 5.0), stream=True, body=b"{}")
        for _ in range(attempts):
            result = await StreamRelay(dispatcher).relay(
                request, None, view, False, AttemptHistory(), progress
            )
    return progress, result


def unescaped(text):
    return text.encode().decode("unicode_escape").encode("latin-1")


@given('a backend that sends "{stream}"')
def backend_sends(context, stream):
    context.sent = unescaped(stream)


@when("its stream is relayed by an endpoint process and an entry process")
def relay_stream(context):
    context.progress, context.result = context.loop.run_until_complete(relay(context.sent, 1))


@when("its stream is relayed by an endpoint process and an entry process, and then resumed")
def relay_and_resume(context):
    context.progress, context.result = context.loop.run_until_complete(relay(context.sent, 2))


@then("the caller has all bytes of the backend and the end, with {tokens:d} tokens")
def has_all(context, tokens):
    assert context.progress.response.body == context.sent + b"<end>", context.progress
    assert context.progress.tokens == tokens


@then("the caller has all bytes of the backend and no end, with {tokens:d} tokens")
def has_no_end(context, tokens):
    assert context.progress.response.body == context.sent, context.progress
    assert context.progress.tokens == tokens


@then("the attempt does not count as a crash")
def is_no_crash(context):
    assert not context.progress.crashed
    assert context.result.failure().refusal.reason != "backend-crashed"


@then('the caller has "{stream}"')
def caller_has(context, stream):
    assert context.progress.response.body == unescaped(stream), context.progress
