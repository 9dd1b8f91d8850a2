"""Steps on manifests that the origin spoils, and on what is believed of its answers."""

import hashlib
import json

from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import strategies as st

from tests.steps.platform_running import run, until
from verbenaward.distribution.chunk_events import DIGESTS_INDEX, ChunkKey
from verbenaward.distribution.confirmation import KEPT_ANSWERS, Confirmation, Doubts
from verbenaward.replica.chunk_digests import digests_key

KEY = digests_key("model", 1)
FAULTS = {
    "a digest with a wrong digit": lambda items: ["00" + items[0][2:], *items[1:]],
    "no last digest": lambda items: items[:-1],
    "a digest too many": lambda items: [*items, hashlib.sha256(b"").hexdigest()],
    "the same digest twice": lambda items: [items[1], *items[1:]],
    "digests in upper case": lambda items: [item.upper() for item in items],
}


@given("the first manifest has {fault}")
def spoil_first(context, fault):
    origin = context.platform.origin

    def spoil(body):
        origin.spoil_manifest = lambda sound: sound
        manifest = json.loads(body)
        if fault == "no end":
            return body[: len(body) // 2]
        if fault == "the number of version 2":
            return json.dumps(manifest | {"version": 2}).encode()
        manifest["chunk_hashes"] = FAULTS[fault](manifest["chunk_hashes"])
        return json.dumps(manifest).encode()

    origin.spoil_manifest = spoil
    count_writes(context)


@given("the store has digests of version 1 like a manifest with {fault}")
def stored_wrong(context, fault):
    digests = [hashlib.sha256(chunk).hexdigest() for chunk in context.platform.origin.versions[1]]
    context.platform.store.put(KEY, bytes.fromhex("".join(FAULTS[fault](digests))))
    count_writes(context)


def count_writes(context):
    """Record what is written to the key of the digests."""
    store, put = context.platform.store, context.platform.store.put
    context.written = []

    def record(key, value, *more):
        if key == KEY:
            context.written.append(value)
        return put(key, value, *more)

    store.put = record


@then("the store has the right digests of version 1, written once")
def stored_right(context):
    chunks = context.platform.origin.versions[1]
    right = b"".join(hashlib.sha256(chunk).digest() for chunk in chunks)
    assert run(context, until(lambda: context.written == [right])), context.written
    assert context.platform.store.items[KEY][0] == right
    key = ChunkKey("model", 1, DIGESTS_INDEX)
    caches = [role.relay.cache.bodies for role in context.platform.entries]
    assert run(context, until(lambda: all(item.get(key) == right for item in caches)))


@then("the store gets the right digests of version 1 again")
def stored_again(context):
    right, items = context.written[0], context.platform.store.items
    assert run(context, until(lambda: items[KEY][0] == right)), context.written
    assert context.written == [right, right], context.written


@when("the origin sends single wrong answers among right ones")
def wrong_answers(context):
    wrong = st.lists(st.integers(1, 99), unique=True, max_size=KEPT_ANSWERS - 2)
    context.histories = st.tuples(wrong, st.integers(0, 9), st.integers(0, 9))


@then("only the second right answer is believed")
def second_believed(context):
    @for_all(context.histories)
    def check(history):
        answers, *places = history
        for place in places:
            answers = [*answers[:place], 0, *answers[place:]]
        confirmation = Confirmation()
        found = [confirmation.add(answer) for answer in answers]
        last = len(answers) - 1 - answers[::-1].index(0)
        assert [index for index, is_confirmed in enumerate(found) if is_confirmed] == [last]

    check()


@when("the origin sends chunks that do not match")
def wrong_chunks(context):
    context.doubts = Doubts()


@then("different wrong bytes are no doubt, and equal ones are one in {seconds:d} seconds")
def doubted(context, seconds):
    doubts = context.doubts
    assert not any(doubts.record(3, digest, 10.0) for digest in (b"a", b"b", b"c"))
    assert not doubts.record(4, b"a", 10.0) and doubts.record(3, b"a", 10.0)
    assert not doubts.record(3, b"a", 20.0)
    doubts.end_reading(20.0)
    assert not doubts.record(3, b"a", 20.0 + seconds - 0.1)
    assert doubts.record(3, b"a", 20.0 + seconds)
