"""Limits on what is read from other processes and services: no read ends with the memory.

Each read has a limit in bytes here, and the caller's timeout as its limit in time.
"""

import aiohttp

KIBIBYTE = 1024
MEBIBYTE = 1024 * KIBIBYTE
LARGEST_REPORT_BYTES = 256 * KIBIBYTE
"""Longest report, status or error text of one process; usual ones have below 4 KiB."""
LARGEST_MESSAGE_BYTES = 16 * MEBIBYTE
"""Longest control message, list of VMs or chunk table."""
LARGEST_ANSWER_BYTES = 16 * MEBIBYTE
"""Longest body of an answer that is read whole; a process may read many at the same time."""
LARGEST_STORE_BYTES = 64 * MEBIBYTE
"""Longest answer of the store, or copy of it at a peer."""
LARGEST_CHUNK_BYTES = 64 * MEBIBYTE
"""Longest chunk or manifest."""


class TooLongError(aiohttp.ClientPayloadError):
    """The body of an answer is longer than its limit."""


async def read_at_most(response: aiohttp.ClientResponse, limit: int) -> bytes:
    """Return the body of an answer.

    Args:
      response: The answer, whose connection its caller closes or releases.
      limit: Longest body, in bytes.

    Raises:
      TooLongError: The body is longer, or says that it will be.
      ClientError: The connection ended before the body did.
    """
    is_announced = response.method != "HEAD" and (response.content_length or 0) > limit
    body = bytearray()
    if not is_announced:
        async for piece in response.content.iter_any():
            body += piece
            if len(body) > limit:
                break
        else:
            return bytes(body)
    # The connection has more to come, so it can't be used again.
    response.close()
    raise TooLongError(f"{response.url}: the answer is longer than {limit} bytes")
