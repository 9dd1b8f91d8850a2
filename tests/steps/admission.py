"""Steps on levels of urgency and admission."""

import itertools
import json
from dataclasses import replace
from unittest.mock import patch

from behave import given, then, when

from bench.placement_simulation import PlacementSimulation, SimulationSettings, class_rows
from bench.simulated_deployments import THREE_PRIORITIES
from tests.direct_fakes import ENGINE, NOW, ROUTE, fleet_of, request_of
from verbenaward.data import CallerLimits, RoutingConfiguration, ServiceShare, WorkspaceDeclaration
from verbenaward.direct.broadcast.loads import own_loads, remote_load
from verbenaward.direct.request_log import RequestLog
from verbenaward.logs import configure_logs
from verbenaward.metrics import sample_sum
from verbenaward.placement.admission import AdmissionRecord, Demand, Forecast, decide
from verbenaward.placement.backends import first_event_seconds
from verbenaward.placement.levels import level_of, urgency_of
from verbenaward.placement.placer import Choice, rank_of
from verbenaward.placement.routes import route_table_of
from verbenaward.requests.refusals import not_run
from verbenaward.schema.messages import BackendLoad
from verbenaward.wire.codec import decode, encode

TARGETS = {0: 0.4, 1: 0.4, 2: 1.0, None: 0.4}


def numbers(text):
    return [int(part) for part in text.split(",")]


def demand(level, is_late=False):
    target = TARGETS[level]
    return Demand(level, is_late, target, target, 5.0, 0.0, 0.1)


def decide_and_record(record, level, seconds, now):
    forecast = Forecast(seconds, seconds)
    decision = decide(demand(level), forecast, record, now)
    record.record(demand(level), seconds, decision.is_admitted, now)
    return decision.is_admitted


@given("routes with the priorities {routes} and workspaces with the priorities {workspaces}")
def configured(context, routes, workspaces):
    shares = (ServiceShare("engines", 1.0),)
    declared = {
        "none": (),
        "route": (WorkspaceDeclaration("one", ("key",), None),),
        "5": (WorkspaceDeclaration("one", ("key",), 5),),
        "5 and 1": (
            WorkspaceDeclaration("one", ("key",), 5),
            WorkspaceDeclaration("two", ("other",), 1),
        ),
    }
    configuration = RoutingConfiguration(
        1,
        1,
        tuple(
            replace(ROUTE, prefix=f"/{index}/", priority=priority, shares=shares)
            for index, priority in enumerate(numbers(routes))
        ),
        (),
        declared[workspaces],
        CallerLimits(),
    )
    context.workspace_priority = declared[workspaces][0].priority if declared[workspaces] else None
    context.urgencies = route_table_of(configuration).urgencies["engines"]


@then("requests of the priorities {priorities} have the levels {levels}")
def has_levels(context, priorities, levels):
    routes = [replace(ROUTE, priority=priority) for priority in numbers(priorities)]
    urgencies = [urgency_of(route, context.workspace_priority) for route in routes]
    found = [level_of(context.urgencies, urgency) for urgency in urgencies]
    assert found == json.loads(f"[{levels}]".replace("None", "null")), found


@then("a {kind} request of level {level:d} has the rank {rank:d}")
def has_rank(context, kind, level, rank):
    request = replace(request_of(prompt=3000 if kind == "long" else 900), level=level)
    found = rank_of(request, kind == "late")
    assert found == rank, found


@given("a backend with all slots in use and {count:d} waiting requests of level 1")
def full_backend(context, count):
    context.view = fleet_of(1).backends["e-0"]
    for _ in range(16):
        context.view.record_started(0)
    for _ in range(count):
        context.view.record_started(900, 1)


def forecast(context, level, urgent_share=0.0):
    return first_event_seconds(context.view, ENGINE, 900, NOW, level, urgent_share)


@then("the forecast of level 0 is shorter than that of level 1")
def shorter(context):
    assert forecast(context, 0) < 0.5 * forecast(context, 1)


@then("the forecast of level 1 is that of a service without levels")
def same_as_without(context):
    assert forecast(context, 1) == forecast(context, None)


@then("the forecast of level 1 is longer if half of the recent work was of level 0")
def longer(context):
    record = AdmissionRecord()
    for level in (0, 1):
        record.record(demand(level), 0.1, True, NOW)
    share = record.urgent_share(1, NOW)
    assert record.urgent_share(0, NOW) == 0.0
    assert share == 0.5, share
    assert forecast(context, 1, share) > 1.5 * forecast(context, 1)


@given("load reports of a process with one waiting request of each level")
def reported(context):
    sender = fleet_of(1)
    for level in (0, 1, 2):
        sender.backends["e-0"].record_started(100 * (level + 1), level)
    context.reported = decode(BackendLoad, encode(own_loads(sender)[0]))


def receiver(load):
    view = fleet_of(1).backends["e-0"]
    view.remote_loads["other"] = remote_load(load, NOW, 2.0)
    return [view.all_less_urgent(level, NOW) for level in (0, 1, 2)]


@then("the receiver counts 2 requests below level 0 and 1 below level 1")
def counted(context):
    found = receiver(context.reported)
    assert found == [(2, 500), (1, 300), (0, 0)], found


@then("it counts none below any level in a report of the previous build")
def counted_previous(context):
    assert receiver(BackendLoad(context.reported.backend, 3, 600)) == [(0, 0)] * 3


@given("a backend where a request of level 2 has waited for {seconds:g} s")
def awaited(context, seconds):
    context.view = fleet_of(1).backends["e-0"]
    context.view.record_awaited(1, 2, NOW - seconds)


@then("level 0 sees no overdue first event there, and level 2 sees {seconds:g} s")
def sees_overdue(context, seconds):
    found = [context.view.longest_first_event_wait(NOW, level) for level in (0, 2)]
    assert found[0] == 0.0, found
    assert abs(found[1] - seconds) < 1e-6, found


@given("requests of level 0 whose forecasts show a shortage for {seconds:g} s")
def shortage(context, seconds):
    context.record = AdmissionRecord()
    for step in range(round(seconds / 0.1) + 1):
        context.now = NOW + 0.1 * step
        # An idle backend: level 2 is not refused altogether, so its minimum admits nothing.
        assert decide_and_record(context.record, 2, 0.01, context.now)
        decide_and_record(context.record, 0, 0.35, context.now)


@then("a request of level 2 with a forecast of 0.6 s and a target of 1.0 s is {outcome}")
def decided(context, outcome):
    is_admitted = decide_and_record(context.record, 2, 0.6, context.now)
    assert is_admitted == (outcome == "admitted")


@then("a request of level 2 with a forecast of 0.2 s is allowed after about 2 s, not before")
def allowed_after(context):
    seconds = context.record.seconds_until_allowed(2, 0.2, context.now)
    assert 1.5 < seconds < 2.5, seconds
    for after, is_admitted in ((-0.1, False), (0.1, True)):
        now = context.now + seconds + after
        found = context.record.limit_seconds(2, now) >= 0.2
        assert found == is_admitted, after


@when("a request of level 2 is refused for overload")
def refuse_one(context):
    context.count = sample_sum("verbenaward_refusals_total", level="2", reason="overload")
    request = replace(request_of(), level=2)
    choice = Choice(fleet_of(1).backends["e-0"], 0.6, 0, 0.6)
    log = RequestLog()
    with patch.object(log, "write_line") as write:
        log.refused(request, not_run(503, "overload", "full", 1.2), choice, 0.04)
    context.fields = write.call_args.kwargs


@then('the counter of level 2 and "overload" has grown by 1')
def counted_refusal(context):
    count = sample_sum("verbenaward_refusals_total", level="2", reason="overload")
    assert count == context.count + 1, (context.count, count)


@then("the log line has its level, forecast and limit")
def logged_refusal(context):
    found = [context.fields[name] for name in ("urgency", "expected_ms", "allowed_ms")]
    assert found == [2, 600, 40], found


@when("100 requests of level 2 with a forecast of {seconds:g} s are decided within a second")
def decide_many(context, seconds):
    record = AdmissionRecord()
    context.admitted = sum(
        decide_and_record(record, 2, seconds, NOW + index / 100) for index in range(100)
    )


@then("{count:d} of them are admitted")
def count_admitted(context, count):
    assert context.admitted == count, context.admitted


@when("a request of level 1 is decided every {step:g} s with a forecast of {seconds:g} s")
def decide_slowly(context, step, seconds):
    context.admitted_at = [context.now]
    for index in range(20):
        now = context.now + step * index
        decide_and_record(context.record, 0, 0.35, now)
        if decide_and_record(context.record, 1, seconds, now):
            context.admitted_at.append(now)
    context.ended_at = now


@then("none of them waits over {seconds:g} s for the next one that is admitted")
def no_long_wait(context, seconds):
    times = [*context.admitted_at, context.ended_at]
    gaps = [later - earlier for earlier, later in itertools.pairwise(times)]
    assert 0.5 < max(gaps) <= seconds, gaps


@then("a late request of level 1 with a forecast of 0.9 of its target is admitted")
def late_admitted(context):
    assert decide(demand(1, True), Forecast(0.36, 0.36), AdmissionRecord(), NOW).is_admitted


@then("a late request without a level and with that forecast is refused")
def late_refused(context):
    found = decide(demand(None, True), Forecast(0.36, 0.36), AdmissionRecord(), NOW)
    assert not found.is_admitted


@when("classes of three priorities are simulated at a load of {load:g} with bursts")
def simulate_priorities(context, load):
    configure_logs("critical")
    context.plays = {}
    for has_levels in (False, True):
        play = PlacementSimulation(
            SimulationSettings(load=load, deployment=THREE_PRIORITIES, has_levels=has_levels)
        )
        play.run()
        context.plays[has_levels] = play


@then("the shares on time are in the order of the priorities")
def in_order(context):
    rows = class_rows(THREE_PRIORITIES, [context.plays[True]])
    shares = [row["on-time"] for row in rows]
    assert shares == sorted(shares, reverse=True), shares


@then("callers get more than without levels")
def get_more(context):
    worth = {key: play.tally.earned / play.tally.owed for key, play in context.plays.items()}
    assert worth[True] > worth[False], worth
