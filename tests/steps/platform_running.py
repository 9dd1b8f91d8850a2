"""Steps on the stand-in of the users' platform."""

import asyncio
import contextlib
import json
import math
import time
from unittest import mock

import aiohttp
from behave import given, then, when

from standins.platform import API_KEY, CALLER_HOST, PlatformStandIn, send_request
from standins.platform_backend import STREAM_EVENTS
from verbenaward import clock
from verbenaward.distribution.chunk_events import DIGESTS_INDEX, ChunkKey
from verbenaward.placement.backends import FAILURE_SMOOTHING
from verbenaward.platform.key_value import KeyValueEntry, Position
from verbenaward.platform.leased_store import LeasedStore
from verbenaward.platform.names import BACKEND_PREFIX, DIGESTS_PREFIX
from verbenaward.replica.chunk_digests import stored_digests, write_digests
from verbenaward.replica.follower import MAXIMUM_WATCH_SECONDS
from verbenaward.replica.peer_transfer import changes_to_message
from verbenaward.replica.store_replica import Changes, StoreReplica
from verbenaward.schema.messages import Pulse, StoredItems
from verbenaward.wire.codec import decode, encode

READY_SECONDS = 5.0


def run(context, work):
    return context.loop.run_until_complete(work)


async def until(condition, seconds=READY_SECONDS):
    deadline = clock.now() + seconds
    while clock.now() < deadline:
        if condition():
            return True
        await asyncio.sleep(0.02)
    return False


def call(context, path, attempt="a-1", headers=None, body=b"", entry=0):
    async def send():
        async with aiohttp.ClientSession() as session:
            address = context.platform.entries[entry].direct.front
            return await send_request(session, address, path, attempt, headers, body)

    return run(context, send())


def plain(context):
    return [item for item in context.platform.backends.values() if item.service == "plain"]


def engines(context):
    return [item for item in context.platform.backends.values() if item.service == "engines"]


@given("the users' platform with two plain backends and two engines")
def start_platform(context):
    context.platform = PlatformStandIn()

    async def start():
        await context.platform.start()
        for name, service in (("p-1", "plain"), ("p-2", "plain")):
            await context.platform.add_backend(name, service)
        for name, zone in (("e-1", "zone-a"), ("e-2", "zone-b")):
            await context.platform.add_backend(name, "engines", zone)
        context.platform.write_configuration()

    context.add_cleanup(lambda: run(context, context.platform.stop()))
    run(context, start())


@given("one entry process that is ready")
def one_entry(context):
    start_entries(context, 1)


@given("two entry processes that are ready")
def two_entries(context):
    start_entries(context, 2)


def start_entries(context, count):
    async def start():
        for zone in ("zone-a", "zone-b")[:count]:
            await context.platform.add_entry(zone)
        assert await until(lambda: all(role.is_ready() for role in context.platform.entries))
        peers = count - 1
        assert await until(
            lambda: all(
                len(role.exchange.peers.ready(clock.now())) == peers
                for role in context.platform.entries
            )
        )

    run(context, start())
    budgets = [role.budget for role in context.platform.entries]
    assert run(context, until(lambda: all(budget.entry_count for budget in budgets)))
    for budget in budgets:
        # The processes have run for longer than its window.
        budget.started_at = -math.inf


@given('all plain backends are "{mode}"')
def all_plain(context, mode):
    for backend in plain(context):
        backend.mode = mode


@given('one plain backend is "{mode}"')
def one_plain(context, mode):
    context.bad = plain(context)[0]
    context.bad.mode = mode


@given('all engines are "{mode}"')
def all_engines(context, mode):
    for backend in engines(context):
        backend.mode = mode


@given('one engine is "{mode}"')
def one_engine(context, mode):
    context.bad = engines(context)[0]
    context.bad.mode = mode


@when("a caller opens a stream and the retry budget is used up meanwhile")
def budget_ends(context):
    role = context.platform.entries[0]

    async def send():
        async with aiohttp.ClientSession() as session:
            task = asyncio.create_task(send_request(session, role.direct.front, "/stream/x", "a-1"))
            await asyncio.sleep(0.2)
            role.budget.extra = role.budget.ratio = 0.0
            context.answers = [await task]

    run(context, send())


@given("the route of bookings has a timeout of {ms:d} ms")
def short_route(context, ms):
    context.platform.route_overrides["book"] = {"timeout_ms": ms}
    context.platform.write_configuration()
    role = context.platform.entries[0]
    version = context.platform.configuration_version
    assert run(context, until(lambda: role.fleet.table.configuration.version == version))


@when("a caller looks something up")
def look(context):
    context.answer = call(context, "/look/x?y=%20z")


@when("a caller looks something up and sets the workspace, backend and version headers itself")
def look_smuggling(context):
    forged = {"X-Tenant": "other", "X-Expect-Instance": "p-9", "X-Expect-Version": "7"}
    context.answer = call(context, "/look/x", headers=forged)


@when("a caller looks something up until that backend was tried")
def look_until_tried(context):
    for index in range(40):
        context.answer = call(context, f"/look/{index}", f"a-{index}")
        if context.answer[0] != 200 or context.bad.last_headers:
            return
    raise AssertionError("the backend was never tried")


@when("callers look something up {count:d} times")
def look_often(context, count):
    for index in range(count):
        assert call(context, f"/look/{index}", f"a-{index}")[0] == 200


@when("a caller books something")
def book(context):
    started = clock.now()
    context.answer = call(context, "/book/bed", "booking", body=b"bed 7")
    context.took = clock.now() - started


@when("a caller books with a body over the limit")
def book_large(context):
    context.answer = call(context, "/book/bed", body=bytes(100_001))


@when("a caller books something and disconnects")
def book_and_disconnect(context):
    async def leave():
        async with aiohttp.ClientSession() as session:
            address = context.platform.entries[0].direct.front
            task = asyncio.create_task(
                send_request(session, address, "/book/bed", "left", body=b"x")
            )
            assert await until(lambda: any(item.run_counts["left"] for item in plain(context)))
            task.cancel()
            context.ended = await until(
                lambda: any("left" in item.cancelled for item in plain(context)), 0.5
            )

    run(context, leave())


@then("the backend's work ends within half a second")
def work_ended(context):
    assert context.ended


@when("the same look-up is sent again and again")
def look_again(context):
    for index in range(8):
        call(context, "/look/poison", f"a-{index}")


@then("it reached backends at most {count:d} times")
def reached(context, count):
    total = sum(sum(item.run_counts.values()) for item in plain(context))
    assert 0 < total <= count, total


@when("a caller uses an unknown key, an unknown host and an unknown path")
def unknown(context):
    context.statuses = [
        call(context, "/look/x", headers={"Authorization": "Bearer nobody"})[0],
        call(context, "/look/x", headers={"Host": "other.example"})[0],
        call(context, "/elsewhere/x")[0],
    ]


@then("the statuses are 401, 404 and 404")
def statuses(context):
    assert context.statuses == [401, 404, 404], context.statuses


@then("no backend ran anything")
def nothing_ran(context):
    assert not any(item.run_counts for item in context.platform.backends.values())


@then("it gets the complete answer of a backend")
def whole_answer(context):
    status, headers, body = context.answer
    assert status == 200, context.answer
    identity = headers["X-Server-Signature"].partition(".")[0]
    attempt = headers["X-Attempt-Id"]
    assert body == f"{identity} ran {attempt}".encode() * 40


@then("the backend received the workspace, its own identity and at most the caller's time")
def headers_received(context):
    backend = next(item for item in plain(context) if item.last_headers)
    assert backend.last_headers["X-Tenant"] == "one"
    assert backend.last_headers["X-Expect-Instance"] == backend.identity
    assert "X-Expect-Version" not in backend.last_headers
    assert 0 < int(backend.last_headers["X-Deadline-Ms"]) <= 3000
    assert backend.last_headers["Host"] == CALLER_HOST


@then("the backend did not receive the key")
def no_key(context):
    assert not any(API_KEY in str(item.last_headers) for item in plain(context))


@then("the status is {status:d}")
def status_is(context, status):
    assert context.answer[0] == status, context.answer


@then("the booking ran {count:d} times")
def ran(context, count):
    assert sum(item.run_counts["booking"] for item in plain(context)) == count


@then("the answer has a Retry-After header")
def has_retry_after(context):
    assert 0 < float(context.answer[1]["Retry-After"]) < 5


@then("the answer came within {ms:d} ms")
def came(context, ms):
    assert context.took < ms / 1000, context.took


@when("a caller opens a stream")
def open_stream(context):
    context.answers = [call(context, "/stream/x")]


@when("a caller opens a stream that may not be resumed")
def open_once(context):
    started = clock.now()
    context.answer = call(context, "/stream/once/x")
    context.took = clock.now() - started


@when("callers open streams until that engine was tried")
def streams_until_tried(context):
    context.answers = []
    for index in range(40):
        context.answers.append(call(context, f"/stream/{index}", f"s-{index}"))
        if context.bad.run_counts:
            return
    raise AssertionError("the engine was never tried")


@given("the log lines about failed attempts are collected")
def collect_failed(context):
    context.failed_attempts = []
    log = context.platform.entries[0].front.forwarder.log
    log.failed = lambda request, view, failed: context.failed_attempts.append(
        (view.backend.identity, failed)
    )


@then("the engine's failure share is that of one failure")
def one_failure(context):
    view = context.platform.entries[0].fleet.backends[context.bad.identity]
    assert view.failure_share == FAILURE_SMOOTHING, view.failure_share


@then("the failed attempt is logged as a server error that may have run")
def logged_server_error(context):
    ((identity, failed),) = context.failed_attempts
    assert identity == context.bad.identity
    assert (failed.failure, failed.may_have_run) == ("server-error", True), failed


@when("callers open {count:d} streams")
def streams(context, count):
    for index in range(count):
        assert call(context, f"/stream/{index}", f"s-{index}")[0] == 200


@when("a caller reads a stream until its connection ends")
def read_to_the_end(context):
    context.read, context.is_complete = b"", False

    async def read():
        address = context.platform.entries[0].direct.front
        headers = {"Host": CALLER_HOST, "X-Attempt-Id": "a-7", "X-Deadline-Ms": "3000"}
        headers |= {"Authorization": f"Bearer {API_KEY}", "X-Model": "model"}
        async with (
            aiohttp.ClientSession() as session,
            session.post(f"http://{address}/stream/x", headers=headers) as answer,
        ):
            async for piece in answer.content.iter_any():
                context.read += piece
        context.is_complete = True

    with contextlib.suppress(aiohttp.ClientError):
        run(context, read())


@then("it got events in order, once each, nothing else, and no complete end")
def only_events(context):
    count = context.read.count(b"\n\n")
    expected = b"".join(b"id: %d\ndata: piece %d\n\n" % (n, n) for n in range(1, count + 1))
    assert count and context.read == expected, context.read
    assert not context.is_complete


@then("it gets all events in order, once each")
@then("each gets all events in order, once each")
def all_events(context):
    expected = "".join(
        f"id: {n}\ndata: piece {n}\n\n" for n in range(1, STREAM_EVENTS + 1)
    ).encode()
    for status, _, body in context.answers:
        assert status == 200 and body == expected, body


@then("the connection ends without a complete answer")
def no_answer(context):
    assert context.answer[0] == 0, context.answer


@then("that took at most {seconds:g} s")
def took_at_most(context, seconds):
    assert context.took <= seconds, context.took


@when("an endpoint process announces that one engine loads")
def engine_loads(context):
    context.bad = engines(context)[0]
    exchange = context.platform.entries[0].exchange
    notice = encode(Pulse(vm="endpoint", loading=context.bad.address))
    exchange.receive(notice, ("127.0.0.1", 1), clock.now())


@when("one plain backend registers as draining")
def backend_leaves(context):
    context.bad = plain(context)[0]
    context.platform.register(context.bad, "draining")
    role = context.platform.entries[0]
    assert run(
        context, until(lambda: role.fleet.backends[context.bad.identity].backend.is_leaving, 2.0)
    )


@then("that engine ran nothing")
@then("that backend ran nothing")
def bad_ran_nothing(context):
    assert not context.bad.run_counts


@given('the store is "{mode}"')
def store_mode(context, mode):
    context.platform.store.mode = mode


@when("an entry process starts")
def entry_starts(context):
    async def start():
        await context.platform.add_entry()
        await asyncio.sleep(0.5)

    run(context, start())


@then("it is not ready and refuses with 503")
def not_ready(context):
    assert not context.platform.entries[0].is_ready()
    status, headers, _ = call(context, "/look/x")
    assert status == 503 and float(headers["Retry-After"]) > 0


@when("the second process cannot reach the store")
def disconnect_store(context):
    follower = context.platform.entries[1].follower
    follower.store.url = "http://127.0.0.1:9"


@when("the key is revoked")
def revoke(context):
    context.platform.api_keys = ["another"]
    context.platform.write_configuration()


@then("both refuse the key within {seconds:d} seconds")
@then("the process refuses the key within {seconds:d} seconds")
def refuse_key(context, seconds):
    deadline = clock.now() + seconds
    waiting = set(range(len(context.platform.entries)))
    while waiting and clock.now() < deadline:
        waiting = {index for index in waiting if call(context, "/look/x", entry=index)[0] != 401}
        run(context, asyncio.sleep(0.05))
    assert not waiting, waiting


@when("watches deliver nothing while the key is revoked, and the history is compacted")
def suppress_watch_events(context):
    store = context.platform.store
    store.suppress_watch_events = True
    revoke(context)
    run(context, asyncio.sleep(0.3))
    store.compact_history()
    store.suppress_watch_events = False


@when(
    "a call to the store fails, peers watch it from then on, and a backend leaves "
    "{seconds:d} s later"
)
def backend_leaves_later(context, seconds):
    store, role = context.platform.store, context.platform.entries[0]
    context.left = plain(context)[0].identity
    store.mode = "down"
    assert run(context, until(lambda: not role.follower.reachable))
    role.exchange.peers.is_watcher = lambda now: False
    store.mode = "ok"
    run(context, asyncio.sleep(seconds))
    key, era = BACKEND_PREFIX + context.left, role.replica.era
    gone = KeyValueEntry(key, b"", role.replica.revision + 1, era=era)
    role.replica.apply(Changes(gone.revision, False, (gone,), clock.now(), era), clock.now())


@then("the process has removed the backend")
def backend_removed(context):
    assert context.left not in context.platform.entries[0].fleet.backends


@when("watches deliver nothing while a target version is set, and the history is compacted")
def version_withheld(context):
    store, role = context.platform.store, context.platform.entries[0]
    store.suppress_watch_events = True
    context.set_at = clock.now()
    value = json.dumps({"model_name": "model", "version": 2}).encode()
    store.put("op/version/model", value)
    run(context, asyncio.sleep(2 * MAXIMUM_WATCH_SECONDS + 0.1))
    store.compact_history()
    store.suppress_watch_events = False
    assert run(context, until(lambda: role.fleet.versions))


@then("the process assumes that the version was set no later than it was")
def not_set_later(context):
    learned = context.platform.entries[0].fleet.versions["model"][-1]
    assert learned.set_after <= context.set_at, learned.set_after - context.set_at


@when("the store holds a malformed configuration")
def unreadable(context):
    context.platform.store.put("op/config", b'{"version": 99, "routes": [{}]}')
    run(context, asyncio.sleep(0.3))


@when("another writer registers malformed backends")
def other_writer(context):
    values = (b"\xff\x00", b"[]", b'{"service": "plain"}', b'{"service": 3, "address": []}')
    for index, value in enumerate(values):
        context.platform.store.put(f"servers/x-{index}", value)
    broken = plain(context)[0].registration().replace(b'"ready"', b'"unheard-of"')
    context.platform.store.put("servers/x-9", broken)
    for index, value in enumerate(odd_registrations(engines(context)[0])):
        context.platform.store.put(f"servers/x-1{index}", value)
    run(context, asyncio.sleep(0.3))
    known = context.platform.entries[0].fleet.backends
    assert not any(identity.startswith("x-") for identity in known)


def odd_registrations(backend):
    """Return registrations that are nested deeply, or have numbers or addresses out of range."""
    sound = json.loads(backend.registration())
    deep = "[" * 5000 + "]" * 5000
    odd = (
        {"slots": 10**30},
        {"model_list": [{"name": "model", "version": 10**30}]},
        {"born": 10**30},
        {"born": 1e308},
        {"address": "a b\r\n:80"},
        {"address": "10.0.0.1:70000"},
        {"address": "10.0.0.1:\u0661\u0662"},
        {"cold_remaining_ms": 10**30},
    )
    values = [json.dumps({**sound, "address": "10.9.9.9:80", **fields}) for fields in odd]
    nested = json.dumps({**sound, "address": "10.9.9.9:80", "model_list": 0})
    huge = json.dumps({**sound, "address": "10.9.9.9:80", "sequence": 7})
    values += [
        deep,
        nested.replace('"model_list": 0', f'"model_list": {deep}'),
        huge.replace('"sequence": 7', f'"sequence": {"9" * 5000}'),
    ]
    return [value.encode() for value in values]


@then("a process that starts follows all others from the store and from a peer")
def late_process_follows(context):
    run(context, context.platform.add_entry("zone-b"))
    first, late = context.platform.entries[0], context.platform.entries[-1]
    assert run(context, until(late.is_ready))
    sent = changes_to_message(first.replica.changes_after(Position()), 0.0, 1.0)
    assert decode(StoredItems, encode(sent)).items
    context.platform.configuration_version += 1
    context.platform.write_configuration()
    version = context.platform.configuration_version

    def follow():
        return [role.fleet.table.configuration.version for role in (first, late)]

    assert run(context, until(lambda: follow() == [version] * 2)), follow()
    assert set(late.fleet.backends) == set(context.platform.backends)


@when("the store goes down, and all registrations have lapsed when it returns")
def lapse(context):
    store = context.platform.store
    store.mode = "reset"
    run(context, asyncio.sleep(1.6))
    for key in [key for key in store.items if key.startswith("servers/")]:
        store.remove(key)
    store.compact_history()
    store.mode = "ok"
    role = context.platform.entries[0]
    assert run(context, until(lambda: all(v.lapsed_until for v in role.fleet.backends.values())))


@when("the first process is told to stop while a slow stream runs")
def end_first(context):
    for backend in engines(context):
        backend.mode = "slow"

    async def end():
        async with aiohttp.ClientSession() as session:
            first, second = context.platform.entries
            stream = asyncio.create_task(
                send_request(session, first.direct.front, "/stream/x", "s-1")
            )
            assert await until(lambda: any(item.run_counts for item in engines(context)))
            draining = asyncio.create_task(first.drain())
            assert await until(lambda: not second.exchange.peers.ready(clock.now()), 2.0)
            url = f"http://{second.direct.directory}/resolve?name={CALLER_HOST}&zone=zone-a"
            async with session.get(url) as response:
                context.listed = (await response.json())["addresses"]
            context.answers = [await stream]
            await draining

    run(context, end())


@then("the directory of the second lists only the second")
def listed(context):
    assert context.listed == [context.platform.entries[1].direct.front], context.listed


@then("the stream has all events in order, once each")
def stream_whole(context):
    all_events(context)


@given("the origin does not answer")
def silent_origin(context):
    context.platform.origin.is_silent = True


@when("the entry process is closed while it fetches from the origin")
def close_while_fetching(context):
    role = context.platform.entries.pop()
    relay = context.relay = role.relay

    async def close():
        relay.start_reading("model", 1)
        assert await until(lambda: relay.fetching and relay.background_tasks)
        await role.close()

    run(context, close())


@then("no fetch of weights is running")
def no_fetch(context):
    running = [*context.relay.fetching.values(), *context.relay.background_tasks]
    assert not running, running


@given("the origin corrupts chunk {index:d} once")
def corrupt_chunk(context, index):
    context.platform.origin.corrupt_once.add(index)


@given("the engines have endpoint processes and staged chunks")
def beside_engines(context):
    async def start():
        for backend in engines(context):
            backend.staging.chunks = dict(enumerate(context.platform.origin.versions[1]))
            await context.platform.add_endpoint(backend)
        assert await until(
            lambda: all(role.engine_loader.held for role in context.platform.endpoints)
        )

    run(context, start())


@given("the manifest is known and the origin becomes unreachable")
def origin_unreachable(context):
    relay = context.platform.entries[0].relay
    assert run(context, until(lambda: ChunkKey("model", 1, DIGESTS_INDEX) in relay.cache))
    context.platform.origin.versions = {1: context.platform.origin.versions[1]}
    context.platform.origin.refuses_chunks = True


@given("an empty engine with its endpoint process")
def empty_engine(context):
    fill(context, {})


@given("an empty engine with its endpoint process and corrupted staged chunks")
def engine_with_corrupted_chunks(context):
    chunks = context.platform.origin.versions[1]
    fill(context, {1: bytes(len(chunks[1])), 3: chunks[3][:-1] + b"x"})


def fill(context, staged):
    async def start():
        backend = await context.platform.add_backend("e-9", "engines", version=0)
        backend.staging.chunks = staged
        context.empty = backend
        await context.platform.add_endpoint(backend)

    run(context, start())


@given(
    "an empty engine that starts {delay:d} seconds after its endpoint process, with a link that "
    "takes {seconds:g}"
)
def late_engine(context, delay, seconds):
    async def start():
        backend = context.empty = await context.platform.add_backend("e-9", "engines", version=0)
        backend.staging.chunks = {}
        await backend.site.stop()
        chunks = context.platform.origin.versions[1]
        megabits = sum(map(len, chunks)) * 8 / 1e6 / seconds
        await context.platform.add_endpoint(backend, megabits)
        await asyncio.sleep(delay)
        backend.site = await backend.open_site()

    run(context, start())


@given("the version of the engines is set as the target, and none of them has started")
def engines_before_start(context):
    async def prepare():
        for backend in engines(context):
            backend.staging.chunks = dict(enumerate(context.platform.origin.versions[1]))
            context.platform.store.remove(f"servers/{backend.identity}")
            await backend.site.stop()

    value = json.dumps({"model_name": "model", "version": 1}).encode()
    context.platform.store.put("op/version/model", value)
    run(context, prepare())


@when("endpoint processes start beside the engines, and these later, 1 second apart")
def endpoints_then_engines(context):
    async def start():
        for backend in engines(context):
            await context.platform.add_endpoint(backend)
        for backend in engines(context):
            await asyncio.sleep(1.0)
            backend.site = await backend.open_site()

    run(context, start())


@then("the origin has sent no chunk once the endpoint processes know what the engines hold")
def origin_sent_nothing(context):
    loaders = [role.engine_loader for role in context.platform.endpoints]
    assert run(context, until(lambda: all(loader.held for loader in loaders)))
    assert not context.platform.origin.sent_counts, context.platform.origin.sent_counts


@then("the empty engine holds version 1 within {seconds:d} second of its start")
@then("the empty engine holds version 1 within {seconds:d} seconds")
def engine_holds(context, seconds):
    assert run(context, until(lambda: context.empty.version == 1, seconds))


@then(
    "the entry process uses it within {seconds:g} seconds, while its registration shows no weights"
)
def used_early(context, seconds):
    (role,) = context.platform.entries
    view = role.fleet.backends[context.empty.identity]
    assert run(context, until(lambda: view.held_version("model") == 1, seconds))
    assert not view.is_excluded(clock.now())
    registered = role.replica.entries[f"servers/{context.empty.identity}"].value
    assert json.loads(registered)["model_list"] == []


@when(
    "the origin and the entry process become unreachable, then the engine and its endpoint restart"
)
def restart_engine(context):
    platform = context.platform

    async def again():
        assert await until(
            lambda: any(key.startswith(DIGESTS_PREFIX) for key in platform.store.items)
        )
        await platform.entries.pop().close()
        await platform.endpoints.pop().close()
        platform.origin.refuses_chunks = True
        backend = context.empty
        backend.version = backend.accepted_orders = 0
        backend.loaded_chunks = {}
        platform.register(backend)
        await platform.add_endpoint(backend)

    run(context, again())


@when("all processes and engines lose power once the digests of version 1 are stored")
def lose_power(context):
    store = context.platform.store

    def are_stored():
        return any(key.startswith(DIGESTS_PREFIX) for key in store.items)

    assert run(context, until(are_stored))
    run(context, restart_empty(context.platform))


@when("all processes and engines lose power, and the store has no digests")
def lose_power_without_digests(context):
    run(context, restart_empty(context.platform, [DIGESTS_PREFIX]))


async def restart_empty(platform, lost_prefixes=()):
    """Restart all processes; the engines have lost their weights, and the store some keys."""
    for role in (*platform.entries, *platform.endpoints):
        await role.close()
    platform.entries.clear()
    platform.endpoints.clear()
    for key in [key for key in platform.store.items if key.startswith(tuple(lost_prefixes))]:
        platform.store.remove(key)
    for backend in platform.backends.values():
        if backend.service == "engines":
            backend.version = backend.accepted_orders = 0
            backend.staging.chunks, backend.loaded_chunks = {}, {}
            platform.register(backend)
            await platform.add_endpoint(backend)
    await platform.add_entry()


@then("all engines hold version 1 again within {seconds:d} seconds")
def engines_hold_again(context, seconds):
    def versions():
        return [item.version for item in engines(context)]

    assert run(context, until(lambda: versions() == [1, 1], seconds)), versions()


@when("the digests of {count:d} versions are kept, one after the other")
def keep_many(context, count):
    platform = PlatformStandIn()

    async def keep():
        await platform.start()
        async with aiohttp.ClientSession() as session:
            store = LeasedStore(session, f"http://{platform.store_address}")
            replica = StoreReplica()
            for version in range(1, count + 1):
                await write_digests(store, replica, "model", version, b"x" * 32 * version)
                read = (await store.read_prefix("")).unwrap()
                replica.apply(Changes(read.revision, True, read.entries, era=read.era), 0.0)
            context.kept = sorted(
                stored_digests(replica, "model", number) for number in range(count + 1)
            )

    context.add_cleanup(lambda: run(context, platform.stop()))
    run(context, keep())


@then("the store has those of the newest {count:d}")
def newest_kept(context, count):
    kept = [value for value in context.kept if value]
    # The step that keeps the digests uses the versions 1 to 8.
    assert kept == [b"x" * 32 * version for version in range(9 - count, 9)], kept


@then("the engine loaded only valid chunks of version 1")
def only_valid_chunks(context):
    assert context.empty.accepted_orders == 1
    assert context.empty.loaded_chunks == dict(enumerate(context.platform.origin.versions[1]))


@then("the origin sent each chunk of version 1 at most once")
def sent_once(context):
    sent = context.platform.origin.sent_counts
    assert set(sent.values()) == {1} and len(sent) == len(context.platform.origin.versions[1])


@given("three more plain backends")
def more_backends(context):
    async def start():
        for index in range(3, 6):
            await context.platform.add_backend(f"p-{index}", "plain")
        fleet = context.platform.entries[0].fleet
        assert await until(lambda: len(fleet.by_service["plain"]) == 5)

    run(context, start())


@then("the look-up ran at {count:d} backends")
def ran_at(context, count):
    assert sum(bool(item.run_counts) for item in plain(context)) == count


RAW = {
    "two lengths": "Content-Length: 3\r\nContent-Length: 40\r\n\r\nabc",
    "length and chunks": "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    "a broken chunk size": "Transfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n0\r\n\r\n",
}


@given('the other engine is "{mode}"')
def other_engine(context, mode):
    (other,) = (item for item in engines(context) if item is not context.bad)
    other.mode = mode


async def open_raw(context, path):
    """Connect as a caller and return the streams and the head of a request, without its end."""
    host, _, port = context.platform.entries[0].direct.front.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    head = f"POST {path} HTTP/1.1\r\nHost: {CALLER_HOST}\r\nX-Attempt-Id: raw\r\n"
    key = f"Authorization: Bearer {API_KEY}\r\nX-Deadline-Ms: 2000\r\n"
    return reader, writer, head + key


@when("a caller reads the raw bytes of a stream")
def read_raw(context):
    async def read():
        reader, writer, head = await open_raw(context, "/stream/x")
        writer.write((head + "X-Model: model\r\nX-Token-Usage: 300,60\r\n\r\n").encode())
        context.raw = b""
        with contextlib.suppress(ConnectionError, TimeoutError):
            async with asyncio.timeout(1.0):
                while part := await reader.read(65536):
                    context.raw += part
        context.ended = reader.at_eof() or reader.exception() is not None
        writer.close()

    run(context, read())


@then("they hold one status line and the connection ends")
def one_status_line(context):
    assert context.raw.count(b"HTTP/1.1 ") == 1 and context.ended, context.raw


@when("raw bytes with {fault} are sent")
def send_raw(context, fault):
    async def send():
        reader, writer, head = await open_raw(context, "/book/bed")
        hidden = "GET /look/hidden HTTP/1.1\r\nHost: x\r\nX-Attempt-Id: hidden\r\n\r\n"
        writer.write((head + RAW[fault] + hidden).encode())
        async with asyncio.timeout(5):
            context.raw = await reader.read(200)
        writer.close()

    run(context, send())


@then("the answer is a 400 and no backend ran anything")
def raw_refused(context):
    assert context.raw.split(b" ")[1] == b"400", context.raw
    nothing_ran(context)


@given("target versions are required {seconds:g} s after they were set")
def version_bound(context, seconds):
    for role in context.platform.entries:
        role.front.forwarder.placer.version_seconds = seconds


@when(
    "a target version is set while the second process hears nothing, and {source} tells it "
    "{seconds:g} s later"
)
def version_learned_late(context, source, seconds):
    role = context.platform.entries[1]
    receive, url = role.exchange.receive, role.follower.store.url
    role.exchange.receive = lambda payload, origin, now: None
    role.follower.store.url = "http://127.0.0.1:9"
    run(context, asyncio.sleep(MAXIMUM_WATCH_SECONDS + 0.1))
    context.set_at = clock.now()
    value = json.dumps({"model_name": "model", "version": 2}).encode()
    context.platform.store.put("op/version/model", value)
    run(context, asyncio.sleep(seconds))
    assert not role.fleet.versions
    if source == "the store":
        role.follower.store.url = url
    else:
        role.exchange.receive = receive
    assert run(context, until(lambda: role.fleet.versions, 1.4))


@when("a target version is set while a stream waits for its first event")
def version_set_during_wait(context):
    role = context.platform.entries[0]
    for engine in engines(context):
        engine.mode = "hang"

    async def send():
        async with aiohttp.ClientSession() as session:
            sending = asyncio.create_task(
                send_request(session, role.direct.front, "/stream/x", "a-1")
            )
            await asyncio.sleep(0.1)
            value = json.dumps({"model_name": "model", "version": 2}).encode()
            context.platform.store.put("op/version/model", value)
            await asyncio.sleep(role.front.forwarder.placer.version_seconds)
            context.cancelled = [name for item in engines(context) for name in item.cancelled]
            sending.cancel()

    run(context, send())


@then("the stream is cancelled at the engine within the bound")
def stream_cancelled(context):
    assert context.cancelled == ["a-1"], context.cancelled


@then("from {seconds:g} s after it was set the second process starts nothing on older weights")
def nothing_on_old_weights(context, seconds):
    run(context, asyncio.sleep(context.set_at + seconds - clock.now()))
    refuses_old_weights(context, 1)


@when("a target version is set and the machine is suspended for the whole bound")
def suspended(context):
    set_target_version(context)
    suspend(context, context.platform.entries[0].direct.version_seconds)


@when("the machine is suspended while a stream waits for its first event on older weights")
def suspended_with_stream(context):
    role = context.platform.entries[0]
    for engine in engines(context):
        engine.mode = "hang"
    set_target_version(context)

    async def send():
        async with aiohttp.ClientSession() as session:
            sending = asyncio.create_task(
                send_request(session, role.direct.front, "/stream/x", "a-1", {"X-Model": "model"})
            )
            assert await until(lambda: any(item.run_counts for item in engines(context)))
            suspend(context, role.direct.version_seconds)
            await asyncio.sleep(0.5)
            context.cancelled = [name for item in engines(context) for name in item.cancelled]
            sending.cancel()

    run(context, send())


def set_target_version(context):
    role = context.platform.entries[0]
    value = json.dumps({"model_name": "model", "version": 2}).encode()
    context.platform.store.put("op/version/model", value)
    assert run(context, until(lambda: role.fleet.versions))


def suspend(context, seconds):
    read = time.clock_gettime
    # The boot-time clock counts a suspension, the monotonic clock does not.
    suspension = mock.patch("time.clock_gettime", lambda clock: read(clock) + seconds)
    suspension.start()
    context.add_cleanup(suspension.stop)


@then("the process starts nothing on older weights")
def nothing_on_older_weights(context):
    refuses_old_weights(context, 0)


def refuses_old_weights(context, entry):
    context.answer = call(context, "/stream/x", headers={"X-Model": "model"}, entry=entry)
    assert context.answer[0] == 503, context.answer
    assert not any(item.run_counts for item in engines(context))


@when("a caller looks something up, and then opens a stream")
def look_and_stream(context):
    context.outcomes = []
    for path in ("/look/x", "/stream/x"):
        before = sum(item.endless_bytes for item in context.platform.backends.values())
        started = clock.now()
        answer = call(context, path)
        took = clock.now() - started
        run(context, asyncio.sleep(0.2))
        after = sum(item.endless_bytes for item in context.platform.backends.values())
        context.outcomes.append((answer, took, after - before))


@then("neither gets a complete answer")
def both_fail(context):
    assert all(answer[0] in (0, 502, 504) for answer, _, _ in context.outcomes), [
        answer[:2] for answer, _, _ in context.outcomes
    ]


@then("each came within {seconds:g} s, and the backends sent at most {size:d} MiB for it")
def bounded(context, seconds, size):
    for _, took, sent in context.outcomes:
        assert took <= seconds and sent <= size * 1024 * 1024, (took, sent)


@when('a caller sends "{path}" with a deadline of {seconds:g} s')
def send_with_deadline(context, path, seconds):
    headers = {"X-Deadline-Ms": f"{seconds * 1000:g}"}
    context.answer = call(context, path, "a-deadline", headers)


@then("the answer is {status:d} and says that it may have run")
def may_have_run(context, status):
    found, headers, body = context.answer
    assert (found, headers.get("X-Verdict")) == (status, "may-have-run"), (found, headers, body)


@when("they reset their answers {first:d} to {last:d} turns of the event loop after the head")
def reset_after_turns(context, first, last):
    context.statuses = []
    for turns in range(first, last + 1):
        for backend in plain(context):
            backend.reset_after_turns = turns
        for number in range(5):
            path = f"/book/{turns}-{number}"
            context.statuses.append((turns, call(context, path, f"a-{turns}-{number}")[0]))


@then("no caller gets a success")
def no_success(context):
    successes = [turns for turns, status in context.statuses if status == 200]
    assert not successes, successes
