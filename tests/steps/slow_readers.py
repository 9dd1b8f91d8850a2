"""Steps on callers and backends that read or send slowly."""

import asyncio
import re
import socket
from unittest import mock

from behave import given, then, when

from standins.platform import API_KEY, CALLER_HOST
from tests.steps.platform_running import call, engines, plain, run, start_entries, until
from verbenaward.direct import front, slow_readers

EVENT_BYTES = 16 * 1024


class SlowCaller:
    """A caller on a raw socket with a small receive buffer, which reads when it is told to."""

    def __init__(self, role):
        self.address = role.direct.front
        self.received = b""

    async def open(self, method, path, attempt, length=0):
        """Send the head of a request."""
        connection = socket.socket()
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16 * 1024)
        connection.setblocking(False)
        host, _, port = self.address.rpartition(":")
        await asyncio.get_running_loop().sock_connect(connection, (host, int(port)))
        self.reader, self.writer = await asyncio.open_connection(sock=connection, limit=1024)
        head = (
            f"{method} {path} HTTP/1.1\r\nHost: {CALLER_HOST}\r\nX-Attempt-Id: {attempt}\r\n"
            f"X-Deadline-Ms: 20000\r\nAuthorization: Bearer {API_KEY}\r\nX-Model: model\r\n"
            f"X-Token-Usage: 300,60\r\nContent-Length: {length}\r\n\r\n"
        )
        self.writer.write(head.encode())
        return self

    async def read_on(self, size=256 * 1024, pause=0.0):
        """Read up to `size` bytes each `pause` seconds until the end of the answer."""
        async with asyncio.timeout(15):
            while piece := await self.reader.read(size):
                self.received += piece
                if self.received.endswith(b"\r\n0\r\n\r\n"):
                    return
                await asyncio.sleep(pause)

    def event_numbers(self):
        """Return the numbers of the events received."""
        return [int(number) for number in re.findall(rb"id: (\d+)\n", self.received)]


def memory_of(context):
    return context.platform.entries[0].memory


async def sample_peak(context, seconds):
    """Record the most bytes that the process holds within some time."""
    loop = asyncio.get_running_loop()
    end = loop.time() + seconds
    while loop.time() < end:
        context.peak = max(context.peak, memory_of(context).held.total())
        await asyncio.sleep(0)


@given("streams of {count:d} events of 16 KiB")
def long_streams(context, count):
    context.peak = 0
    context.platform.route_overrides["stream"] = {"timeout_ms": 20_000}
    context.platform.write_configuration()
    for engine in engines(context):
        engine.padding, engine.stream_events = "x" * (EVENT_BYTES - 32), count


@given("an entry process with a memory limit of {megabytes:d} MB")
def limited_entry(context, megabytes):
    context.platform.direct_settings["memory_megabytes"] = megabytes
    start_entries(context, 1)


@given("engines cut off streams that are unread for {seconds:g} s")
def cutting_engines(context, seconds):
    for engine in engines(context):
        engine.unread_seconds = seconds


@when("a caller opens a long stream and does not read for {seconds:g} s")
def unread_stream(context, seconds):
    async def stay():
        caller = SlowCaller(context.platform.entries[0])
        context.caller = await caller.open("POST", "/stream/x", "slow")
        await asyncio.sleep(seconds)

    run(context, stay())


@then(
    "the backend has sent less than {events:d} events and the process holds at most {size:d} bytes"
)
def paused(context, events, size):
    assert 0 < sum(item.sent_events for item in engines(context)) < events
    assert 0 < memory_of(context).held.total() <= size, memory_of(context).held


@when("the caller reads on")
def reads_on(context):
    run(context, context.caller.read_on())


@when("a caller opens a long stream and reads 16 KiB each {milliseconds:d} ms")
def slow_stream(context, milliseconds):
    async def read():
        caller = SlowCaller(context.platform.entries[0])
        context.caller = await caller.open("POST", "/stream/x", "slow")
        await caller.read_on(EVENT_BYTES, milliseconds / 1000)

    run(context, read())


@then("it gets all {count:d} events from {runs} run, and no backend is blamed")
@then("it gets all {count:d} events from {runs} runs, and no backend is blamed")
def whole_stream(context, count, runs):
    assert context.caller.event_numbers() == list(range(1, count + 1))
    found = sum(item.run_counts["slow"] for item in engines(context))
    assert found == {"one": 1, "two": 2}[runs], found
    role = context.platform.entries[0]
    for view in role.fleet.backends.values():
        assert (view.failure_share, view.backoff_until) == (0.0, 0.0), view
    assert not role.crashes.records, role.crashes.records


@when("{count:d} callers open long streams and do not read for {seconds:g} s")
def unread_streams(context, count, seconds):
    async def stay():
        role = context.platform.entries[0]
        context.callers = [
            await SlowCaller(role).open("POST", f"/stream/{index}", f"s-{index}")
            for index in range(count)
        ]
        await sample_peak(context, seconds)

    run(context, stay())


@then("the process held at most {size:d} bytes, and some of the callers are cut off")
def cut_off(context, size):
    assert 0 < context.peak <= size, context.peak
    in_flight = context.platform.entries[0].front.in_flight
    assert 0 < in_flight < len(context.callers), in_flight


@then("the process held at most {size:d} bytes")
def held_at_most(context, size):
    assert 0 < context.peak <= size, context.peak


@then("all held bytes are released once they have gone")
def released(context):
    for caller in getattr(context, "callers", ()):
        caller.writer.transport.abort()
    memory = memory_of(context)
    assert run(context, until(lambda: memory.held.total() == 0)), memory.held


@when("{count:d} callers book at once with bodies of {size:d} bytes")
def book_at_once(context, count, size):
    async def book(index):
        caller = await SlowCaller(context.platform.entries[0]).open(
            "POST", f"/book/{index}", f"b-{index}", size
        )
        caller.writer.write(bytes(size))
        caller.received = await caller.reader.readuntil(b"\r\n\r\n")
        return caller

    async def book_all():
        sampling = asyncio.create_task(sample_peak(context, 1.0))
        context.callers = await asyncio.gather(*(book(index) for index in range(count)))
        await sampling

    run(context, book_all())


@then("some are answered, the others are refused for lack of memory with a Retry-After")
def some_refused(context):
    heads = [caller.received for caller in context.callers]
    refused = [head for head in heads if b" 503 " in head]
    assert 0 < len(refused) < len(heads), heads
    assert all(b"X-Reason: memory" in head and b"Retry-After: " in head for head in refused)
    assert all(b" 200 " in head for head in heads if head not in refused), heads


@given("bodies may take {seconds:g} s")
def short_bodies(context, seconds):
    patch = mock.patch.object(front, "BODY_TIMEOUT_SECONDS", seconds)
    patch.start()
    context.add_cleanup(patch.stop)


@when("{count:d} callers announce bodies of {size:d} bytes and send {sent:d} bytes of each")
def announce(context, count, size, sent):
    async def send():
        context.callers = []
        for index in range(count):
            caller = SlowCaller(context.platform.entries[0])
            await caller.open("POST", f"/book/{index}", f"b-{index}", size)
            caller.writer.write(bytes(sent))
            context.callers.append(caller)
        memory = memory_of(context)
        assert await until(lambda: memory.held.total() == 2 * count * sent, 0.5), memory.held

    run(context, send())


@then("a booking with a body of {size:d} bytes is answered meanwhile")
def answered_meanwhile(context, size):
    assert call(context, "/book/bed", "booking", body=bytes(size))[0] == 200
    assert memory_of(context).held.total() > 0


@then("the slow callers get a 408")
def slow_callers_end(context):
    async def read():
        return [await caller.reader.readuntil(b"\r\n") for caller in context.callers]

    assert all(b" 408 " in line for line in run(context, read()))


@given("whole answers are {size:d} bytes long and may stand still for {seconds:g} s")
def long_answers(context, size, seconds):
    for backend in plain(context):
        backend.padding = "x" * size
    patch = mock.patch.object(slow_readers, "STALLED_ANSWER_SECONDS", seconds)
    patch.start()
    context.add_cleanup(patch.stop)


@when("a caller looks something up and does not read the answer")
def unread_answer(context):
    async def stay():
        caller = SlowCaller(context.platform.entries[0])
        context.caller = await caller.open("GET", "/look/x", "slow")
        await sample_peak(context, 0.2)

    run(context, stay())


@then("the process holds at least {size:d} bytes for it")
def holds_answer(context, size):
    assert memory_of(context).held.total() >= size


@when("a caller looks something up and reads 32 KiB each {milliseconds:d} ms")
def slow_answer(context, milliseconds):
    async def read():
        caller = SlowCaller(context.platform.entries[0])
        context.caller = await caller.open("GET", "/look/x", "slow")
        length = 0
        async with asyncio.timeout(10):
            while len(caller.received) < 2_000_000 + length:
                piece = await caller.reader.read(32 * 1024)
                if not piece:
                    return
                caller.received += piece
                await asyncio.sleep(milliseconds / 1000)

    run(context, read())


@then("it gets {size:d} bytes and more")
def whole_slow_answer(context, size):
    assert len(context.caller.received) >= size, len(context.caller.received)
