"""Event streams drawn at random, and the format as its standard words it, for whole streams."""

import itertools
import re

from hypothesis import strategies as st

MARK = b"\xef\xbb\xbf"
ENDS = (b"\n", b"\r\n", b"\r")
LINES = (
    *(
        b"",
        b"",
        b"data: x",
        b"data",
        b"data:",
        b"data:  two",
        b"data: a:b",
        b" data: z",
        b"datax: y",
    ),
    *(b"id: 7", b"id:8", b"id", b"id:", b"id: a\0b", b"id: \xc3\xbc", b"id: \xff", b"Id: 3"),
    *(
        b": note",
        b":",
        b"event: e",
        b"retry: 5",
        b"x-weight-versions: 3",
        b"\xff\xc3",
        MARK,
        b"\xef",
    ),
)
STREAMS = st.builds(
    lambda mark, lines, rest: mark + b"".join(line + end for line, end in lines) + rest,
    st.sampled_from((b"", b"", MARK)),
    st.lists(st.tuples(st.sampled_from(LINES), st.sampled_from(ENDS)), max_size=14),
    st.sampled_from(LINES),
)


def dispatched(stream):
    """Return the data of the events that a reader dispatches, each with the last id until then."""
    text = stream.decode(errors="replace").removeprefix("\ufeff")
    events, data, last_id = [], [], ""
    for line in re.split("\r\n|\n|\r", text)[:-1]:
        name, _, value = line.partition(":")
        value = value.removeprefix(" ")
        if not line:
            if data:
                events.append(("\n".join(data), last_id))
            data = []
        elif name == "data":
            data.append(value)
        elif name == "id" and "\0" not in value:
            last_id = value
    return events


def pieces_of(stream, cuts):
    """Return a stream cut at some offsets."""
    edges = sorted({0, len(stream), *(cut % (len(stream) + 1) for cut in cuts)})
    return [stream[start:end] for start, end in itertools.pairwise(edges)]
