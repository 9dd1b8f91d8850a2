"""Steps on callers and backends that read or send slowly."""

import asyncio
import re
import socket
from unittest import mock

from behave import given, then, when

from standins.platform import API_KEY, CALLER_HOST
from tests.steps.platform_running import call, engines, plain, run, start_entries, until
from verbenaward.direct import front, slow_readers

STREAM_EVENTS = 128
EVENT_BYTES = 16 * 1024
ANSWER_BYTES = 2_000_000


class SlowCaller:
    """A caller with a small receive buffer, which reads when it is told to."""

    async def open(self, address, line, length=0):
        """Send the head of a request."""
        connection = socket.socket()
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16 * 1024)
        connection.setblocking(False)
        host, _, port = address.rpartition(":")
        await asyncio.get_running_loop().sock_connect(connection, (host, int(port)))
        self.reader, self.writer = await asyncio.open_connection(sock=connection, limit=1024)
        self.received = b""
        head = (
            f"{line} HTTP/1.1\r\nHost: {CALLER_HOST}\r\nX-Attempt-Id: {line.rpartition('/')[2]}\r\n"
            f"X-Deadline-Ms: 20000\r\nAuthorization: Bearer {API_KEY}\r\nX-Model: model\r\n"
            f"X-Token-Usage: 300,60\r\nContent-Length: {length}\r\nConnection: close\r\n\r\n"
        )
        self.writer.write(head.encode())
        return self

    async def read_on(self, size=256 * 1024, pause=0.0):
        """Read up to `size` bytes each `pause` seconds until the connection ends."""
        async with asyncio.timeout(15):
            while piece := await self.reader.read(size):
                self.received += piece
                await asyncio.sleep(pause)
        return self.received


def entry(context):
    return context.platform.entries[0]


async def open_callers(context, count, line, length=0, sent=0):
    address = entry(context).direct.front
    for index in range(count):
        caller = await SlowCaller().open(address, f"{line}/{index}", length)
        caller.writer.write(bytes(sent))
        context.callers.append(caller)


async def sample_peak(context, seconds):
    """Record the most bytes that the process holds within some time."""
    loop = asyncio.get_running_loop()
    end = loop.time() + seconds
    while loop.time() < end:
        context.peak = max(context.peak, entry(context).memory.held.total())
        await asyncio.sleep(0)


@given("long streams and look-ups")
def long_answers(context):
    context.peak, context.callers = 0, []
    context.platform.route_overrides["stream"] = {"timeout_ms": 20_000}
    context.platform.write_configuration()
    for engine in engines(context):
        engine.padding, engine.stream_events = "x" * (EVENT_BYTES - 32), STREAM_EVENTS
    for backend in plain(context):
        backend.padding = "x" * ANSWER_BYTES


@given("an entry process with a memory limit of {megabytes:d} MB")
def limited_entry(context, megabytes):
    context.platform.direct_settings["memory_megabytes"] = megabytes
    start_entries(context, 1)


@given("a limit of {seconds:g} s on {what}")
def limit_time(context, seconds, what):
    if what == "unread streams":
        for engine in engines(context):
            engine.unread_seconds = seconds
        return
    constant = {"bodies": "BODY_TIMEOUT_SECONDS", "unread answers": "STALLED_ANSWER_SECONDS"}[what]
    patch = mock.patch.object(front if what == "bodies" else slow_readers, constant, seconds)
    patch.start()
    context.add_cleanup(patch.stop)


@when('{count:d} callers send "{line}" and read nothing for {seconds:g} s')
def read_nothing(context, count, line, seconds):
    run(context, open_callers(context, count, line))
    run(context, sample_peak(context, seconds))


@then(
    "the engines have sent less than {events:d} events and the process holds at most {size:d} bytes"
)
def paused(context, events, size):
    assert 0 < sum(item.sent_events for item in engines(context)) < events
    assert 0 < entry(context).memory.held.total() <= size, entry(context).memory.held


@when('a caller sends "{line}" and reads {size:d} KiB each {milliseconds:d} ms')
def read_slowly(context, line, size, milliseconds):
    context.callers = []
    run(context, open_callers(context, 1, line))
    run(context, context.callers[0].read_on(size * 1024, milliseconds / 1000))


@then("after reading on it gets all {count:d} events from {runs:d} runs, and no backend is blamed")
@then("it gets all {count:d} events from {runs:d} runs, and no backend is blamed")
def whole_stream(context, count, runs):
    run(context, context.callers[0].read_on())
    numbers = [int(number) for number in re.findall(rb"id: (\d+)\n", context.callers[0].received)]
    assert numbers == list(range(1, count + 1)), numbers
    found = sum(sum(item.run_counts.values()) for item in engines(context))
    assert found == runs, found
    for view in entry(context).fleet.backends.values():
        assert (view.failure_share, view.backoff_until) == (0.0, 0.0), view
    assert not entry(context).crashes.records


@then("it gets {size:d} bytes and more")
def whole_answer(context, size):
    assert len(context.callers[0].received) >= size, len(context.callers[0].received)


@then("some of the callers are cut off")
def cut_off(context):
    assert 0 < entry(context).front.drain.count < len(context.callers)


@then("the process held {least:g} to {most:g} MB, and releases all")
def released(context, least, most):
    assert least * 1e6 <= context.peak <= most * 1e6, context.peak
    for caller in context.callers:
        caller.writer.transport.abort()
    memory = entry(context).memory
    assert run(context, until(lambda: memory.held.total() == 0)), memory.held


@when("{count:d} callers book with bodies of {size:d} bytes, of which they send {sent:d}")
def book(context, count, size, sent):
    run(context, open_callers(context, count, "POST /book", size, sent))
    run(context, sample_peak(context, 0.3))


@then("some get a 200, the others a 503 for lack of memory with a Retry-After")
def some_refused(context):
    answers = [run(context, caller.read_on()) for caller in context.callers]
    refused = [answer for answer in answers if b" 503 " in answer]
    assert 0 < len(refused) < len(answers), answers
    assert all(b"X-Reason: memory" in item and b"Retry-After: " in item for item in refused)
    assert all(b" 200 OK" in item for item in answers if item not in refused), answers


@then("a booking with a body of {size:d} bytes was answered meanwhile, and all of them get a 408")
def answered_meanwhile(context, size):
    assert entry(context).memory.held.total() > 0
    assert call(context, "/book/bed", body=bytes(size))[0] == 200
    assert all(b" 408 " in run(context, caller.read_on()) for caller in context.callers)
