"""Steps on configurations that are large for the links of the processes."""

import asyncio
import random

import aiohttp
from aiohttp import web
from behave import given, then, when
from returns.result import Failure

from standins.platform import PlatformStandIn, free_address
from tests.direct_fakes import NOW
from tests.steps.platform_running import engines, run, until
from verbenaward import clock
from verbenaward.platform.key_value import KeyValueEntry, Position
from verbenaward.platform.leased_store import LeasedStore
from verbenaward.platform.names import CONFIGURATION_KEY
from verbenaward.replica.first_read import read_from_seeds
from verbenaward.replica.follower import StoreFollower
from verbenaward.replica.peer_transfer import changes_to_message, fetch_changes
from verbenaward.replica.store_replica import Changes, StoreReplica
from verbenaward.wire.codec import encode


@given("a configuration with {count:d} more routes")
def many_routes(context, count):
    platform = context.platform
    build = platform.configuration

    def build_large():
        body = build()
        first = body["routes"][0]
        body["routes"] += [
            {**first, "name": f"more-{index}", "path_prefix": f"/more/{index}/"}
            for index in range(count)
        ]
        return body

    platform.configuration = build_large
    platform.write_configuration()


@given("the store sends {seconds:g} s worth of bytes to each reader")
def slow_store(context, seconds):
    store = context.platform.store
    # The values go out in base64.
    size = 1.4 * sum(len(value) for value, _, _ in store.items.values())
    store.bytes_per_second = int(size / seconds)


@when("an entry process and an endpoint process start")
def start_both(context):
    platform: PlatformStandIn = context.platform
    context.started_at = clock.now()

    async def start():
        await platform.add_entry()
        await platform.add_endpoint(engines(context)[0])

    run(context, start())


@then("both know the configuration within {seconds:d} seconds")
def both_know(context, seconds):
    platform = context.platform
    fleets = [platform.entries[0].fleet, platform.endpoints[0].engine_loader.fleet]
    assert run(context, until(lambda: all(fleet.table for fleet in fleets), seconds))


@when("the store is read")
def read_store(context):
    started = clock.now()

    async def read():
        async with aiohttp.ClientSession() as session:
            store = LeasedStore(session, f"http://{context.platform.store_address}")
            return await store.read_prefix("")

    context.result = run(context, read())
    context.took = clock.now() - started


@then("the read fails within {seconds:d} seconds")
def read_fails(context, seconds):
    assert isinstance(context.result, Failure) and context.took < seconds, context.took


@when("another process fetches the changes of the entry process")
def fetch_from_entry(context):
    control = context.platform.entries[0].settings.listen

    async def fetch():
        url = f"http://{control}/items/0"
        async with (
            aiohttp.ClientSession(auto_decompress=False) as session,
            session.get(url) as response,
        ):
            context.sent_bytes = len(await response.read())
        async with aiohttp.ClientSession() as session:
            return await fetch_changes(session, control, Position(), 0.0)

    context.changes = run(context, fetch())


@then("it has the configuration, and at most a tenth of its size was sent")
def small_transfer(context):
    value = context.platform.store.items[CONFIGURATION_KEY][0]
    assert value in [entry.value for entry in context.changes.entries]
    assert context.sent_bytes <= len(value) / 10, (context.sent_bytes, len(value))


@when("another process begins, and a seed process is {seed}")
def begin_with_seed(context, seed):
    is_lost = seed == "lost"
    control = free_address() if is_lost else context.platform.entries[0].settings.listen
    context.replica = StoreReplica()
    context.reads = []

    async def begin():
        session = aiohttp.ClientSession()
        store = LeasedStore(session, f"http://{context.platform.store_address}")
        read_prefix = store.read_prefix

        async def counted_read(prefix):
            context.reads.append(prefix)
            return await read_prefix(prefix)

        store.read_prefix = counted_read
        follower = StoreFollower(
            store, "", context.replica, read_first=lambda: read_from_seeds(session, [control])
        )
        task = asyncio.create_task(follower.run())

        async def end():
            task.cancel()
            await session.close()

        context.add_cleanup(lambda: run(context, end()))

    run(context, begin())


@then("it knows the configuration within {seconds:d} seconds")
def knows_configuration(context, seconds):
    known = until(lambda: CONFIGURATION_KEY in context.replica.entries, seconds)
    assert run(context, known)


@then("it has not read the store")
def no_read(context):
    assert context.reads == []


@given("an entry process whose answers take {seconds:g} s to arrive")
def slow_entry(context, seconds):
    value = random.Random(5).randbytes(100_000)
    context.sent = Changes(7, True, (KeyValueEntry("key", value, 7, era=1),), NOW, 1)

    async def answer(request):
        body = encode(changes_to_message(context.sent, NOW, NOW))
        response = web.StreamResponse(headers={"Content-Length": str(len(body))})
        await response.prepare(request)
        parts = 20
        size = len(body) // parts + 1
        for start in range(0, len(body), size):
            await response.write(body[start : start + size])
            await asyncio.sleep(seconds / parts)
        return response

    app = web.Application()
    app.router.add_get("/items/{revision}", answer)
    context.control = free_address()
    run(context, context.platform.listen(app, context.control))


@when("another process fetches its changes")
def fetch_slow(context):
    async def fetch():
        async with aiohttp.ClientSession() as session:
            return await fetch_changes(session, context.control, Position(), 0.0)

    context.changes = run(context, fetch())


@then("it has all of them")
def has_all(context):
    assert context.changes is not None
    received = {entry.key: entry.value for entry in context.changes.entries}
    assert received == {entry.key: entry.value for entry in context.sent.entries}
