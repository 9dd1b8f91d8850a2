"""Steps on what the log says of the end of each request."""

import asyncio
import contextlib
from collections import Counter
from unittest import mock

import aiohttp
from behave import given, then, when

from standins.platform import API_KEY, CALLER_HOST, send_request
from tests.steps.platform_running import call, plain, run, until
from verbenaward import clock
from verbenaward.direct import request_log

HEAD = (
    "POST /book/x HTTP/1.1",
    f"Host: {CALLER_HOST}",
    "X-Attempt-Id: a-1",
    "X-Deadline-Ms: 3000",
    f"Authorization: Bearer {API_KEY}",
    "Content-Length: 10",
    "",
)


def front_of(context):
    return context.platform.entries[0].front


@given("the log of requests takes {count:d} lines a second")
def small_log(context, count):
    log = front_of(context).forwarder.log
    context.lines_per_second, context.limited_at = count, clock.now()
    log.usual = request_log.LineRateLimit(count, available=count, refilled_at=clock.now())
    patch = mock.patch.object(request_log, "LOG")
    context.log = patch.start()
    context.add_cleanup(patch.stop)


@when("callers send {count:d} look-ups at once")
def look_ups(context, count):
    address = context.platform.entries[0].direct.front

    async def send():
        async with aiohttp.ClientSession() as session:
            names = [f"l-{number}" for number in range(count)]
            await asyncio.gather(
                *(send_request(session, address, f"/look/{name}", name) for name in names)
            )

    run(context, send())


@then("lines were dropped, and each request whose send was logged has one line about its end")
def ends_logged(context):
    calls = [(item.args[0], item.kwargs) for item in context.log.info.call_args_list]
    sent = {values["request"] for event, values in calls if event == "request.sent"}
    ends = Counter(values["request"] for event, values in calls if event == "request.answered")
    assert sent and {name: ends[name] for name in sent} == dict.fromkeys(sent, 1), calls
    log = front_of(context).forwarder.log
    assert log.usual.dropped or any("dropped" in values for _, values in calls), calls


@then("no more lines were written than the limit allows")
def within_limit(context):
    events = [item.args[0] for item in context.log.info.call_args_list]
    usual = [event for event in events if event in ("request.sent", "request.answered")]
    seconds = clock.now() - context.limited_at
    assert len(usual) <= context.lines_per_second * (1 + seconds), events


async def leave(context, body):
    host, _, port = context.platform.entries[0].direct.front.rpartition(":")
    _, writer = await asyncio.open_connection(host, int(port))
    writer.write("\r\n".join((*HEAD, "")).encode() + body)
    assert await until(lambda: front_of(context).drain.count == 1)
    if len(body) == 10:
        assert await until(lambda: any(item.run_counts["a-1"] for item in plain(context)))
    writer.close()
    assert await until(lambda: front_of(context).drain.count == 0)


@when("a request ends without an answer, as its caller leaves before its body is whole")
def leaves_early(context):
    run(context, leave(context, b"beds"))


@when("a request ends without an answer, as its caller leaves before it is answered")
def leaves(context):
    for backend in plain(context):
        backend.mode = "hang"
    run(context, leave(context, b"0123456789"))


@when("a request ends without an answer, as an unexpected error is raised")
def raises(context):
    front_of(context).forwarder.run = mock.AsyncMock(side_effect=RuntimeError("unexpected"))
    with contextlib.suppress(aiohttp.ClientError):
        call(context, "/look/x")


@then('the last line of that request is "{event}" and its reason names {reason}')
def last_line(context, event, reason):
    last, values = context.lines[-1]
    assert last == event, context.lines
    why = values.get("reason") or values["message"]
    assert values["request"] == "a-1" and reason in why, values
