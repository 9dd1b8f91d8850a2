"""Steps on chunks of a body, as their bytes are followed."""

import itertools

from behave import then, when
from hypothesis import given as for_all
from hypothesis import strategies as st

from verbenaward.answer_chunks import ChunkEnds

CHUNKS = st.lists(st.binary(min_size=1, max_size=40), min_size=1, max_size=4)
CUTS = st.lists(st.integers(0, 200), max_size=6)
EXTENSIONS = st.sampled_from((b"", b";a=b", b" "))


def body_of(chunks, extension, wrong=None):
    """Return a body in chunks; the one with the index `wrong` has a size too large by one."""
    parts = [
        b"%x%s\r\n%s\r\n" % (len(data) + (index == wrong), extension, data)
        for index, data in enumerate(chunks)
    ]
    return b"".join(parts) + b"0\r\n\r\n"


def is_sound(body, cuts):
    ends, places = ChunkEnds(), [0, *sorted(min(cut, len(body)) for cut in cuts), len(body)]
    for start, end in itertools.pairwise(places):
        ends.feed(body[start:end])
    return ends.is_sound


@when("chunks of any bytes come in any pieces")
def sound_chunks(context):
    @for_all(CHUNKS, EXTENSIONS, CUTS)
    def check(chunks, extension, cuts):
        assert is_sound(body_of(chunks, extension), cuts)

    context.check = check


@when("chunks of any bytes come in any pieces, one of them with a size that is too large by one")
def wrong_chunks(context):
    @for_all(CHUNKS, EXTENSIONS, CUTS, st.integers(0, 3))
    def check(chunks, extension, cuts, wrong):
        assert not is_sound(body_of(chunks, extension, wrong % len(chunks)), cuts)

    context.check = check


@then("they are sound")
def are_sound(context):
    context.check()


@then("they are not sound")
def are_not_sound(context):
    context.check()
