"""Waits with a timeout that never swallow a cancellation.

asyncio.wait_for() of Python 3.11 can swallow a cancellation that arrives together with
the result; asyncio.timeout() does not.
"""

import asyncio
from collections.abc import Awaitable
from typing import TypeVar

Value = TypeVar("Value")


async def wait_at_most(work: Awaitable[Value], seconds: float) -> Value:
    """Wait for an awaitable, at most for a given time.

    Args:
      work: The awaitable; it is cancelled after the timeout.
      seconds: Timeout, in seconds.

    Returns:
      The result of the awaitable.

    Raises:
      TimeoutError: The timeout has passed.
    """
    async with asyncio.timeout(seconds):
        return await work


async def is_set_within(event: asyncio.Event, seconds: float) -> bool:
    """Wait until an event is set; returns False after the timeout."""
    try:
        await wait_at_most(event.wait(), seconds)
    except TimeoutError:
        return False
    return True
