"""Steps on connections of callers and the limit of descriptors."""

import asyncio
import errno
import resource
from unittest import mock

import aiohttp
from behave import given, then, when

from standins.platform import API_KEY, CALLER_HOST
from tests.steps.platform_running import call, run, until
from verbenaward.direct import sending
from verbenaward.metrics import sample_sum


class Caller:
    """A connection of a caller, which records when it was closed and what it got."""

    async def open(self, context, sent):
        host, _, port = context.platform.entries[0].direct.front.rpartition(":")
        self.loop = asyncio.get_running_loop()
        self.opened_at, self.closed_after, self.received = self.loop.time(), None, b""
        self.reader, self.writer = await asyncio.open_connection(host, int(port))
        self.writer.write(sent)
        self.task = asyncio.create_task(self.read())
        return self

    async def read(self):
        while piece := await self.reader.read(65536):
            self.received += piece
        self.closed_after = self.loop.time() - self.opened_at
        self.writer.close()


def head_of(line, *headers):
    lines = (line + " HTTP/1.1", f"Host: {CALLER_HOST}", f"Authorization: Bearer {API_KEY}")
    return "\r\n".join((*lines, "X-Attempt-Id: a", *headers, "", "")).encode()


LOOK = head_of("GET /look/x")


async def open_all(context, texts, pause=0.0):
    context.callers = []
    for text in texts:
        context.callers.append(await Caller().open(context, text))
        await asyncio.sleep(pause)


def limit_callers(context, idle, header):
    original = type(context.platform).configuration

    def changed(platform):
        limits = {"idle_timeout_ms": idle, "header_timeout_ms": header}
        return {**original(platform), "limits": limits}

    context.platform.configuration = lambda: changed(context.platform)
    context.platform.write_configuration()


def readiness(context):
    async def ask():
        address = context.platform.entries[0].direct.readiness
        async with aiohttp.ClientSession() as session, session.get(f"http://{address}/readyz") as a:
            return a.status

    return run(context, ask())


@given("limits of {idle:d} ms for idle connections and {header:d} ms for headers")
def set_limits(context, idle, header):
    limit_callers(context, idle, header)


@given("a limit of {count:d} descriptors")
def limit_descriptors(context, count):
    patch = mock.patch.object(resource, "getrlimit", lambda _: (count, count))
    patch.start()
    context.add_cleanup(patch.stop)


@given("sends that get no descriptor")
def no_descriptor(context):
    context.is_short = True
    original = sending.keepalive_socket

    def create(info):
        if context.is_short:
            raise OSError(errno.EMFILE, "Too many open files")
        return original(info)

    patch = mock.patch.object(sending, "keepalive_socket", create)
    patch.start()
    context.add_cleanup(patch.stop)


@when("callers connect that have an answer, send nothing, or send a part of a header")
def connect(context):
    run(context, open_all(context, (LOOK, b"", LOOK[:30])))


@then(
    "the last of them gets a {status:d} after {least:g} to {most:g} s, the others are closed after "
    "{idle:g} to {last:g} s"
)
def closed_in_time(context, status, least, most, idle, last):
    run(context, until(lambda: all(item.closed_after for item in context.callers), last + 1.0))
    times = [item.closed_after for item in context.callers]
    assert None not in times, times
    assert least <= times[2] <= most and all(idle <= item <= last for item in times[:2]), times
    got = [item.received[:13] for item in context.callers]
    assert got == [b"HTTP/1.1 200 ", b"", f"HTTP/1.1 {status} ".encode()], got


@when("the limits become {idle:d} ms and {header:d} ms, and callers connect once more")
def change_limits(context, idle, header):
    limit_callers(context, idle, header)
    version = context.platform.configuration_version
    fleet = context.platform.entries[0].fleet
    assert run(context, until(lambda: fleet.table.configuration.version == version))
    connect(context)


@then("all connections are open after {seconds:g} s")
def all_open(context, seconds):
    run(context, asyncio.sleep(seconds))
    assert not any(item.closed_after for item in context.callers)


@when("the limits become {idle:d} ms and {header:d} ms, all connections are closed within {s:g} s")
def lower_limits(context, idle, header, s):
    limit_callers(context, idle, header)
    assert run(context, until(lambda: all(item.closed_after for item in context.callers), s))


@when("{count:d} callers get an answer, one each {milliseconds:d} ms, and keep their connections")
def many_callers(context, count, milliseconds):
    run(context, open_all(context, [LOOK] * count, milliseconds / 1000))


@then("only the first of them are closed, {least:d} to {most:d} are open and the process is ready")
def oldest_closed(context, least, most):
    assert run(context, until(lambda: all(item.received for item in context.callers)))
    assert all(item.received.startswith(b"HTTP/1.1 200 ") for item in context.callers)
    is_open = [item.closed_after is None for item in context.callers]
    assert least <= sum(is_open) <= most, sum(is_open)
    assert is_open == sorted(is_open), is_open
    assert readiness(context) == 200


@when("{count:d} callers send a part of a body, and {more:d} callers look something up")
def fill(context, count, more):
    head = head_of("POST /book/bed", "Content-Length: 9")
    run(context, open_all(context, [head] * count, 0.001))
    context.busy = context.callers
    run(context, open_all(context, [LOOK] * more))


@then("these get a 503 that says not-run, with a Retry-After and a close")
def whole_refusals(context):
    assert run(context, until(lambda: all(item.closed_after for item in context.callers), 3.0))
    for caller in context.callers:
        head, _, body = caller.received.partition(b"\r\n\r\n")
        assert head.startswith(b"HTTP/1.1 503 ") and body.startswith(b"not-run: "), caller.received
        for text in (b"X-Reason: connections", b"Retry-After: ", b"Connection: close"):
            assert text in head, head


@then("the process is not ready, and reports its connections")
def not_ready(context):
    status = readiness(context)
    assert status == 503, status
    name, least = "verbenaward_open_connections", len(context.busy)
    assert run(context, until(lambda: sample_sum(name, kind="caller") >= least))


@when("the callers leave, the process is ready within {seconds:g} s and serves a look-up")
def ready_again(context, seconds):
    for caller in context.busy:
        caller.writer.close()
    assert run(context, until(lambda: context.platform.entries[0].is_ready(), seconds))
    assert call(context, "/look/x")[0] == 200


@when("callers look something up {count:d} times without success")
def fail_often(context, count):
    context.answers = [call(context, f"/look/{index}") for index in range(count)]


@then("they are refused for lack of descriptors, and no backend is blamed")
def no_backend_blamed(context):
    found = [(status, headers.get("X-Reason")) for status, headers, _ in context.answers]
    assert set(found) == {(503, "connections")}, found
    role = context.platform.entries[0]
    for view in role.fleet.backends.values():
        assert (view.failure_share, view.backoff_until) == (0.0, 0.0), view
    assert not role.crashes.records


@when("there are descriptors again, the next look-up is served")
def served_again(context):
    context.is_short = False
    assert run(context, until(lambda: context.platform.entries[0].is_ready()))
    assert call(context, "/look/x")[0] == 200
