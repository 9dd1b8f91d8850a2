import json

from behave import then, when
from hypothesis import given
from hypothesis import strategies as st

from verbenaward.configuration.documents import check_document
from verbenaward.configuration.manifest import parse_manifest
from verbenaward.configuration.settings import settings_faults
from verbenaward.schema.settings import Settings

VALID = {
    "format": 1,
    "role": "entry",
    "vm": "entry-1",
    "region": "norte",
    "zone": "norte-a",
    "listen": "10.0.0.1:7100",
    "platform": {"key_value": "http://10.0.0.9:7300"},
}
JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(max_size=5),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.sampled_from([*VALID, "releases", "services", "x"]), inner, max_size=5)
    ),
    max_leaves=8,
)


def check(kind, payload):
    if kind == "manifest":
        return parse_manifest("test", payload)
    return check_document("test", payload, "settings", Settings, settings_faults)


@when('the {kind} "{text}" is checked')
def check_text(context, kind, text):
    context.faults = check(kind, text.encode()).faults


@then('a fault names "{path}" and says "{message}"')
@then('a fault names "" and says "{message}"')
def check_fault(context, message, path=""):
    found = [item for item in context.faults if item.path == path and message in item.message]
    assert found, context.faults


@then("there are at least {count:d} faults")
def check_count(context, count):
    assert len(context.faults) >= count, context.faults


@when("a settings file with comments and a byte order mark is checked")
def check_comments(context):
    text = "// the first entry VM\n" + json.dumps(VALID, indent=1)
    payload = b"\xef\xbb\xbf" + text.encode()
    context.checked = check("settings", payload)


@then("it has no faults")
def check_none(context):
    assert not context.checked.faults, context.checked.faults


@when("a document of two million bytes is checked")
def check_large(context):
    context.faults = check("manifest", b" " * 2_000_000).faults


@then("random bytes and random JSON give faults or a document, never an exception")
def check_random(context):
    @given(st.sampled_from(["settings", "manifest"]), st.binary(max_size=60) | JSON_VALUES)
    def run(kind, value):
        payload = value if isinstance(value, bytes) else json.dumps(value).encode()
        checked = check(kind, payload)
        assert (checked.value is None) == bool(checked.faults)

    run()
