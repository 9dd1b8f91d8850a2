import contextlib
import dataclasses
import enum
import typing

from behave import then, when
from hypothesis import given
from hypothesis import strategies as st

from verbenaward.schema import messages
from verbenaward.wire.codec import MalformedMessageError, decode, encode

TYPES = [
    item
    for item in vars(messages).values()
    if dataclasses.is_dataclass(item) and item.__module__ == messages.__name__
]


def strategy_of(kind):
    if typing.get_origin(kind) is tuple:
        inner = strategy_of(typing.get_args(kind)[0])
        return st.lists(inner, max_size=3).map(tuple)
    if dataclasses.is_dataclass(kind):
        hints = typing.get_type_hints(kind)
        return st.builds(kind, **{name: strategy_of(hint) for name, hint in hints.items()})
    if isinstance(kind, type) and issubclass(kind, enum.Enum):
        return st.sampled_from(list(kind))
    simple = {
        str: st.text(
            st.characters(blacklist_categories=("Cs",), blacklist_characters="\0"), max_size=20
        ),
        bytes: st.binary(max_size=40),
        bool: st.booleans(),
        int: st.integers(0, 2**16 - 1),
    }
    return simple[kind]


MESSAGES = st.one_of([strategy_of(kind) for kind in TYPES])


@then("random messages of every type decode to themselves")
def round_trip(context):
    @given(MESSAGES)
    def check(message):
        assert decode(type(message), encode(message)) == message

    check()


@then("corrupt messages raise no exception except the typed error")
def check_corrupt(context):
    @given(MESSAGES, st.data())
    def check(message, data):
        payload = bytearray(encode(message))
        if payload:
            payload[data.draw(st.integers(0, len(payload) - 1))] ^= data.draw(st.integers(1, 255))
        cut = data.draw(st.integers(0, len(payload)))
        with contextlib.suppress(MalformedMessageError):
            decode(type(message), bytes(payload[:cut]))

    check()


@when("a message of {count:d} items is cut off anywhere")
def cut_message(context, count):
    items = tuple(
        messages.StoredItem(key=f"key-{index}", value=bytes([index % 250 + 1]) * 60)
        for index in range(count)
    )
    context.message = messages.StoredItems(revision=5, items=items)
    context.payload = encode(context.message)


@then("each part of it raises the typed error, and the whole one is decoded")
def parts_rejected(context):
    for end in range(0, len(context.payload), 499):
        with contextlib.suppress(MalformedMessageError):
            decode(messages.StoredItems, context.payload[:end])
            raise AssertionError(f"{end} of {len(context.payload)} bytes were accepted")
    assert decode(messages.StoredItems, context.payload) == context.message
