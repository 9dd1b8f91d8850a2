"""Steps on evidence of crashes that is kept in the store."""

from behave import given, then, when

from tests.direct_fakes import NOW, exchange_of
from verbenaward.direct.stored_crashes import StoredCrashes
from verbenaward.platform.key_value import KeyValueEntry
from verbenaward.platform.names import CRASHES_PREFIX
from verbenaward.schema.messages import CrashedBackend, CrashEvidence
from verbenaward.wire.codec import decode, encode

KEY = b"0123456789abcdef"
REVISION = 7
KNOWN, NEW = 1, 2


def store(context, value, revision=REVISION):
    entry = KeyValueEntry(CRASHES_PREFIX + KEY.hex(), value, revision)
    context.stored.apply_item(entry, NOW)


def evidence():
    return encode(CrashEvidence(KEY, (CrashedBackend(KNOWN, 0, 100),)))


def make(context, value):
    async def exchange():
        return exchange_of("entry-1", "zone-a", 9000, NOW)

    context.exchange = context.loop.run_until_complete(exchange())
    context.tracker = context.exchange.crashes
    replica, peers = context.exchange.replica, context.exchange.peers
    context.stored = StoredCrashes(context.tracker, replica, peers)
    store(context, value)


@given("a process whose store holds evidence of another process")
def known_evidence(context):
    make(context, evidence())
    context.known = {KNOWN}


@given("a process whose store holds evidence that nobody can read")
def unreadable_evidence(context):
    make(context, b"\xff\xff\xff")
    context.known = set()


@when("it sees a backend crash with that request")
def sees_crash(context):
    context.tracker.record_crash(KEY, NEW, NOW + 1.0, NOW + 1.1)


@then("it writes both the known crashes and this one over the revision that the store holds")
def writes_both(context):
    write = context.stored.next_write(NOW + 1.2)
    assert write.expected_revision == REVISION, write
    crashes = decode(CrashEvidence, write.value).crashes
    assert {crash.backend for crash in crashes} == {NEW, *context.known}, crashes
    context.stored.record_written(write, REVISION + 1, NOW + 1.3)
    assert context.stored.next_write(NOW + 9.0) is None


@when("it sees the request answered")
def sees_answer(context):
    context.tracker.record_answered(KEY, NOW + 1.0, NOW + 1.0)


@then("it deletes the key at the revision that the store holds")
def deletes(context):
    write = context.stored.next_write(NOW + 1.1)
    assert (write.value, write.expected_revision) == (b"", REVISION), write


@then("the same evidence once more from the store changes nothing")
def late_evidence(context):
    store(context, evidence(), REVISION + 1)
    assert not context.tracker.records[KEY].crashes
