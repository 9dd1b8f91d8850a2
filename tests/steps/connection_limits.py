"""Steps on the decisions about connections."""

import json

from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import strategies as st

from verbenaward.placement.connection_limits import (
    CONNECTION_BYTES,
    OTHER_SHARE,
    Cause,
    ConnectionTable,
    Kind,
    Phase,
    Verdict,
    reserved_descriptors,
)
from verbenaward.platform.declarations import parse_configuration
from verbenaward.platform.key_value import KeyValueEntry


def table_of(descriptors):
    closed = []
    table = ConnectionTable(lambda connection, cause: closed.append((connection, cause)))
    table.descriptors = descriptors
    return table, closed


@given("a table for {count:d} descriptors")
def table(context, count):
    context.connections, context.closed = table_of(count)


@when("30 connections open at 0 s, after 10 of them had requests one by one")
def open_many(context):
    connections = context.connections
    for index in (*range(10, 20), *range(10), *range(20, 30)):
        assert connections.opened(index, Kind.CALLER, 0.0) is Verdict.ACCEPT
        if index < 10:
            connections.received(index, 0.0)
            connections.began(index, 0.0)
            connections.ended(index, 0.2)


@then("at 0.3 s another one is refused, and the process is full until 1.3 s")
def refused(context):
    assert context.connections.opened("late", Kind.CALLER, 0.3) is Verdict.REFUSE
    assert context.connections.is_full(1.2) and not context.connections.is_full(1.3)
    assert context.connections.is_refused("late") and not context.closed
    context.connections.lost("late")


@then("at 1.4 s another one is accepted, the one closed for it had no request")
def accepted(context):
    assert context.connections.opened("new", Kind.CALLER, 1.4) is Verdict.ACCEPT
    assert context.closed == [(10, Cause.ROOM)]


@when("all have requests at 1.5 s, then half of them are refused")
def all_busy(context):
    table = context.connections
    for index in ["new", *range(30)]:
        if table.phase_of[index] is not Phase.CLOSING:
            table.received(index, 1.5)
    for index in ["new", *range(30)]:
        table.began(index, 1.5)
    assert len(table.members[Phase.BUSY]) == 15 and table.in_use == table.capacity == 30
    assert table.is_full(9.0)


@then("a process that got no descriptor for a send closes idle connections")
def shortage(context):
    table, closed = context.connections, context.closed
    busy = next(iter(table.members[Phase.BUSY]))
    table.ended(busy, 3.0)
    before = len(closed)
    table.record_shortage(4.0)
    assert closed[before:] == [(busy, Cause.ROOM)] and table.is_full(4.5)


@when("an idle connection and one with half a header are swept at 14.9, 17.5 and 17.6 s")
def sweep(context):
    table = context.connections
    table.sweep(0.0)
    table.opened("idle", Kind.CALLER, 0.0)
    table.opened("peer", Kind.CONTROL, 0.0)
    table.opened("half", Kind.CALLER, 0.0)
    table.received("half", 5.0)
    for now in range(1, 150):
        table.sweep(now / 10)
    assert not context.closed
    table.sweep(17.5)
    assert not context.closed
    table.sweep(17.6)


@then("the connections were closed at 17.6 s")
def both_closed(context):
    assert context.closed == [("idle", Cause.IDLE), ("half", Cause.HEADER)], context.closed


@when("connections open, send, end and are swept in any order, the limits hold")
def any_order(context):
    events = st.sampled_from(
        ("opened", "received", "began", "ended", "lost", "sweep", "shortage", "held")
    )
    steps = st.lists(st.tuples(events, st.integers(0, 30), st.floats(0, 3)), max_size=200)

    @for_all(st.integers(1, 40), steps)
    def check(descriptors, steps):
        table, _ = table_of(descriptors)
        now, is_open = 0.0, set()
        for event, connection, seconds in steps:
            now += seconds
            if event == "sweep":
                table.sweep(now)
            elif event == "shortage":
                table.record_shortage(now)
            elif event == "opened" and connection not in is_open:
                is_open.add(connection)
                if table.opened(connection, Kind.CALLER, now) is Verdict.DROP:
                    table.end(connection, Cause.DROPPED, now)
            elif event == "held":
                table.hold(connection, int(seconds * 1e7), now, is_waiting=seconds > 2)
            elif event == "lost":
                is_open.discard(connection)
                table.lost(connection)
            elif event != "opened" and connection in is_open:
                getattr(table, event)(connection, now)
            assert table.in_use <= table.capacity <= descriptors - reserved_descriptors(descriptors)
            counted = sum(len(members) for members in table.members.values())
            assert counted == len(table.phase_of) <= len(is_open)
            assert table.open_by_kind.total() == counted
            assert table.memory.connection_bytes == sum(table.held_bytes.values())
            assert {*table.waiting, *table.unread} <= set(table.held_bytes)
        for connection in is_open:
            table.lost(connection)
        assert not table.kinds and not table.open_by_kind.total() and table.in_use == 0
        assert table.memory.connection_bytes == 0

    check()


def accepted_count(table, kind, count):
    """Return how many of some connections are accepted and get a request."""
    verdicts = [table.opened((kind, index), kind, 0.0) for index in range(count)]
    for index in range(count):
        table.began((kind, index), 0.0)
    return verdicts.count(Verdict.ACCEPT)


@when("20 processes keep requests open")
def open_others(context):
    context.connections.other_share = OTHER_SHARE
    context.accepted = accepted_count(context.connections, Kind.CONTROL, 20)


@then("15 of them are accepted, and 7 callers with requests")
def half_accepted(context):
    table = context.connections
    assert context.accepted == 15 and table.other_in_use == 15, context.accepted
    accepted_count(table, Kind.CALLER, 20)
    assert len(table.members[Phase.BUSY]) == 7, table.in_use


@then("beside 15 callers with requests 5 processes are accepted")
def reserve_accepted(context):
    table, _ = table_of(40)
    table.other_share = OTHER_SHARE
    accepted_count(table, Kind.CALLER, 30)
    assert table.in_use == table.capacity == 30
    assert accepted_count(table, Kind.CONTROL, 20) == 5


@given("a table with memory for 100 KB in connections")
def table_with_memory(context):
    context.connections, context.closed = table_of(1000)
    context.connections.memory.connection_limit_bytes = 100_000


@when("connections hold 20 KB each: a running request, an unread answer, a waiting one and heads")
def hold_much(context):
    table, size = context.connections, 20_000 - CONNECTION_BYTES
    for now, name in enumerate(("running", "unread", "waiting", "old head", "young head")):
        table.opened(name, Kind.CALLER, now)
        table.received(name, now)
        if not name.endswith("head"):
            table.began(name, now)
        table.hold(name, size, now, is_waiting=name == "waiting", is_unread=name == "unread")
    assert not context.closed and table.memory.connection_bytes == 100_000


@then("a larger one closes the older head, the younger, the waiting one and the unread answer")
def closed_in_order(context):
    table = context.connections
    expected = ["old head", "young head", "waiting", "unread"]
    for count, name in enumerate(expected):
        table.hold("running", 20_001 + 20_000 * count - CONNECTION_BYTES, 9.0)
        assert context.closed[count:] == [(name, Cause.MEMORY)], context.closed


@then("what is left is counted")
def left_counted(context):
    table = context.connections
    table.hold("running", 500_000, 9.0)
    assert len(context.closed) == 4 and table.memory.connection_bytes == 500_000 + CONNECTION_BYTES
    table.lost("running")
    assert table.memory.connection_bytes == 0


@when("configurations limit the idle time to {texts}, none can be read for that field")
def malformed_limits(context, texts):
    for text in texts.replace(" and", ",").split(", "):
        limits = {"idle_timeout_ms": json.loads(text)}
        body = {"version": 1, "routes": [], "services": [], "limits": limits}
        entry = KeyValueEntry("op/config", json.dumps(body).encode(), 1)
        assert "idle_timeout_ms" in parse_configuration(entry).failure().message, text
