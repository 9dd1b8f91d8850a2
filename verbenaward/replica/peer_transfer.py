"""Transfer of store changes from entry processes to other processes, over HTTP."""

import asyncio
import math

import aiohttp

from .. import clock
from ..logs import get_logger
from ..platform.key_value import KeyValueEntry
from ..schema.messages import StoredItem, StoredItems
from ..wire.codec import MalformedMessageError, decode
from .store_replica import Changes

LOG = get_logger(__name__)
ITEMS_PATH = "/items/{revision}"
WAIT_QUERY = "wait"
FETCH_TIMEOUT_SECONDS = 0.6
"""Time for a fetch, beyond the time that the entry process may wait for changes."""
FRESH_REPLICA_SECONDS = 3.5
"""Age of a replica up to which other processes may follow it."""
HTTP_OK = 200
MILLISECONDS_PER_SECOND = 1000
MAXIMUM_WIRE_AGE_MS = 2**32 - 1
"""Largest age that the wire format can carry."""


def changes_to_message(changes: Changes, received_at: float, now: float) -> StoredItems:
    """Return changes as a wire message, in which a flag marks tombstones and times become ages.

    Args:
      changes: The changes.
      received_at: When the request for them was received, monotonic, in seconds.
      now: Present time, monotonic, in seconds.
    """
    items = tuple(
        StoredItem(
            entry.key,
            entry.value,
            entry.revision,
            not entry.value,
            age_ms(entry.acknowledged_after, now),
        )
        for entry in changes.entries
    )
    held_ms = math.floor((now - received_at) * MILLISECONDS_PER_SECOND)
    current_ms = age_ms(changes.current_at, now)
    return StoredItems(changes.revision, changes.is_snapshot, items, current_ms, held_ms)


def changes_from_message(message: StoredItems, requested_at: float) -> Changes:
    """Return the changes that a received message holds.

    The message was sent at least `held_ms` after it was requested, so times derived from that are
    never too late, whatever the network delay.

    A process of an older version sends no ages. A delta from it is taken to be
    `FRESH_REPLICA_SECONDS` old; the age of a snapshot stays unknown.

    Args:
      message: The message.
      requested_at: When it was requested, monotonic, in seconds.
    """
    sent_at = requested_at + message.held_ms / MILLISECONDS_PER_SECOND
    current_at = time_of_age(message.age_ms, sent_at)
    assumed = -math.inf
    if message.revision and not message.age_ms and not message.complete:
        assumed = current_at = sent_at - FRESH_REPLICA_SECONDS
    entries = tuple(
        KeyValueEntry(
            item.key, item.value, item.revision, max(assumed, time_of_age(item.age_ms, sent_at))
        )
        for item in message.items
    )
    return Changes(message.revision, message.complete, entries, current_at)


def age_ms(at: float, now: float) -> int:
    """Return the age of a time in whole milliseconds, at least 1; 0 if it is unknown or too old."""
    age = (now - at) * MILLISECONDS_PER_SECOND
    return max(1, math.ceil(age)) if age < MAXIMUM_WIRE_AGE_MS else 0


def time_of_age(age: int, sent_at: float) -> float:
    """Return the time that was `age` milliseconds before `sent_at`; minus infinity for age 0."""
    return sent_at - age / MILLISECONDS_PER_SECOND if age else -math.inf


async def fetch_changes(
    session: aiohttp.ClientSession, control: str, revision: int, wait_seconds: float
) -> Changes | None:
    """Fetch the changes after a revision from an entry process; None if the request fails.

    Args:
      session: HTTP client.
      control: Control address of the entry process.
      revision: Revision of the local replica.
      wait_seconds: Longest time that the entry process may wait for a change (long poll); 0 means
        not to wait.
    """
    timeout = aiohttp.ClientTimeout(total=FETCH_TIMEOUT_SECONDS + wait_seconds)
    url = f"http://{control}{ITEMS_PATH.format(revision=revision)}"
    query = {WAIT_QUERY: str(wait_seconds)} if wait_seconds else {}
    requested_at = clock.now()
    try:
        async with session.get(url, params=query, timeout=timeout) as response:
            body = await response.read()
            return (
                changes_from_message(decode(StoredItems, body), requested_at)
                if response.status == HTTP_OK
                else None
            )
    except (aiohttp.ClientError, asyncio.TimeoutError, OSError, MalformedMessageError) as error:
        LOG.warning("entry.failed", entry=control, error=f"{type(error).__name__} {error}"[:150])
        return None
