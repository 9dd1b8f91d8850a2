"""Steps on start times of backends whose time of day has jumped."""

import json

from behave import given, then, when

from tests.direct_fakes import NOW
from verbenaward.placement.fleet import Fleet
from verbenaward.platform.key_value import KeyValueEntry
from verbenaward.platform.names import BACKEND_PREFIX
from verbenaward.replica.store_replica import Changes, StoreReplica

NAMES = {"first": "e-0", "second": "e-0-again"}


def change(context, name, value):
    context.revision += 1
    entry = KeyValueEntry(BACKEND_PREFIX + name, value, context.revision)
    context.fleet.replica.apply(Changes(context.revision, False, (entry,)), NOW)


def registration(born):
    fields = {"service": "s", "address": "h:1", "zone": "z", "slots": 1, "state": "ready"}
    return json.dumps({"born": born, **fields}).encode()


@given("a backend that was registered at start time {born:d}")
def registered(context, born):
    context.fleet = Fleet(StoreReplica(), NOW)
    context.revision = 1
    context.first = registration(born)
    change(context, NAMES["first"], context.first)
    assert set(context.fleet.backends) == {NAMES["first"]}


@when("another incarnation registers at its address with start time {born:d}")
def registers_again(context, born):
    change(context, NAMES["second"], registration(born))


@when("the registration of the first one comes again by an older copy")
def comes_again(context):
    entry = KeyValueEntry(BACKEND_PREFIX + NAMES["first"], context.first, 2)
    context.fleet.apply_registration(entry, NOW)


@when("the registration of the {which} one ends {trouble}")
def ends(context, which, trouble):
    context.fleet.store_failed_at = NOW if trouble == "after an outage" else 0.0
    change(context, NAMES[which], b"")


@then("only the second one is used")
def second_used(context):
    used = [view.backend.identity for view in context.fleet.usable("s", NOW)]
    assert used == [NAMES["second"]], used


@then("no backend is used")
def none_used(context):
    assert not context.fleet.usable("s", NOW)
