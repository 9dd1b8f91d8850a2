"""Steps on backends that crashed, or seem to have crashed and live on."""

from behave import given, then, when

from tests.direct_fakes import NOW
from verbenaward.direct.crash_tracker import CrashTracker
from verbenaward.direct.survivors import Survivors
from verbenaward.placement.fleet import Fleet
from verbenaward.platform.key_value import KeyValueEntry
from verbenaward.platform.names import BACKEND_PREFIX
from verbenaward.replica.store_replica import StoreReplica

STEP = 0.1
BACKEND = (
    '{"service": "s", "address": "10.0.0.1:80", "zone": "z", "version": "v", "slots": 4, '
    '"state": "ready", "cold_remaining_ms": 0, "sequence": 1, "born": %d}'
)


@given("an entry process that saw a backend crash 10 s after its start")
def one_crash(context):
    context.fleet = Fleet(StoreReplica(), NOW - 10.0)
    register(context, 1, NOW - 9.0)
    (view,) = context.fleet.backends.values()
    context.name = view.notices.name
    context.tracker = CrashTracker()
    context.tracker.record_crash(b"request", context.name, NOW - 0.1, NOW)
    context.survivors = Survivors(context.tracker, context.fleet)
    context.changes = []
    context.is_away = lambda now: False


def register(context, born, now):
    value = (BACKEND % born).encode() if born else b""
    entry = KeyValueEntry(f"{BACKEND_PREFIX}i-1", value, int(now))
    context.fleet.apply_item(entry, now)


def after(context, seconds, action):
    context.changes.append((NOW + seconds, action))


def answer(context, now):
    context.survivors.record_answer(context.name, now - 0.05, now)


@when("its registration ends 4 s later")
def ends(context):
    after(context, 4.0, lambda now: register(context, 0, now))


@when("it answers under the same id, and its next start is registered 1.5 s later")
def same_id(context):
    after(context, 1.0, lambda now: answer(context, now))
    after(context, 2.5, lambda now: register(context, 2, now))


@when("the store is away from the crash on for 8 s")
def store_away(context):
    context.is_away = lambda now: now < NOW + 8.0


@when("the store is away as the next incarnation answers under the same id")
def answers_in_outage(context):
    context.is_away = lambda now: NOW + 0.5 < now < NOW + 6.0
    after(context, 1.0, lambda now: answer(context, now))


@then("the crash still counts {seconds:g} s after it")
def still_counts(context, seconds):
    complete_until = now = NOW
    while now < NOW + seconds:
        now += STEP
        due = [action for at, action in context.changes if now - STEP < at <= now]
        for action in due:
            action(now)
        if not context.is_away(now):
            complete_until = now - 0.2
        context.survivors.update(complete_until, now)
    assert context.tracker.records[b"request"].crashes
