"""Steps on configurations that change what requests in progress stand on."""

import asyncio
import dataclasses
import json
import re
import time

import aiohttp
from behave import given, then, when

from standins.platform import PlatformStandIn, free_address, send_request
from tests.steps.connections import LOOK, Caller, head_of
from tests.steps.platform_running import call, run, until

EVENTS = 60
SILENT_SECONDS = 1.4
WAIT_SECONDS = 0.4
"""Time for which no backend may get a request, from the change on."""
HALF = b"x" * 500
ROUTES = ("look", "book", "stream", "once")
PATHS = ("look", "book", "stream", "stream/once")
PATIENT = {"X-Deadline-Ms": "12000"}


def override_routes(platform, **fields):
    platform.route_overrides = {
        name: {**platform.route_overrides.get(name, {}), **fields} for name in ROUTES
    }


def change(platform, **sections):
    """Replace sections of the configuration."""
    original = platform.configuration
    platform.configuration = lambda: {**original(), **sections}


def change_engine(platform, **fields):
    services = platform.configuration()["services"]
    services[1]["inference_engine"] = {**services[1]["inference_engine"], **fields}
    change(platform, services=services)


def register(platform, backend, **fields):
    changed = {**json.loads(backend.registration()), **fields}
    platform.store.put(f"servers/{backend.identity}", json.dumps(changed).encode())


def deregister(platform, backend):
    platform.store.remove(f"servers/{backend.identity}")


def of_all(change_one):
    def change_all(platform):
        for backend in platform.backends.values():
            change_one(platform, backend)

    return change_all


CHANGES_OF_ONE = {
    "registered elsewhere": lambda p, b: register(p, b, address=free_address("127.0.1.250")),
    "registered as other service": lambda p, b: register(p, b, service="another"),
    "draining": lambda p, b: register(p, b, state="draining"),
    "another incarnation": lambda p, b: register(p, b, born=99),
    "registrations gone": deregister,
}


def reload(platform):
    role = platform.entries[0]
    fields = {"zones": {}, "version_seconds": 0.5, "retry_ratio": 0.0, "retry_extra": 0.0}
    direct = dataclasses.replace(role.direct, retry_window_seconds=1.0, **fields)
    role.reload(dataclasses.replace(role.settings, zone="zone-b", direct=direct), direct)


CHANGES = {
    "routes taken away": lambda p: p.route_overrides.update(dict.fromkeys(ROUTES)),
    "routes to plain": lambda p: override_routes(p, service="plain"),
    "routes to nothing": lambda p: override_routes(p, service="unknown"),
    "services taken away": lambda p: change(p, services=[]),
    "regions of routes": lambda p: override_routes(p, allowed_regions=["nowhere"]),
    "regions of the workspace": lambda p: p.workspace_fields.update(allowed_regions=["nowhere"]),
    "workspaces taken away": lambda p: change(p, tenants=[]),
    "key revoked": lambda p: p.api_keys.__setitem__(0, "another"),
    "shorter timeouts": lambda p: override_routes(p, timeout_ms=50, target_latency_ms=10),
    "longer timeouts": lambda p: override_routes(p, timeout_ms=60_000, target_latency_ms=0),
    "other kinds": lambda p: override_routes(p, kind="non_idempotent", max_attempts=1),
    "limits": lambda p: change(
        p, limits={"max_body_bytes": 1, "idle_timeout_ms": 1, "header_timeout_ms": 1}
    ),
    "engines": lambda p: change_engine(
        p, slots=1, kv_capacity_tokens=10, read_per_s=1.0, model_list=[]
    ),
    **{name: of_all(change_one) for name, change_one in CHANGES_OF_ONE.items()},
    "SIGHUP": reload,
}


TAKES_RETRIES = ("SIGHUP", *CHANGES_OF_ONE)
"""Changes that leave a stream which breaks off no engine, or no retry."""


async def start_platform():
    platform = PlatformStandIn()
    await platform.start()
    for name, service, zone in (
        ("p-1", "plain", "zone-a"),
        ("p-2", "plain", "zone-b"),
        ("e-1", "engines", "zone-a"),
        ("e-2", "engines", "zone-b"),
    ):
        backend = await platform.add_backend(name, service, zone)
        backend.stream_events = EVENTS
    override_routes(platform, target_latency_ms=6400, timeout_ms=12_000)
    platform.write_configuration()
    await platform.add_entry()
    assert await until(platform.entries[0].is_ready)
    return platform


async def send_all(platform, session, name):
    """Send look-ups, bookings and streams; return their answers by attempt."""
    sends = {f"{name}-{path}-{n}": path for path in PATHS for n in range(2)}
    front = platform.entries[0].direct.front
    tasks = [
        send_request(
            session, front, f"/{path}/{key}", key, PATIENT, b"" if path == "look" else 2 * HALF
        )
        for key, path in sends.items()
    ]
    return dict(zip(sends, await asyncio.gather(*tasks), strict=True))


async def send_in_halves(platform, session, changed):
    """Send a booking and a stream, the second half of their bodies once the change is in force."""

    async def halves():
        yield HALF
        await changed.wait()
        yield HALF

    front, paths = platform.entries[0].direct.front, ("book", "stream")
    tasks = [
        send_request(session, front, f"/{path}/read", f"read-{path}", PATIENT, halves())
        for path in paths
    ]
    return dict(zip((f"read-{path}" for path in paths), await asyncio.gather(*tasks), strict=True))


async def make_change(platform, name):
    """Change something and the configuration's version, and wait until both are in force."""
    CHANGES[name](platform)
    platform.write_configuration()
    fleet, version = platform.entries[0].fleet, platform.configuration_version
    assert await until(lambda: fleet.table.configuration.version == version)


async def play(name, play_on):
    """Return a platform and the answers of what was played on it."""
    platform = await start_platform()
    try:
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(connector=connector) as session:
            return platform, await play_on(platform, session, name)
    finally:
        await platform.stop()


async def play_in_progress(platform, session, name):
    """Send requests before a silence, in it and while no backend may be chosen; then change."""
    role, changed, backends = platform.entries[0], asyncio.Event(), platform.backends.values()
    tasks = [
        asyncio.create_task(send_all(platform, session, "sent")),
        asyncio.create_task(send_in_halves(platform, session, changed)),
    ]
    assert await until(lambda: sum(item.sent_events for item in backends) > 8)
    for backend in backends:
        backend.silent_until = time.monotonic() + SILENT_SECONDS
    tasks.append(asyncio.create_task(send_all(platform, session, "silent")))
    assert await until(lambda: sum(len(item.bodies) for item in backends) >= 14)
    for view in role.fleet.backends.values():
        view.excluded_until = time.monotonic() + WAIT_SECONDS
    tasks.append(asyncio.create_task(send_all(platform, session, "waiting")))
    await asyncio.sleep(0.1)
    await make_change(platform, name)
    changed.set()
    return {key: item for found in await asyncio.gather(*tasks) for key, item in found.items()}


async def play_break(platform, session, name):
    """Change the configuration while a stream has begun at an engine that will break it off."""
    role, (bad, other) = platform.entries[0], (platform.backends[name] for name in ("e-1", "e-2"))
    bad.mode, view = "truncated-event", role.fleet.backends[other.identity]
    view.excluded_until = float("inf")
    sending = send_request(session, role.direct.front, "/stream/x", "broken-stream", PATIENT)
    task = asyncio.create_task(sending)
    assert await until(lambda: bad.sent_events)
    bad.silent_until = time.monotonic() + SILENT_SECONDS / 2
    view.excluded_until = 0.0
    await make_change(platform, name)
    return {"broken-stream": await task}


def play_all(context, names, play_on):
    async def play_together():
        return await asyncio.gather(*(play(name, play_on) for name in names))

    context.played = dict(zip(names, run(context, play_together()), strict=True))


@when("each kind of change meets requests that are read, wait, are sent, are silent or stream")
def meet(context):
    play_all(context, CHANGES, play_in_progress)


@when("each change that leaves backends and retries meets a stream that breaks off later")
def meet_break(context):
    play_all(context, [name for name in CHANGES if name not in TAKES_RETRIES], play_break)


@then("each of them gets a whole answer, or a refusal whose verdict is true")
def each_whole(context):
    faults = []
    for name, (platform, answers) in context.played.items():
        for attempt, (status, headers, body) in answers.items():
            runs = sum(item.run_counts[attempt] for item in platform.backends.values())
            verdict = headers.get("X-Verdict")
            is_refused = status >= 400 and verdict == ("may-have-run" if runs else "not-run")
            is_sound = (status == 200 and runs > 0) or is_refused
            if not is_sound or ("book" in attempt and runs > 1):
                faults.append((name, attempt, status, runs, verdict, body[:80]))
    assert not faults, "\n".join(map(str, faults))


@then("each of them is whole")
def all_served(context):
    for name, (_, answers) in context.played.items():
        assert all(status == 200 for status, _, _ in answers.values()), (name, answers)
    begun_whole(context)


@then("the streams that had begun are whole")
def begun_whole(context):
    expected = b"".join(b"id: %d\ndata: piece %d\n\n" % (n, n) for n in range(1, EVENTS + 1))
    for name, (_, answers) in context.played.items():
        for attempt, (status, _, body) in answers.items():
            if "stream" in attempt and status == 200:
                assert body == expected, (name, attempt, body)


@when("a request has chosen a backend, and that is {state} while its limit is asked for")
def leaves_meanwhile(context, state):
    role = context.platform.entries[0]
    granted = role.front.forwarder.is_send_granted

    async def grant(notices):
        if context.bad is None:
            view = next(item for item in role.fleet.backends.values() if item.notices is notices)
            context.bad = context.platform.backends[view.backend.identity]
            CHANGES_OF_ONE[state](context.platform, context.bad)
            revision = role.replica.revision
            assert await until(lambda: role.replica.revision > revision)
        return await granted(notices)

    context.bad = None
    role.front.forwarder.is_send_granted = grant
    context.answer = call(context, "/look/x")


@when("a configuration comes whose {field} is {value:d}, and then a stream and a look-up")
def unsound_configuration(context, field, value):
    platform, role = context.platform, context.platform.entries[0]
    if field == "weight":
        shares = [{"service": name, "weight": value} for name in ("plain", "engines")]
        override_routes(platform, traffic_split=shares)
    elif field == "timeout_ms":
        override_routes(platform, timeout_ms=value)
    else:
        change_engine(platform, **{field: value})
    revision = role.replica.revision
    platform.write_configuration()
    assert run(context, until(lambda: role.replica.revision > revision))
    context.answers = [call(context, path) for path in ("/stream/x", "/look/x")]


@then("they are served by the last one")
def served_anyway(context):
    assert [status for status, _, _ in context.answers] == [200, 200], context.answers
    table = context.platform.entries[0].fleet.table
    assert table.configuration.version < context.platform.configuration_version


@then("they are refused as without a backend")
def refused_whole(context):
    found = [(status, headers.get("X-Verdict")) for status, headers, _ in context.answers]
    assert found == [(503, "not-run")] * 2, context.answers
    assert all(headers["X-Reason"] == "no-backend" for _, headers, _ in context.answers)


@given(
    "limits of {size:d} bytes for bodies, {idle:d} ms for idle connections and {header:d} ms for "
    "headers"
)
def limits(context, size, idle, header):
    fields = {"max_body_bytes": size, "idle_timeout_ms": idle, "header_timeout_ms": header}
    change(context.platform, limits=fields)
    context.platform.write_configuration()
    fleet, version = context.platform.entries[0].fleet, context.platform.configuration_version
    assert run(context, until(lambda: fleet.table.configuration.version == version))


@when("a caller gets a refusal amid its body, sends the rest over {seconds:g} s, and then looks up")
def refused_amid_body(context, seconds):
    async def send():
        head = head_of("POST /book/x", "Content-Length: 3000")
        context.caller = await Caller().open(context, head + bytes(1500))
        assert await until(lambda: context.caller.received)
        for _ in range(3):
            context.caller.writer.write(bytes(500))
            await asyncio.sleep(seconds / 3)
        context.caller.writer.write(LOOK)
        await asyncio.sleep(0.4)
        context.is_kept = context.caller.closed_after is None
        context.caller.writer.close()

    run(context, send())


@then("it gets a 413 and then the answer of a backend, and its connection is kept")
def both_answers(context):
    found = re.findall(rb"HTTP/1.1 (\d+)", context.caller.received)
    assert found == [b"413", b"200"] and context.is_kept, context.caller.received
