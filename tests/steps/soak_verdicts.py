"""Steps on the verdicts of a soak."""

import dataclasses

from behave import given, then, when

from bench.soak_counting import Ending, RequestResult, RetryLimit
from bench.soak_deadly import DeadlyHistory
from bench.soak_verdicts import Arrival, History, ProcessEnd, judge, shortest_timeout

LIMIT = RetryLimit(ratio=0.2, extra=2, window_seconds=10.0)
REQUESTS = 150
"""Sent evenly, five a second: 12 repeats are allowed in ten seconds."""
REPEATS_AT = 20.0
STREAM, WHOLE, UNSAFE = "a1", "a2", "a3"
SENT_AT = 5.0
CHANGES = {}


def change(name):
    """Register a function that returns a history in which something has happened."""

    def decorate(function):
        CHANGES[name] = function
        return function

    return decorate


def sound(attempt, sent_at):
    return RequestResult(
        attempt, "edge-1", sent_at, sent_at + 1.2, Ending.COMPLETE, 200, "", True, verdict="ran"
    )


def sound_history():
    attempts = [f"a{number}" for number in range(1, REQUESTS + 1)]
    sent = {attempt: SENT_AT + number / 5 for number, attempt in enumerate(attempts)}
    return History(
        results=tuple(sound(attempt, at) for attempt, at in sent.items()),
        allowed_seconds=dict.fromkeys(attempts, 6.0),
        services=dict.fromkeys(attempts, "beds"),
        unsafe=frozenset([UNSAFE]),
        runs=dict.fromkeys(attempts, 1),
        arrivals=tuple((at, attempt) for attempt, at in sent.items()),
        kills={},
        stops={},
        resumptions={},
        grace_seconds=8.0,
        ends=(),
        limit=LIMIT,
    )


def ended(history, attempt, seconds=1.0, **fields):
    """Return the history with another end of one request, some seconds after its sending."""
    results = [
        dataclasses.replace(item, ended_at=item.sent_at + seconds, **fields)
        if item.attempt == attempt
        else item
        for item in history.results
    ]
    return dataclasses.replace(history, results=tuple(results))


def cut(history, attempt=STREAM, seconds=1.0):
    return ended(history, attempt, seconds, ending=Ending.LOST, is_whole=False, verdict="")


def stopped(history, at):
    return dataclasses.replace(history, stops={"edge-1": (at,)})


def killed(history, at, name="edge-1"):
    return dataclasses.replace(history, kills={name: (at,)})


def run_times(history, attempt, times):
    return dataclasses.replace(history, runs={**history.runs, attempt: times})


def refused(history):
    return ended(
        history, WHOLE, ending=Ending.COMPLETE, status=503, is_whole=False, verdict="not-run"
    )


def closed(history, seconds=0.5):
    return ended(history, WHOLE, seconds, ending=Ending.LOST, status=0, is_whole=False, verdict="")


def not_passed_on(history):
    arrivals = [item for item in history.arrivals if item[1] != WHOLE]
    return dataclasses.replace(history, arrivals=arrivals, runs={**history.runs, WHOLE: 0})


def of_two_services(history):
    """Two in five requests are for another service: 6 and 8 repeats are allowed in ten seconds."""
    services = {
        name: "assist" if number % 5 in (0, 3) else "beds"
        for number, name in enumerate(history.services)
    }
    return dataclasses.replace(history, services=services)


def repeated(history, count):
    chosen = [item.attempt for item in history.results[:count]]
    repeats = [(REPEATS_AT + number / 100, name) for number, name in enumerate(chosen * 2)]
    return dataclasses.replace(history, arrivals=(*history.arrivals, *repeats))


def process_ended(history, status, *signals):
    end = ProcessEnd("edge-1", status, frozenset(signals))
    return dataclasses.replace(history, ends=(end,))


def deadly(history, count, started_before=10.0):
    """Three crashes at 5 to 7 s, and further sends of the same request from 11 s on."""
    late = [11.0 + number for number in range(count)]
    names = [f"dead{number}" for number in range(3 + count)]
    found = DeadlyHistory(
        paths=dict.fromkeys(names, "/look/deadly"),
        entries=dict.fromkeys(names, "edge-1"),
        crashes={"/look/deadly": (5.0, 6.0, 7.0)},
        arrivals=tuple(zip((4.9, 5.9, 6.9, *late), names, strict=True)),
        signals={"edge-1": tuple(at - started_before for at in late)},
    )
    return dataclasses.replace(history, deadly=found)


def run_on(history, requests, backends, ended=()):
    names = [item.attempt for item in history.results]
    runs = [(name, f"b{number}") for name in names[:requests] for number in range(backends)]
    return dataclasses.replace(
        history,
        runs_at=runs,
        most_backends=dict.fromkeys(names, 2),
        ended_backends=frozenset(ended),
    )


def handed_on(history, count, deadline_seconds, is_late=False):
    found = [
        Arrival(item.sent_at + 0.1, item.attempt, "b1", deadline_seconds, is_late)
        for item in history.results[:count]
    ]
    own = {item.attempt: 2.0 for item in history.results}
    return dataclasses.replace(history, read=found, own_seconds=own)


def late_repeats(history, count):
    history = handed_on(history, count, 1.9)
    repeats = [dataclasses.replace(item, at=item.at + 1.0) for item in history.read]
    return dataclasses.replace(history, read=(*history.read, *repeats))


change("a deadly request is sent on 4 times too late")(lambda history: deadly(history, 4))
change("a deadly request is sent on 3 times too late")(lambda history: deadly(history, 3))
change("a deadly request is sent on 4 times by processes that were started 2 s before")(
    lambda history: deadly(history, 4, started_before=2.0)
)
change("4 requests run on 3 backends")(lambda history: run_on(history, 4, 3))
change("3 requests run on 3 backends")(lambda history: run_on(history, 3, 3))
change("4 requests run on 3 backends, of which one has crashed")(
    lambda history: run_on(history, 4, 3, ended=("b2",))
)
change("21 requests are handed on without a deadline")(lambda history: handed_on(history, 21, None))
change("20 requests are handed on without a deadline")(lambda history: handed_on(history, 20, None))
change("21 requests are handed on with 0.6 s more than they have")(
    lambda history: handed_on(history, 21, 2.6)
)
change("21 requests that stood unread are handed on without a deadline")(
    lambda history: handed_on(history, 21, None, is_late=True)
)
change("21 late repeats end after their first send and their caller")(
    lambda history: late_repeats(history, 21)
)
change("a stream is cut by its backend")(
    lambda history: dataclasses.replace(cut(history), broken_off=frozenset([STREAM]))
)
change("a stream ends after 3 of its events")(
    lambda history: ended(
        history, STREAM, is_whole=False, event_times=(5.1, 5.2, 5.3), ending=Ending.COMPLETE
    )
)
change("a whole answer ends within its body")(lambda history: cut(history, WHOLE))
change("a stream is cut before the timeouts that were in force")(
    lambda history: cut(history, seconds=5.8)
)
change("a stream is cut long after its process was killed")(
    lambda history: killed(cut(history), SENT_AT - 1)
)
change("a stream is cut while another process is killed")(
    lambda history: killed(cut(history), SENT_AT + 0.9, "edge-2")
)
change("a request that was passed on is closed without an answer")(closed)
change("a request is closed 2 s after its sending, without an answer")(
    lambda history: not_passed_on(closed(history, 2.0))
)
change("a request is closed 2 s after its sending, as its process was stopped")(
    lambda history: dataclasses.replace(
        not_passed_on(closed(history, 2.0)), resumptions={"edge-1": (SENT_AT + 1.5,)}
    )
)
change("a request that was passed on is closed by a process that was stopped")(
    lambda history: dataclasses.replace(closed(history), resumptions={"edge-1": (SENT_AT + 0.5,)})
)
change("a request that was not passed on crosses the close of its connection")(
    lambda history: not_passed_on(closed(history))
)
change("a stream is cut 5 s after its process got SIGTERM")(
    lambda history: stopped(cut(history, seconds=4.0), SENT_AT - 1.0)
)
change("a stream is cut late in the grace period")(
    lambda history: stopped(cut(history, seconds=5.5), SENT_AT - 1.5)
)
change("a stream is cut in a stop that began 4 s before its sending")(
    lambda history: stopped(cut(history, seconds=3.5), SENT_AT - 4.0)
)
change("an unsafe request runs twice")(lambda history: run_times(history, UNSAFE, 2))
change("a request runs that was answered not-run")(refused)
change("a request runs on a second backend before it is answered not-run")(
    lambda history: run_times(refused(history), WHOLE, 2)
)
change("8 requests are repeated twice within a second")(lambda history: repeated(history, 8))
change("a process ends without a signal")(lambda history: process_ended(history, 0))
change("a process ends after SIGHUP")(lambda history: process_ended(history, -1, "SIGHUP"))
change("a process ends with an error after SIGTERM")(
    lambda history: process_ended(history, 1, "SIGTERM")
)
change("a stream is cut by the end of a killed process")(
    lambda history: killed(cut(history), SENT_AT + 0.9)
)
change("a stream is cut at its deadline")(lambda history: cut(history, seconds=5.95))
change("a stream is cut at the timeout of its route")(
    lambda history: dataclasses.replace(
        cut(history, seconds=3.0), allowed_seconds={**history.allowed_seconds, STREAM: 3.0}
    )
)
change("a killed process closes a connection")(
    lambda history: killed(closed(history), SENT_AT + 0.5)
)
change("a caller finds no connection")(
    lambda history: ended(
        history, WHOLE, ending=Ending.NO_CONNECTION, status=0, is_whole=False, verdict=""
    )
)
change("a request is refused as not-run")(lambda history: run_times(refused(history), WHOLE, 0))
change("a caller leaves at its deadline")(
    lambda history: ended(history, STREAM, 6.0, ending=Ending.ABANDONED, is_whole=False)
)
change("a safe request runs twice")(lambda history: run_times(history, WHOLE, 2))
change("6 requests are repeated twice within a second")(lambda history: repeated(history, 6))
change("7 requests of two services are repeated twice within a second")(
    lambda history: repeated(of_two_services(history), 7)
)
change("a process ends after SIGTERM")(lambda history: process_ended(history, 0, "SIGTERM"))
change("a process ends after SIGKILL")(
    lambda history: process_ended(history, -9, "SIGKILL", "SIGTERM")
)


def needed(history, megabytes):
    return dataclasses.replace(history, peaks={"edge-1": megabytes}, memory_megabytes=300.0)


change("a process has needed 301 MB of 300")(lambda history: needed(history, 301.0))
change("a process has needed 299 MB of 300")(lambda history: needed(history, 299.0))


@given("the history of a soak without a fault")
def given_sound_history(context):
    context.history = sound_history()
    assert judge(context.history) == []


@when("in it {event}")
def change_history(context, event):
    context.history = CHANGES[event](context.history)


@then('just the verdict "{verdict}" is broken')
def check_broken(context, verdict):
    violations = judge(context.history)
    assert {item.verdict for item in violations} == {verdict}, violations


@then("no verdict is broken")
def check_none_broken(context):
    assert judge(context.history) == [], judge(context.history)


@given("configurations with timeouts of 6, 2 and 4 seconds at 0, 20 and 30 seconds")
def give_timeouts(context):
    context.timeouts = [(0.0, {"/a/": 6.0}), (20.0, {"/a/": 2.0}), (30.0, {"/a/": 4.0})]


@then("a request from {start:d} to {end:d} seconds may take {allowed:d} seconds")
def check_allowed(context, start, end, allowed):
    assert shortest_timeout(context.timeouts, "/a/", start, end) == allowed
