"""Steps on the planned stop of an entry process."""

import asyncio
import contextlib
import signal
import socket

import aiohttp
from behave import given, then, when
from hypothesis import given as examples
from hypothesis import strategies

from standins.platform import API_KEY, CALLER_HOST, send_request
from tests.daemon_process import DaemonProcess
from tests.steps.daemon_running import start_daemon
from tests.steps.platform_running import call, engines, plain, run, until
from verbenaward import clock
from verbenaward.drain_times import LINGER_SECONDS, DrainTimes

CALLERS = 8
ANSWER_BYTES = 12_000_000
SIGNAL_GAP_SECONDS = 0.1
CLOSE_SECONDS = 1.0


@given("an entry process of its own with a grace period of {seconds:g} s that is ready")
def daemon_with_grace(context, seconds):
    start_daemon(context, grace_seconds=seconds)
    run(context, context.daemon.wait_until_ready())
    context.grace = seconds


@given("the route of {name} has a timeout of {seconds:d} s")
def long_route(context, name, seconds):
    route = {"bookings": "book", "streams": "stream"}[name]
    context.platform.route_overrides[route] = {"timeout_ms": seconds * 1000}
    context.platform.write_configuration()
    version = context.platform.configuration_version
    fleets = [role.fleet for role in context.platform.entries]
    has_all = run(
        context, until(lambda: all(item.table.configuration.version == version for item in fleets))
    )
    assert has_all


@given("look-ups have answers of 12 MB")
def long_answers(context):
    for backend in plain(context):
        backend.padding = "x" * ANSWER_BYTES


async def stop(context):
    context.daemon.send(signal.SIGTERM)
    context.stopped_at = clock.now()
    assert await context.daemon.end() == 0
    context.ended_after = clock.now() - context.stopped_at


STREAM_LINES = (
    "POST /stream/x HTTP/1.1",
    f"Host: {CALLER_HOST}",
    "X-Attempt-Id: s-1",
    "X-Deadline-Ms: 3000",
    "X-Model: model",
    f"Authorization: Bearer {API_KEY}",
    "Content-Length: 0",
)


@when("a caller reads a stream that begins {order} the order to stop, on a kept connection")
def stream_in_stop(context, order):
    (role,) = context.platform.entries
    host, _, port = role.direct.front.rpartition(":")

    def begin():
        role.front.drain.begin(DrainTimes.begun(clock.now(), 8.0))

    async def read():
        reader, writer = await asyncio.open_connection(host, int(port))
        if order == "after":
            begin()
        writer.write("".join(f"{line}\r\n" for line in (*STREAM_LINES, "")).encode())
        context.head = await reader.readuntil(b"\r\n\r\n")
        if order == "before":
            begin()
        context.read = await reader.readuntil(b"\r\n0\r\n\r\n")
        context.is_closed = False
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(CLOSE_SECONDS):
                context.is_closed = await reader.read() == b""
        writer.close()

    run(context, read())


@then("the stream is whole, and its connection is closed with it")
def stream_closed(context):
    assert context.read.count(b"\n\n") == engines(context)[0].stream_events, context.read
    assert context.is_closed


@then("the head of the answer says that the connection is {named}")
def head_names(context, named):
    assert (b"connection: close" in context.head.lower()) == (named == "closed"), context.head


async def book(context, session, attempt, deadline_ms):
    headers = {"X-Deadline-Ms": f"{deadline_ms}"}
    address = context.daemon.direct.front
    sent_at = clock.now()
    answer = await send_request(session, address, f"/book/{attempt}", attempt, headers, b"bed")
    context.outcomes.append((sent_at, attempt, answer))


@when("bookings are sent before and after it is told to stop, with deadlines of 30 s")
def bookings_around_stop(context):
    async def send():
        async with aiohttp.ClientSession() as session, asyncio.TaskGroup() as group:
            for number in range(12):
                group.create_task(book(context, session, f"b-{number}", 30_000))
                if number == 3:
                    group.create_task(stop(context))
                await asyncio.sleep(0.15)

    context.outcomes = []
    run(context, send())


@then("each is answered completely, and that it may have run if it reached a backend")
def answered_completely(context):
    assert any(ran(context, attempt) for _, attempt, _ in context.outcomes)
    for _, attempt, (status, headers, body) in context.outcomes:
        verdict = "may-have-run" if ran(context, attempt) else "not-run"
        assert status in (502, 503, 504) and headers.get("X-Verdict") == verdict, (
            attempt,
            status,
            body,
        )


@then("its log says of each sent before that the process had to end before the answer")
def log_says_stopped(context):
    last = {}
    for line in context.daemon.lines():
        if "request" in line:
            last[line["request"]] = line["event"]
    reached = [(sent_at, item) for sent_at, item, _ in context.outcomes if ran(context, item)]
    # A request on its way at the signal may be read before or after it.
    signalled = context.stopped_at - 0.1
    before = {last[item] for sent_at, item in reached if sent_at < signalled}
    later = {last[item] for sent_at, item in reached if sent_at >= signalled}
    assert before == {"request.stopped"} and later <= {"request.stopped", "request.refused"}, last


@given("streams have {count:d} events")
def long_streams(context, count):
    for backend in engines(context):
        backend.stream_events = count


async def read_stream(context, deadline_ms, meanwhile):
    """Read a stream to its end; something else begins once its first events are there."""
    headers = {"Host": CALLER_HOST, "X-Attempt-Id": "s-1", "X-Deadline-Ms": f"{deadline_ms}"}
    headers |= {"Authorization": f"Bearer {API_KEY}", "X-Model": "model"}
    url = f"http://{context.daemon.direct.front}/stream/x"
    context.is_complete = False
    async with (
        asyncio.TaskGroup() as group,
        aiohttp.ClientSession() as session,
        session.post(url, headers=headers) as answer,
    ):
        context.read = await answer.content.readany()
        group.create_task(meanwhile)
        with contextlib.suppress(aiohttp.ClientError):
            async for piece in answer.content.iter_any():
                context.read += piece
            context.is_complete = True


@when("a caller reads a long stream, and the process is told to stop meanwhile")
def long_stream(context):
    context.outcomes = [(0.0, "s-1", None)]
    run(context, read_stream(context, 30_000, stop(context)))


@when(
    "a caller reads a stream, and the process gets {first} and then {second}, three times, {when}"
)
def stream_and_signals(context, first, second, when):
    async def send_signals():
        context.stopped_at = clock.now()
        if when == "while it is suspended":
            context.daemon.send(signal.SIGSTOP)
        for name in (first, second, second, second):
            if context.daemon.process.returncode is None:
                context.daemon.send(signal.Signals[name])
            if is_apart:
                await asyncio.sleep(SIGNAL_GAP_SECONDS)
        context.daemon.send(signal.SIGCONT)

    is_apart = when == "0.1 s apart"
    # The kernel merges equal signals that are pending at the same time.
    context.signals = [first, *[second] * 3] if is_apart else {first, second}
    run(context, read_stream(context, 6_000, send_signals()))
    context.status = run(context, context.daemon.end())
    context.ended_after = clock.now() - context.stopped_at


@then("the stream is whole")
def stream_whole(context):
    events = engines(context)[0].stream_events
    assert context.is_complete, f"cut after {len(context.read)} bytes"
    assert context.read.count(b"\n\n") == events, context.read
    assert context.status == 0, context.status


@then("its log names each signal that it got")
def log_names_signals(context):
    named = {"daemon.signal", "daemon.reload"}
    lines = [line for line in context.daemon.lines() if line["event"] in named]
    names = [line.get("signal", "SIGHUP") for line in lines]
    assert context.signals in (names, set(names)), lines


@when(
    "it stops, and is suspended until after it refuses requests, with calls on a kept and a new"
    " connection meanwhile"
)
def calls_while_suspended(context):
    headers = {"Host": CALLER_HOST, "X-Deadline-Ms": "6000", "Authorization": f"Bearer {API_KEY}"}
    url = f"http://{context.daemon.direct.front}/look/x"

    async def call(session, attempt):
        try:
            async with session.post(url, headers={**headers, "X-Attempt-Id": attempt}) as answer:
                await answer.read()
                return answer.status
        except aiohttp.ClientError as error:
            return type(error).__name__

    async def play():
        async with aiohttp.ClientSession() as kept, aiohttp.ClientSession() as new:
            await call(kept, "s-1")
            context.stopped_at = clock.now()
            context.daemon.send(signal.SIGTERM)
            await asyncio.sleep(SIGNAL_GAP_SECONDS)
            context.daemon.send(signal.SIGSTOP)
            calls = asyncio.gather(call(kept, "s-2"), call(new, "s-3"))
            await asyncio.sleep(LINGER_SECONDS)
            context.daemon.send(signal.SIGCONT)
            context.statuses = await calls
            context.status = await context.daemon.end()
            context.ended_after = clock.now() - context.stopped_at

    run(context, play())


@then("both calls are answered")
def both_answered(context):
    assert context.statuses == [503, 503], context.statuses


@when("an entry process of its own gets {name} while it reads its settings, and is let go on")
def stop_signal_at_start(context, name):
    context.daemon = DaemonProcess(context.platform)
    context.add_cleanup(lambda: run(context, context.daemon.close()))
    run(context, context.daemon.start_with_signal(signal.Signals[name]))


@then("it ends with the exit status 0 without becoming ready, and its log names {name}")
def ends_by_itself(context, name):
    assert run(context, context.daemon.end()) == 0
    lines = context.daemon.lines()
    events = [line["event"] for line in lines]
    assert "daemon.started" not in events, events
    assert [line["signal"] for line in lines if line["event"] == "daemon.signal"] == [name], lines


def ran(context, attempt):
    return sum(item.run_counts[attempt] for item in context.platform.backends.values())


@then("the process has ended within its grace period")
def ended_in_time(context):
    assert context.ended_after < context.grace, context.ended_after


@when("bookings are sent on kept connections from before it is told to stop until it has ended")
def bookings_until_end(context):
    async def call_often(name):
        async with aiohttp.ClientSession() as session:
            number = 0
            while context.daemon.process.returncode is None:
                number += 1
                await book(context, session, f"{name}-{number}", 3000)
                await asyncio.sleep(0.02)

    async def send():
        async with asyncio.TaskGroup() as group:
            for name in range(CALLERS):
                group.create_task(call_often(name))
            await asyncio.sleep(0.5)
            await stop(context)

    context.outcomes = []
    run(context, send())


@then("each that reached a backend is answered completely")
def reached_answered(context):
    reached = [item for item in context.outcomes if ran(context, item[1])]
    cut = [
        (sent_at - context.stopped_at, item)
        for sent_at, item, (status, *_) in reached
        if not status
    ]
    assert len(reached) > CALLERS and not cut, cut


@then("none that was sent later than {seconds:g} s after the signal reached a backend")
def none_late(context, seconds):
    late = [
        round(sent_at - context.stopped_at, 2)
        for sent_at, attempt, _ in context.outcomes
        if sent_at > context.stopped_at + seconds and ran(context, attempt)
    ]
    assert not late, late


@when("a caller reads the beginning of an answer, and the rest 3.6 s after the signal to stop")
def read_late(context):
    host, _, port = context.daemon.direct.front.rpartition(":")
    lines = (
        "GET /look/x HTTP/1.1",
        f"Host: {CALLER_HOST}",
        "X-Attempt-Id: a-1",
        "X-Deadline-Ms: 3000",
        f"Authorization: Bearer {API_KEY}",
    )

    async def read():
        connection = socket.socket()
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
        connection.connect((host, int(port)))
        reader, writer = await asyncio.open_connection(sock=connection, limit=65536)
        writer.write("".join(f"{line}\r\n" for line in (*lines, "")).encode())
        context.read = await reader.read(1)
        async with asyncio.TaskGroup() as group:
            group.create_task(stop(context))
            await asyncio.sleep(3.6)
            with contextlib.suppress(ConnectionError):
                while data := await reader.read(1 << 20):
                    context.read += data
        writer.close()

    run(context, read())


@then("the answer is whole")
def answer_is_whole(context):
    head, _, body = context.read.partition(b"\r\n\r\n")
    length = int(head.lower().partition(b"content-length: ")[2].split(b"\r\n")[0])
    assert length > ANSWER_BYTES and len(body) == length, (length, len(body))


@then("the decisions of any stop keep to its times")
def decisions(context):
    times = strategies.floats(0, 100)

    @examples(times, strategies.floats(0.5, 60), times, times, times)
    def check(began, grace, later, deadline, needed):
        stop = DrainTimes.begun(began, grace)
        assert began <= stop.closes_at <= stop.answers_at < began + grace
        assert stop.closes_at <= began + 3
        now = began + later
        assert stop.deadline(deadline) <= min(deadline, stop.answers_at)
        if stop.accepts(now, needed):
            assert now < stop.closes_at and now + needed <= stop.answers_at
        elif needed == 0 and now < stop.closes_at:
            assert now > stop.answers_at - 1

    check()


@when("the process begins to stop, and two streams of 60 and of 2000 tokens are asked for")
def streams_in_stop(context):
    (role,) = context.platform.entries
    role.front.drain.begin(DrainTimes.begun(clock.now(), 8.0))
    context.answers = [
        call(
            context,
            "/stream/x",
            f"s-{tokens}",
            {"X-Token-Usage": f"300,{tokens}", "X-Deadline-Ms": "30000"},
        )
        for tokens in (60, 2000)
    ]


@then("the short one is answered, and the long one is refused with a retry delay and has not run")
def long_refused(context):
    short, (status, headers, body) = context.answers
    assert short[0] == 200, short
    assert (status, headers["X-Reason"], headers["X-Verdict"]) == (503, "leaving", "not-run"), body
    assert 0 < float(headers["Retry-After"]) < 1
    assert not any(item.run_counts["s-2000"] for item in engines(context))
