"""Steps on items of the store, and on what other writers may have written."""

import json
import re
from pathlib import Path

from behave import then, when
from hypothesis import given as for_all
from hypothesis import strategies as st
from returns.result import Failure, Success

import verbenaward
from verbenaward.data import Fault
from verbenaward.knowledge.items import Changes, ItemView
from verbenaward.platform.declarations import backend_of, configuration_of, named_version_of
from verbenaward.platform.key_value import KeyValueEntry


def histories():
    keys = st.sampled_from(["a", "b", "c", "d"])
    return st.lists(st.tuples(keys, st.booleans()), min_size=1, max_size=30)


def entries_in(history):
    return [
        KeyValueEntry(key, b"" if gone else f"{index}".encode(), index + 2)
        for index, (key, gone) in enumerate(history)
    ]


def state_at(entries, revision):
    state = {}
    for entry in entries:
        if entry.version <= revision:
            state[entry.key] = entry
    return state


@when("histories of the store are told in any order, late, twice and in part")
def told_in_any_order(context):
    @for_all(histories(), st.lists(st.tuples(st.integers(0, 40), st.booleans()), max_size=20))
    def check(history, tellings):
        entries = entries_in(history)
        view, newest = ItemView(), 0
        for revision, complete in tellings:
            revision = min(revision, len(entries) + 1)
            state = state_at(entries, revision)
            if complete:
                told = tuple(entry for entry in state.values() if entry.value)
            else:
                told = tuple(entry for entry in entries if entry.version <= revision)
            view.take(Changes(revision, complete, told), 0.0)
            newest = max(newest, revision)
            expected = {k: e.value for k, e in state_at(entries, newest).items() if e.value}
            known = {k: e.value for k, e in view.items.items() if e.value}
            assert known == expected, (known, expected)
            assert view.revision == newest

    context.check = check


@then("each key has the newest item that was told")
def newest_item(context):
    context.check()


@when("two processes hear different parts and hand on to each other")
def hand_on(context):
    @for_all(histories(), st.integers(0, 31), st.integers(0, 31))
    def check(history, first, second):
        entries = entries_in(history)
        views = []
        for revision in (first, second):
            view = ItemView()
            revision = min(revision, len(entries) + 1)
            state = tuple(e for e in state_at(entries, revision).values() if e.value)
            if revision:
                view.take(Changes(revision, True, state), 0.0)
            views.append(view)
        one, two = views
        two.take(one.changes_after(two.revision), 0.0)
        one.take(two.changes_after(one.revision), 0.0)
        values = [{k: e.value for k, e in view.items.items() if e.value} for view in views]
        assert values[0] == values[1] and one.revision == two.revision

    context.check = check


@then("both know everything up to the higher revision")
def know_the_same(context):
    context.check()


@when("a complete reading comes late")
def late_reading(context):
    view = ItemView()
    view.take(Changes(5, False, (KeyValueEntry("old", b"1", 3), KeyValueEntry("new", b"1", 5))), 0)
    view.take(Changes(4, True, ()), 0)
    context.view = view


@then("keys that were removed are gone")
def removed_gone(context):
    assert not context.view.items["old"].value


@then("a key that was written after it stays")
def newer_stays(context):
    assert context.view.items["new"].value


@then("none counts as come back the first time, and all do the second time")
def told_apart(context):
    assert not any(context.first) and all(context.second)


WIRE_NAMES = (
    r"X-Attempt-Id|X-Deadline-Ms|X-Server-Signature|X-Tenant|X-Expect|X-Not-Executed|X-Weight-Versions"
    r"|X-Request-Priority|X-Token-Usage|X-Prompt-Prefix|X-Model|kv-(key|txn|watch|range|lease|keep)"
    r"|stage-(put|get)|op/config|op/version|servers/|path_prefix|max_attempts|chunk_hashes"
    r"|sample_count|model_name|switch_mode|inference_engine|target_latency_ms|\bapi_keys\b"
)


@when("the modules outside the platform folder are read")
def read_modules(context):
    root = Path(verbenaward.__file__).parent
    context.found = [
        (path.relative_to(root), match.group())
        for path in root.rglob("*.py")
        if path.relative_to(root).parts[0] != "platform"
        for match in re.finditer(WIRE_NAMES, path.read_text())
    ]


@then("none holds a header, path, key or field of the users' platform")
def no_names(context):
    own = {"X-Deadline-Ms"}  # a header of our own interface has the same name
    assert not [item for item in context.found if item[1] not in own], context.found


@when("any bytes and any JSON are decoded as registration, configuration and version")
def decode_anything(context):
    leaves = st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8)
    names = st.sampled_from(
        ["service", "address", "zone", "slots", "state", "version", "routes", "services", "x"]
    )
    values = st.recursive(
        leaves,
        lambda inner: st.lists(inner, max_size=3) | st.dictionaries(names, inner),
        max_leaves=8,
    )
    anything = st.binary(max_size=40) | values.map(lambda value: json.dumps(value).encode())

    @for_all(anything)
    def check(value):
        entry = KeyValueEntry("servers/x", value, 7)
        for decode in (backend_of, configuration_of, named_version_of):
            result = decode(entry)
            assert isinstance(result, Success) or (
                isinstance(result, Failure) and isinstance(result.failure(), Fault)
            )

    context.check = check


@then("each is a record or a typed fault")
def typed(context):
    context.check()


@when("10000 keys are written and removed, one after the other")
def many_keys(context):
    view = ItemView()
    for index in range(10_000):
        key = f"key-{index}"
        written = KeyValueEntry(key, b"1", 2 * index + 2)
        removed = KeyValueEntry(key, b"", 2 * index + 3)
        view.take(Changes(removed.version, False, (written, removed)), 0.0)
    context.view = view


@then("at most {count:d} are remembered")
def remembered(context, count):
    assert len(context.view.items) <= count


@then("an old reading brings none of them back")
def none_back(context):
    old = (KeyValueEntry("key-1", b"1", 4), KeyValueEntry("key-9999", b"1", 20_000))
    context.view.take(Changes(20_000, True, old), 0.0)
    assert not any(entry.value for entry in context.view.items.values())
