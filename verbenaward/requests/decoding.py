"""Decodes the bodies of requests to models, which the entry process reads itself."""

import zlib

from multidict import CIMultiDictProxy
from returns.result import Failure, Result, Success

from ..data import Refusal
from .refusals import not_run

WINDOW_BITS = {
    "gzip": (16 + zlib.MAX_WBITS,),
    "x-gzip": (16 + zlib.MAX_WBITS,),
    "deflate": (zlib.MAX_WBITS, -zlib.MAX_WBITS),
}
"""Formats in which a body with an encoding may come. "deflate" is the zlib format, and some clients
send the bare data."""


def encoding_of(headers: CIMultiDictProxy[str]) -> str:
    """Return how the body of a message is encoded; empty for not at all."""
    return ", ".join(headers.getall("Content-Encoding", ()))


def decoded(body: bytes, encoding: str, limit: int) -> Result[bytes, Refusal]:
    """Return a body without its encoding.

    Args:
      body: Body as received.
      encoding: How it is encoded; empty for not at all.
      limit: Longest decoded body, in bytes.
    """
    name = encoding.strip().lower()
    if name in ("", "identity"):
        return Success(body)
    if name not in WINDOW_BITS:
        message = f"Content-Encoding {name[:80]!r} is none of {', '.join(WINDOW_BITS)}"
        return Failure(not_run(415, "unknown-encoding", message))
    for bits in WINDOW_BITS[name]:
        try:
            plain = inflated(body, bits, limit)
        except zlib.error:
            continue
        if len(plain) > limit:
            return Failure(not_run(413, "too-large", f"the body has more than {limit} bytes"))
        return Success(plain)
    return Failure(not_run(400, "malformed", f"the body is not in Content-Encoding {name}"))


def inflated(body: bytes, bits: int, limit: int) -> bytes:
    """Return the data of all members of a compressed body; it ends after `limit` + 1 bytes.

    Args:
      body: Compressed body.
      bits: Format, as zlib's window bits.
      limit: Longest decompressed body, in bytes.

    Raises:
      zlib.error: The body is malformed or cut short.
    """
    plain = b""
    while body and len(plain) <= limit:
        decoder = zlib.decompressobj(bits)
        plain += decoder.decompress(body, limit + 1 - len(plain))
        if not decoder.eof and len(plain) <= limit:
            raise zlib.error("the body is cut short")
        body = decoder.unused_data
    return plain
