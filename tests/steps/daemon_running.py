"""Steps on daemons that run as real processes."""

import signal

import aiohttp
from behave import given, then, when

from standins.platform import send_request
from tests.daemon_process import DaemonProcess


def run(context, work):
    return context.loop.run_until_complete(work)


def start_daemon(context, **direct):
    context.daemon = DaemonProcess(context.platform, **direct)
    context.add_cleanup(lambda: run(context, context.daemon.close()))
    run(context, context.daemon.start())


@given("an entry process of its own that is ready")
def daemon_ready(context):
    start_daemon(context)
    run(context, context.daemon.wait_until_ready())


@when("an entry process of its own gets SIGHUP while it reads its settings")
def signal_at_start(context):
    context.daemon = DaemonProcess(context.platform)
    context.add_cleanup(lambda: run(context, context.daemon.close()))
    run(context, context.daemon.start_with_signal(signal.SIGHUP))


@then("it becomes ready, and has read its settings again")
def ready_and_reloaded(context):
    run(context, context.daemon.wait_until_ready())
    reloads = [line for line in context.daemon.lines() if line["event"] == "daemon.reload"]
    assert [line["outcome"] for line in reloads] == ["taken"], reloads


@when("it serves one request, refuses one and is told to stop")
def serve_and_stop(context):
    async def serve():
        async with aiohttp.ClientSession() as session:
            for path in ("/look/x", "/elsewhere"):
                await send_request(session, context.daemon.direct.front, path, "a-1")
        context.daemon.send(signal.SIGTERM)
        assert await context.daemon.end() == 0

    run(context, serve())


@then("each of its log lines names its VM and its role, those about requests too")
def lines_name_process(context):
    lines = context.daemon.lines()
    events = {line["event"] for line in lines}
    expected = {"request.sent", "request.turned-away", "entry.leaving", "daemon.stopped"}
    assert expected <= events, events
    unnamed = [
        line for line in lines if (line.get("vm"), line.get("role")) != ("entry-real", "entry")
    ]
    assert not unnamed, unnamed


@given("the log lines about requests are collected")
def collect_lines(context):
    context.lines = []
    log = context.platform.entries[0].front.forwarder.log
    log.write_line = lambda limit, event, **values: context.lines.append((event, values))


@then('the last line of that request is "{event}" with its reason, events, time and retries left')
def last_line(context, event):
    last, values = context.lines[-1]
    assert last == event, context.lines
    assert values["request"] == "a-1" and values["reason"], values
    assert values["events"] > 0 and 0 < values["left_ms"] < 3000, values
    assert values["retries_left"] >= 1, values
