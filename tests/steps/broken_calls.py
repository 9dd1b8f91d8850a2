"""Steps on calls of all kinds whose answer is broken."""

import asyncio

from behave import then
from returns.result import Failure

from standins.raw_answers import Ending
from tests.steps.endless_bytes import CALL_SECONDS, CALLS
from tests.steps.platform_running import run
from tests.steps.unsound_heads import SOUND, framed_by
from verbenaward.ctl.clients import post
from verbenaward.ctl.status import load_fleet
from verbenaward.direct_shared import platform_session
from verbenaward.distribution.peer_calls import PeerCalls
from verbenaward.platform.key_value import KeyValueFailure
from verbenaward.platform.key_value_http import HttpKeyValueService
from verbenaward.platform.leased_store import Lease, LeasedStore
from verbenaward.platform.weights import LocalEngine

NUMBER = SOUND.replace(b"abc", b"123")
BROKEN = (
    *((NUMBER.replace(b"200", code), Ending.CLOSE) for code in (b"000", b"600", b"999")),
    (NUMBER.replace(b"X-A:", b"Connection :"), Ending.CLOSE),
    (framed_by(["Transfer-Encoding: xchunked"]), Ending.CLOSE),
    (b"HTTP/1.1 200 OK\r\n\r\n123", Ending.RESET),
    (b"HTTP/1.1 200 OK\r\n\r\n", Ending.RESET),
)
"""Broken answers, some with a body in JSON, and what becomes of their connections."""


def keep_lease(session, address):
    store = LeasedStore(session, f"http://{address}")
    store.leases["key"], store.written = Lease(1, 0), {"key"}
    return store.keep_alive("key", b"", 3.0)


async def fleet_by_verbenactl(_, address):
    return None if (await load_fleet([address])).entries else Failure("no entry process")


async def drain_by_verbenactl(session, address):
    return Failure("no answer") if await post(session, address, "/admin/drain") is None else None


FURTHER_CALLS = {
    "a fleet by verbenactl": fleet_by_verbenactl,
    "a drain by verbenactl": drain_by_verbenactl,
    "a renewal of a lease": keep_lease,
    "a chunk of a peer": lambda s, a: PeerCalls(s).fetch(a, "/p"),
    "an order to load": lambda s, a: LocalEngine(s, a).order_load("m", 1, 0),
}
WRITES = {
    "the store": lambda s, a: LeasedStore(s, f"http://{a}").write("key", b"", 0),
    "the service": lambda s, a: HttpKeyValueService(s, f"http://{a}").write("key", b"", 0),
}


def results_of(context, send):
    """Return the result of a call for each broken answer."""

    async def send_each():
        results = []
        for context.server.answer, context.server.ending in BROKEN:
            async with platform_session() as session:
                call_ = send(session, context.server.address)
                results.append(await asyncio.wait_for(call_, CALL_SECONDS))
        return results

    return run(context, send_each())


@then("a call for {what} fails on each broken answer")
def call_fails(context, what):
    results = results_of(context, {**CALLS, **FURTHER_CALLS}[what])
    assert all(isinstance(result, Failure) for result in results), results


@then("a write to {store} has an unknown outcome after each broken answer")
def write_unknown(context, store):
    results = [result.failure().failure for result in results_of(context, WRITES[store])]
    assert results == [KeyValueFailure.UNKNOWN] * len(BROKEN), results
