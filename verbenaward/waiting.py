"""Waits with a time limit that never lose a cancellation.

asyncio.wait_for() of Python 3.11 can swallow a cancellation that arrives together with
the result; asyncio.timeout() does not.
"""

import asyncio
from collections.abc import Awaitable
from typing import TypeVar

Value = TypeVar("Value")


async def wait_at_most(work: Awaitable[Value], seconds: float) -> Value:
    """Wait for some work.

    Args:
      work: What to wait for; it is cancelled after the time.
      seconds: Longest wait.

    Returns:
      The result of the work.

    Raises:
      TimeoutError: The time is over.
    """
    async with asyncio.timeout(seconds):
        return await work


async def is_set_within(event: asyncio.Event, seconds: float) -> bool:
    """Wait for an event; False after the time."""
    try:
        await wait_at_most(event.wait(), seconds)
    except TimeoutError:
        return False
    return True
