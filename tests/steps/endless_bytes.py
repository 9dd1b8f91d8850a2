"""Steps on servers that send bytes without end."""

import asyncio
import contextlib

import aiohttp
from behave import given, then
from returns.result import Failure

from standins.raw_answers import RawAnswerStandIn
from tests.steps.cut_answers import CLIENTS
from tests.steps.platform_running import run
from verbenaward import clock
from verbenaward.ctl.clients import read_status
from verbenaward.direct_shared import platform_session
from verbenaward.distribution.peer_calls import PeerCalls
from verbenaward.endpoint.backend import BackendCall, BackendClient
from verbenaward.platform.engine import HttpEngine
from verbenaward.platform.key_value_http import HttpKeyValueService
from verbenaward.platform.leased_store import LeasedStore
from verbenaward.platform.vm_list import HttpVmList
from verbenaward.platform.weights import LocalEngine, fetch_chunk, fetch_manifest
from verbenaward.replica.peer_transfer import fetch_kept
from verbenaward.schema.messages import Acknowledgement, ConfigurationOffer
from verbenaward.wire.rpc import call

BLOCK = 65536
SENT_LIMIT = 128 * 1024 * 1024
"""Above the largest limit, and what the buffers of both sides hold."""
CALL_SECONDS = 20.0
CLOSE_SECONDS = 0.02
"""Time in which the server sees that its caller has gone."""
BODY_HEADS = {
    "a chunked body": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
    "a plain body": b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n",
    "a long body": b"HTTP/1.1 200 OK\r\nContent-Length: 1000000000000\r\n\r\n",
}


class EndlessServer(RawAnswerStandIn):
    """Sends a head and then the same block again and again until the caller closes."""

    def __init__(self, head, block):
        super().__init__()
        self.head, self.block = head, block
        self.sent = 0

    async def serve(self, reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(self.head)
        with contextlib.suppress(OSError):
            while self.sent < 2 * SENT_LIMIT:
                writer.write(self.block)
                self.sent += len(self.block)
                await writer.drain()
        writer.close()


@given('a server that sends "{what}" without end')
def endless_server(context, what):
    head = BODY_HEADS.get(what, b"")
    if "chunked" in what:
        block = b"%x\r\n" % BLOCK + b" " * BLOCK + b"\r\n"
    elif head:
        block = b" " * BLOCK
    else:
        answer = f"HTTP/1.1 {what}\r\n\r\n".encode()
        block = answer * (BLOCK // len(answer))
    context.server = EndlessServer(head, block)
    run(context, context.server.start())
    context.add_cleanup(context.server.close)


@then('the client for {peers} ends a call with the error "{message}"')
def ends_with(context, peers, message):
    async def send():
        async with CLIENTS[peers]() as session:
            try:
                async with asyncio.timeout(CALL_SECONDS / 10):
                    async with session.get(f"http://{context.server.address}/"):
                        return "an answer"
            except (TimeoutError, aiohttp.ClientError) as error:
                return str(error)
            finally:
                await asyncio.sleep(CLOSE_SECONDS)

    result = run(context, send())
    assert message in result, result


def backend_call():
    return BackendCall("id", "GET", "/", b"", "text/plain", 0, "", 0, clock.now() + CALL_SECONDS)


async def status_of(session, address):
    return Failure("no status") if await read_status(session, address) is None else None


async def changes_of(session, address):
    return Failure("no changes") if await fetch_kept(session, address, 0) is None else None


CALLS = {
    "a report of an engine": lambda s, a: LocalEngine(s, a).report(),
    "a staged chunk": lambda s, a: LocalEngine(s, a).staged_chunk("m", 0),
    "a chunk of the origin": lambda s, a: fetch_chunk(s, a, "m", 1, 0, CALL_SECONDS),
    "a manifest": lambda s, a: fetch_manifest(s, a, "m", 1),
    "a key of the store": lambda s, a: LeasedStore(s, f"http://{a}").read("key"),
    "a watch of the store": lambda s, a: LeasedStore(s, f"http://{a}").watch("p", 1, CALL_SECONDS),
    "changes of a peer": changes_of,
    "an inventory of a peer": lambda s, a: PeerCalls(s).inventory(a, "/p"),
    "a control message": lambda s, a: call(s, a, ConfigurationOffer(), Acknowledgement),
    "a proxied answer": lambda s, a: BackendClient(f"http://{a}", s).run(backend_call(), "vm", ""),
    "a list of VMs": lambda s, a: HttpVmList(s, f"http://{a}").read(),
    "a key of the service": lambda s, a: HttpKeyValueService(s, f"http://{a}").read("key"),
    "the state of an engine": lambda s, a: HttpEngine(s, f"http://{a}").state(),
    "the status of a process": status_of,
}


@then("a call for {what} fails as the answer is longer than its limit")
def fails_at_limit(context, what):
    async def send():
        session = platform_session()
        try:
            return await asyncio.wait_for(
                CALLS[what](session, context.server.address), CALL_SECONDS
            )
        finally:
            await session.close()

    result = run(context, send())
    assert isinstance(result, Failure), result
    assert context.server.sent <= SENT_LIMIT, (result, context.server.sent)
