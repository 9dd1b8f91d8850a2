"""Steps on the parser of event streams."""

from behave import then, when
from hypothesis import given
from hypothesis import strategies as st

from tests.event_streams import MARK, STREAMS, dispatched, pieces_of
from verbenaward.requests.event_stream import EventStreamParser

CUTS = st.one_of(st.lists(st.integers(0, 200), max_size=12), st.just(range(400)))


def check_stream(stream, cuts, drops_mark=False):
    """Feed a stream, and compare with the format after each piece; return its bytes."""
    parser = EventStreamParser(drops_mark)
    events, raw, fed, last_id = [], b"", b"", ""
    for piece in pieces_of(stream, cuts):
        received = parser.feed(piece)
        fed, raw, end = fed + piece, raw + received.raw, 0
        for event in received.events:
            assert end <= event.start < event.end <= len(received.raw)
            end = event.end
            last_id = last_id if event.event_id is None else event.event_id
            if event.data is not None:
                events.append((event.data.decode(errors="replace"), last_id))
        assert events == dispatched(fed), (fed, events)
        assert parser.unfinished_bytes == len(parser.buffer)
        if not drops_mark:
            assert raw + parser.buffer == fed
    return raw + parser.buffer


@then("random streams have the events that the format defines, at once after each piece")
def random_streams(context):
    @given(STREAMS, CUTS)
    def check(stream, cuts):
        check_stream(stream, cuts)

    check()


@then("random streams that begin with a mark lose it, and only it, if they are joined")
def random_marks(context):
    @given(STREAMS, CUTS)
    def check(stream, cuts):
        assert check_stream(MARK + stream, cuts, drops_mark=True) == stream

    check()


@when('the pieces "{pieces}" are received')
def receive_pieces(context, pieces):
    parser = EventStreamParser()
    context.parts = [parser.feed(unescaped(piece)).raw for piece in pieces.split(",")]


@then('the parts returned are "{parts}"')
def parts_returned(context, parts):
    assert context.parts == [unescaped(part) for part in parts.split(",")], context.parts


def unescaped(text):
    return text.replace("\\r", "\r").replace("\\n", "\n").encode()


class CountingBuffer(bytearray):
    """A buffer that counts the bytes that are read from it."""

    read = 0

    def __getitem__(self, part):
        value = super().__getitem__(part)
        self.read += len(value)
        return value


@when("an event of {size:d} bytes is received in pieces of {piece_size:d} bytes")
def receive_long_event(context, size, piece_size):
    context.stream = b"data: " + b"x" * size + b"\r\n\r\n"
    parser = EventStreamParser()
    context.buffer = parser.buffer = CountingBuffer()
    context.received = b"".join(
        parser.feed(context.stream[start : start + piece_size]).raw
        for start in range(0, len(context.stream), piece_size)
    )


@then("it is returned whole, and each byte was read at most twice")
def read_twice(context):
    assert context.received == context.stream
    assert 0 < context.buffer.read <= 2 * len(context.stream), context.buffer.read
