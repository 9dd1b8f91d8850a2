"""Steps on the rule of sound heads, without a network."""

import string
from unittest import mock

from aiohttp import client_proto, http_parser
from behave import then
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st

from standins.raw_answers import at_once, byte_by_byte, cut_at
from tests.steps.platform_running import run
from tests.steps.unsound_heads import UNSOUND, cuts_of
from verbenaward.answer_heads import HeadFault, HeadLimits, HeadReader
from verbenaward.answer_protocol import AnswerProtocol

PARSERS = {"C": http_parser.HttpResponseParserC, "Python": http_parser.HttpResponseParserPy}
TOKEN = frozenset(f"!#$%&'*+-.^_`|~{string.ascii_letters}{string.digits}".encode())
STATUSES = st.sampled_from((b"200", b"201", b"404", b"500", b"599", b"000", b"600", b"999", b"99"))
NAMES = st.sampled_from(
    (b"X-A", b"Connection", b"Upgrade", b"Content-Length", b"Transfer-Encoding", b"Content-Type")
)
VALUES = st.sampled_from((b"3", b"chunked", b"close", b"", b"a  b", b"caf\xe9\x01", b"x" * 99))
BLANKS = st.sampled_from((b"", b" ", b"\t "))
FIELDS = st.tuples(NAMES, BLANKS, VALUES, BLANKS).map(lambda parts: b"%s:%s%s%s" % parts)
LINE_ENDS = st.sampled_from((b"\r\n", b"\r\n", b"\r\n", b"\n"))
WRONG_BYTES = st.sampled_from(b' \t\0\x01\r\n\x80:;,"').map(lambda byte: bytes((byte,)))
SPOILT = st.lists(st.tuples(st.floats(0, 1), st.just(b"") | WRONG_BYTES), max_size=2)
"""Places, as shares of a head, at which a byte is replaced."""
LIMITS = HeadLimits(65_536, 129)
MANY = settings(max_examples=400)


@st.composite
def heads(draw):
    """Draw a head that may be spoilt in some of its bytes."""
    lines = [b"HTTP/1.1 " + draw(STATUSES) + b" OK", *draw(st.lists(FIELDS, max_size=4)), b""]
    head = b"".join(line + draw(LINE_ENDS) for line in lines)
    for share, byte in draw(SPOILT):
        place = int(share * (len(head) - 1))
        head = head[:place] + byte + head[place + draw(st.integers(0, 1)) :]
    return head


def strictly_read(head):
    """Return the status and the fields of a head; None if it is not sound or not complete."""
    lines = []
    for line in head.split(b"\n")[:-1]:
        lines.append(line.removesuffix(b"\r"))
        if not lines[-1]:
            break
    if not lines or lines[-1]:
        return None
    status, *fields = lines[:-1] or [b""]
    version, _, rest = status.partition(b" ")
    code, blank, reason = rest[:3], rest[3:4], rest[4:]
    is_status = version in (b"HTTP/1.0", b"HTTP/1.1") and code.isdigit() and len(code) == 3
    if not is_status or not 100 <= int(code) <= 599 or blank not in (b"", b" "):
        return None
    pairs = [line.partition(b":") for line in fields]
    if any(not name or not colon or not TOKEN.issuperset(name) for name, colon, _ in pairs):
        return None
    if any(
        byte in text for byte in b"\0\r" for text in (reason, *(value for _, _, value in pairs))
    ):
        return None
    pairs = tuple((name, value.strip(b" \t")) for name, _, value in pairs)
    return (int(code), pairs) if is_framed(version, pairs) else None


def is_framed(version, pairs):
    lengths = [value for name, value in pairs if name.lower() == b"content-length"]
    codings = [value.lower() for name, value in pairs if name.lower() == b"transfer-encoding"]
    if codings:
        return version == b"HTTP/1.1" and codings == [b"chunked"] and not lengths
    return len(lengths) < 2 and all(value.isdigit() for value in lengths)


def read(context, parser, pieces):
    """Return the status and the fields that a client gets; None if it gets none."""
    protocol = AnswerProtocol(context.loop)
    protocol.transport = mock.Mock()
    with mock.patch.object(client_proto, "HttpResponseParser", PARSERS[parser]):
        protocol.set_response_params(read_until_eof=True)
    for piece in pieces:
        protocol.data_received(piece)
    if protocol.exception() is not None or not len(protocol):
        return None
    message, _ = run(context, protocol.read())
    return message.code, message.raw_headers


@then("drawn heads are read by the {parser} parser as by a strict reader, wherever they are cut")
def as_strictly_read(context, parser):
    @MANY
    @for_all(heads(), st.floats(0, 1))
    def check(head, share):
        expected = strictly_read(head)
        for cut in (at_once, byte_by_byte, cut_at(int(share * len(head)))):
            assert read(context, parser, cut(head)) == expected, (head, expected)

    check()


@then("no head with a wrong {part} is handed on by either parser, wherever it is cut")
def none_handed_on(context, part):
    for parser in PARSERS:
        for answer in UNSOUND[part]:
            for cut in cuts_of(answer):
                assert read(context, parser, cut(answer)) is None, (parser, answer)


def fault_of(*pieces):
    reader = HeadReader(LIMITS)
    for piece in pieces:
        reader.feed(piece)
    assert not reader.end, pieces
    return reader.fault


def unescaped(text):
    return text.encode().decode("unicode_escape").encode("latin-1")


@then('"{first}" and "{second}" are refused as they come')
def refused_first_bytes(context, first, second):
    for text in (first, second):
        assert fault_of(unescaped(text)) is HeadFault.STATUS_LINE, text


@then('a status line and then "{line}" are refused as they come')
def refused_line(context, line):
    assert fault_of(b"HTTP/1.1 200 OK\r\n", unescaped(line)) is HeadFault.FIELD_LINE


@then("a line of {size:d} bytes and {count:d} lines are refused before their end")
def refused_length(context, size, count):
    status = b"HTTP/1.1 200 OK\r\n"
    assert fault_of(status, b"X-A: ", b"a" * size) is HeadFault.TOO_LONG
    assert fault_of(status, b"X-A: a\r\n" * count) is HeadFault.TOO_LONG
    whole = HeadReader(LIMITS)
    whole.feed(status + b"X-A: " + b"a" * 65_000 + b"\r\n" + b"X-B: b\r\n" * 100 + b"\r\nbody")
    assert whole.fault is None and bytes(whole.received[whole.end :]) == b"body"
