"""Steps on broken answers of backends in the proxied mode."""

import asyncio
import contextlib
import dataclasses
from types import SimpleNamespace
from unittest import mock

from behave import given, then, when
from returns.result import Success

from standins.raw_answers import Ending, RawAnswerStandIn
from tests.fakes import request_of
from tests.steps.broken_answers import LONGEST_UPLOAD, WAYS, answer_of
from tests.steps.cut_answers import CLIENTS
from tests.steps.platform_running import run
from tests.steps.requests_stream_forms import serve
from tests.steps.requests_streams import FakeResponse
from verbenaward import clock
from verbenaward.data import Verdict
from verbenaward.endpoint import backend
from verbenaward.endpoint.admission import AdmissionGate
from verbenaward.endpoint.backend import BackendCall, BackendClient
from verbenaward.endpoint.run_handler import RunHandler
from verbenaward.requests.attempt import run_attempt
from verbenaward.requests.endpoints import EndpointView
from verbenaward.requests.retries import AttemptHistory
from verbenaward.requests.streams import StreamProgress, StreamRelay
from verbenaward.schema.messages import Member

STREAM = b"data: 1\n\ndata: [DONE]\n\n"
FIELDS = ("Content-Type: text/event-stream", f"Content-Length: {len(STREAM)}")
SECONDS = 3.0
LATE_SECONDS = 0.02
"""Time after a head at which a busy process reads the body."""


@given("a backend of the proxied mode that answers with raw bytes")
def start_raw_backend(context):
    context.raw = RawAnswerStandIn()
    run(context, context.raw.start())
    context.add_cleanup(context.raw.close)


async def ask(context, body):
    """Send a request and a stream through an endpoint process; return the results by kind."""
    async with contextlib.AsyncExitStack() as stack:
        to_backend = await stack.enter_async_context(CLIENTS["proxied backends"]())
        to_endpoint = await stack.enter_async_context(CLIENTS["proxied peers"]())
        handler = RunHandler(
            "vm",
            BackendClient(f"http://{context.raw.address}", to_backend),
            AdmissionGate(4, 4),
            str,
            False,
            None,
            lambda size: None,
            lambda: None,
        )
        view = EndpointView(Member(vm="vm", address=await serve(stack, "POST", handler.serve)))
        request = dataclasses.replace(request_of("w", clock.now() + SECONDS), body=body)
        answer = await run_attempt(to_endpoint, request, view, False, False)
        progress = StreamProgress(response=FakeResponse(), labels=("w", "standard"))
        relay = StreamRelay(SimpleNamespace(session=to_endpoint, take_no_wait=lambda *_: False))
        stream = dataclasses.replace(request, stream=True)
        streamed = await relay.relay(stream, None, view, False, AttemptHistory(), progress)
        return {"request": answer, "stream": streamed}, progress.response.body


def ask_each(context, answers, body=b"{}"):
    """Ask for each answer, and for each way in which it is written."""
    context.outcomes = []
    for context.raw.answer in answers:
        for way, context.raw.cut in WAYS.items():
            context.outcomes.append((context.raw.answer, way, *run(context, ask(context, body))))


@when('it answers a request and a stream with the status line "{line}"')
def answer_with_status_line(context, line):
    ask_each(context, [answer_of((line, *FIELDS), STREAM)])


@then("both are answered")
def both_answered(context):
    for _, _, results, streamed in context.outcomes:
        assert results["request"].unwrap().body == STREAM, results
        assert isinstance(results["stream"], Success), results
        assert streamed == STREAM + b"<end>", streamed


@then("both may have run and have no answer")
def both_may_have_run(context):
    assert context.outcomes
    for answer, way, results, streamed in context.outcomes:
        verdicts = {
            kind: result.swap().value_or(None) and result.failure().refusal.verdict
            for kind, result in results.items()
        }
        assert set(verdicts.values()) == {Verdict.MAY_HAVE_RUN}, (answer, way, results)
        assert not streamed, (answer, way, streamed)


@when(
    "it answers an upload without a length before it reads it, and {end} it, to a process that"
    " reads late"
)
def answer_upload(context, end):
    context.raw.answer = answer_of(("HTTP/1.1 200 OK", FIELDS[0]), STREAM)
    context.raw.ending, context.raw.reads_body = Ending(end), False
    read_at_most = backend.read_at_most

    async def read_late(*arguments):
        await asyncio.sleep(LATE_SECONDS)
        return await read_at_most(*arguments)

    async def send():
        async with CLIENTS["proxied backends"]() as session:
            client = BackendClient(f"http://{context.raw.address}", session)
            body, deadline = b"x" * LONGEST_UPLOAD, clock.now() + SECONDS
            sent = BackendCall("id", "POST", "/", body, "a/b", 0, "", 0, deadline)
            return await client.run(sent, "vm", "")

    with mock.patch.object(backend, "read_at_most", read_late):
        context.result = run(context, send())


@then("the upload may have run")
def upload_may_have_run(context):
    assert context.result.swap().value_or(None), context.result
    assert context.result.failure().verdict is Verdict.MAY_HAVE_RUN, context.result
