import asyncio
from types import SimpleNamespace

import aiohttp
from aiohttp import web
from behave import given, then, when

from tests.fakes import request_of
from verbenaward import clock
from verbenaward.data import Verdict
from verbenaward.endpoint.admission import AdmissionGate
from verbenaward.endpoint.backend import BackendCall, BackendClient
from verbenaward.endpoint.run_handler import RunHandler, RunRequest
from verbenaward.requests.endpoints import EndpointView
from verbenaward.requests.events import CRASH_EVENT
from verbenaward.requests.retries import AttemptHistory
from verbenaward.requests.streams import StreamProgress, StreamRelay
from verbenaward.schema.messages import Member

EVENTS = b'data: {"n": 1}\n\ndata: {"n": 2}\n\n'
CLOSED_ADDRESS = "127.0.0.1:9"


class FakeResponse:
    """Response that collects the bytes sent to the caller."""

    def __init__(self):
        self.body = b""

    async def write(self, data):
        self.body += data

    async def write_eof(self):
        self.body += b"<end>"


def serve_and_relay(context, body, addresses):
    """Relay from a server that sends a body and disconnects, then from other addresses."""

    async def run():
        async def answer(request):
            values = {"X-Request-Id": "r", "X-Verdict": "ran", "X-Load": "1/0/8"}
            response = web.StreamResponse(headers=values)
            await response.prepare(request)
            await response.write(body)
            await asyncio.sleep(0.05)
            request.transport.close()
            return response

        app = web.Application()
        app.router.add_post("/run", answer)
        runner = web.AppRunner(app)
        await runner.setup()
        site = web.TCPSite(runner, "127.0.0.1", 0)
        await site.start()
        port = runner.addresses[0][1]
        progress = StreamProgress(response=FakeResponse(), labels=("w", "standard"))
        failures = []
        async with aiohttp.ClientSession() as session:
            dispatcher = SimpleNamespace(
                session=session, take_no_wait=lambda request, history: False
            )
            for address in (f"127.0.0.1:{port}", *addresses):
                view = EndpointView(Member(vm="vm", address=address))
                deadline = clock.now() + 5.0
                result = await StreamRelay(dispatcher).relay(
                    request_of("w", deadline), None, view, False, AttemptHistory(), progress
                )
                failures.append(result.failure())
        await runner.cleanup()
        return progress.response.body, failures

    context.body, context.failures = context.loop.run_until_complete(run())


@given("an endpoint that disconnects in the middle of an event")
def send_incomplete_event(context):
    context.sent = EVENTS + b'data: {"n": 3'


@given("an endpoint that reports that its backend crashed")
def send_crash_event(context):
    context.sent = EVENTS + CRASH_EVENT


@when("the stream is relayed")
def relay_once(context):
    serve_and_relay(context, context.sent, ())


@when("the stream is relayed and then retried on an unreachable endpoint")
def relay_twice(context):
    serve_and_relay(context, context.sent, (CLOSED_ADDRESS,))


@then("the caller has the complete events and the attempt may have run")
def check_complete_events(context):
    assert context.body == EVENTS
    assert context.failures[0].refusal.verdict is Verdict.MAY_HAVE_RUN


@then("the first attempt counts as a crash and the second as not run")
def check_crash_attempt(context):
    first, second = context.failures
    assert context.body == EVENTS
    assert first.crashed
    assert not second.crashed
    assert second.refusal.verdict is Verdict.NOT_RUN


@given("an endpoint process whose backend is unreachable")
def make_endpoint(context):
    context.gate = AdmissionGate(4, 4)


@when("a quarantined request is sent to run alone")
def run_alone(context):
    async def run():
        async with aiohttp.ClientSession() as session:
            backend = BackendClient(f"http://{CLOSED_ADDRESS}", session)
            run_handler = RunHandler(
                "vm", backend, context.gate, str, False, None, lambda size: None, lambda: None
            )
            call = BackendCall("r", "POST", "/", b"", "", 1, "", 0, clock.now() + 5.0)
            run_request = RunRequest(call, "w", "vm", "", False, True, False, False)
            return await run_handler.run_admitted(run_request)

    context.result = context.loop.run_until_complete(run())


@then("the request is refused as not run and the gate admits other requests again")
def check_refused(context):
    assert context.result.failure().verdict is Verdict.NOT_RUN
    assert context.gate.is_empty()
    assert not context.gate.exclusive
