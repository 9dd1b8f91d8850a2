"""Steps on calls whose connection ends before the answer."""

import asyncio

from behave import given, then, when

from standins.platform import free_address
from tests.steps.platform_running import run
from verbenaward import clock
from verbenaward.control import client_session
from verbenaward.data import Verdict
from verbenaward.endpoint.backend import BackendCall, BackendClient
from verbenaward.platform.key_value import KeyValueFailure
from verbenaward.platform.key_value_http import HttpKeyValueService
from verbenaward.schema.settings import PlatformSettings, Settings

CONFLICT = b"HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n"


class LosingServer:
    """Reads calls; the first one loses its connection, later ones get an answer."""

    def __init__(self, ends, answer):
        self.address = free_address()
        self.calls = 0
        self.ends = ends
        self.answer = answer
        self.server = None

    async def start(self):
        host, _, port = self.address.rpartition(":")
        self.server = await asyncio.start_server(self.serve, host, int(port))

    async def serve(self, reader, writer):
        head = await reader.readuntil(b"\r\n\r\n")
        if head.startswith(b"GET /healthz"):
            writer.write(self.answer)
            return
        self.calls += 1
        if self.ends:
            self.server.close()
        if self.calls == 1:
            writer.transport.abort()
        else:
            writer.write(self.answer)


def serve(context, ends, answer=b""):
    async def start():
        context.server = LosingServer(ends, answer)
        await context.server.start()
        settings = Settings(
            1, "entry", "vm", "region", "zone", "127.0.0.1:1", PlatformSettings("http://h")
        )
        return client_session(settings), client_session(settings, force_close=True)

    context.sessions = run(context, start())
    context.add_cleanup(context.server.server.close)
    for session in context.sessions:
        context.add_cleanup(lambda session=session: run(context, session.close()))


@given("a server that ends with the first call that it reads")
def ending_server(context):
    serve(context, ends=True)


@given("a key-value service that applies a write and loses its answer")
def losing_service(context):
    serve(context, ends=False, answer=CONFLICT)


@when("the proxied mode sends a {method} call to it")
def send_call(context, method):
    client = BackendClient(f"http://{context.server.address}", context.sessions[1])
    call = BackendCall("id", method, "/", b"", "text/plain", 0, "", 0, clock.now() + 3)
    context.result = run(context, client.run(call, "vm", ""))


@given("a backend that writes an earlier refusal once more after each answer")
def repeating_backend(context):
    async def answer(reader, writer):
        while await reader.readuntil(b"\r\n\r\n"):
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody")
            await asyncio.sleep(0.02)
            writer.write(b"HTTP/1.1 503 No\r\nContent-Length: 3\r\n\r\nold")

    async def listen():
        host, _, port = context.server.address.rpartition(":")
        context.server.server.close()
        await context.server.server.wait_closed()
        context.server.server = await asyncio.start_server(answer, host, int(port))

    serve(context, ends=False)
    run(context, listen())


@then("each of {count:d} calls gets its own answer")
def own_answers(context, count):
    async def send():
        call = BackendCall("id", "GET", "/", b"", "text/plain", 0, "", 0, clock.now() + 3)
        client = BackendClient(f"http://{context.server.address}", context.sessions[1])
        result = await client.run(call, "vm", "")
        await asyncio.sleep(0.1)
        return result.unwrap().status

    assert [run(context, send()) for _ in range(count)] == [200] * count


@when("a key is written on the condition that it is new")
def write_key(context):
    service = HttpKeyValueService(context.sessions[0], f"http://{context.server.address}")
    context.result = run(context, service.write("key", b"value", 0))


@then("the verdict is that it may have run, and the server read {count:d} calls")
def may_have_run(context, count):
    refusal = context.result.failure()
    assert refusal.verdict is Verdict.MAY_HAVE_RUN, refusal
    assert context.server.calls == count, context.server.calls


@then("the outcome is unknown, and the service read {count:d} calls")
def outcome_unknown(context, count):
    error = context.result.failure()
    assert error.failure is KeyValueFailure.UNKNOWN, error
    assert context.server.calls == count, context.server.calls
