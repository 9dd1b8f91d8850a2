"""Transfer of store changes from entry processes to other processes, over HTTP."""

import asyncio
import math

import aiohttp
from aiohttp import web

from .. import clock
from ..bounded_reading import LARGEST_STORE_BYTES, read_at_most
from ..logs import get_logger
from ..platform.key_value import KeyValueEntry, Position
from ..schema.messages import StoredItem, StoredItems
from ..wire.codec import MalformedMessageError, decode, encode
from .store_replica import Changes

LOG = get_logger(__name__)
ITEMS_PATH = "/items/{revision}"
KEPT_PATH = "/kept"
WAIT_QUERY = "wait"
ERA_QUERY = "era"
FETCH_TIMEOUT_SECONDS = 0.6
"""Longest time without a byte, beyond the time that the entry process may wait for changes."""
MAXIMUM_TRANSFER_SECONDS = 5.0
"""Longest time for a fetch beyond that, while bytes arrive."""
COMPRESSED_FROM_BYTES = 2048
"""Size from which changes are sent compressed: the routes of a configuration are much alike."""
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
            entry.era,
            entry.last_order,
            entry.last_revision,
        )
        for entry in changes.entries
    )
    held_ms = math.floor((now - received_at) * MILLISECONDS_PER_SECOND)
    current_ms = age_ms(changes.current_at, now)
    return StoredItems(
        changes.revision, changes.is_snapshot, items, current_ms, held_ms, changes.era
    )


def changes_response(message: StoredItems) -> web.Response:
    """Return the HTTP response with a message, compressed if it is large."""
    body = encode(message)
    response = web.Response(body=body)
    if len(body) >= COMPRESSED_FROM_BYTES:
        response.enable_compression(web.ContentCoding.deflate)
    return response


def changes_from_message(message: StoredItems, requested_at: float, known_era: int = 0) -> Changes:
    """Return the changes that a received message holds.

    The message was sent at least `held_ms` after it was requested, so times derived from that are
    never too late, whatever the network delay.

    A process of an older version sends no ages and no eras. A delta from it is taken to be
    `FRESH_REPLICA_SECONDS` old; the age of a snapshot stays unknown. Its era is taken to be the
    known one.

    Args:
      message: The message.
      requested_at: When it was requested, monotonic, in seconds.
      known_era: Era of the local replica.
    """
    era = message.era or known_era
    sent_at = requested_at + message.held_ms / MILLISECONDS_PER_SECOND
    current_at = time_of_age(message.age_ms, sent_at)
    assumed = -math.inf
    if message.revision and not message.age_ms and not message.complete:
        assumed = current_at = sent_at - FRESH_REPLICA_SECONDS
    entries = tuple(
        KeyValueEntry(
            item.key,
            item.value,
            item.revision,
            max(assumed, time_of_age(item.age_ms, sent_at)),
            item.era or era,
            item.last_order,
            item.last_revision,
        )
        for item in message.items
    )
    return Changes(message.revision, message.complete, entries, current_at, era)


def age_ms(at: float, now: float) -> int:
    """Return the age of a time in whole milliseconds, at least 1; 0 if it is unknown or too old."""
    age = (now - at) * MILLISECONDS_PER_SECOND
    return max(1, math.ceil(age)) if age < MAXIMUM_WIRE_AGE_MS else 0


def time_of_age(age: int, sent_at: float) -> float:
    """Return the time that was `age` milliseconds before `sent_at`; minus infinity for age 0."""
    return sent_at - age / MILLISECONDS_PER_SECOND if age else -math.inf


async def fetch_changes(
    session: aiohttp.ClientSession,
    control: str,
    position: Position,
    wait_seconds: float,
    connect_seconds: float = FETCH_TIMEOUT_SECONDS,
) -> Changes | None:
    """Fetch the changes after a position from an entry process; None if the request fails.

    Args:
      session: HTTP client.
      control: Control address of the entry process.
      position: Position of the local replica.
      wait_seconds: Longest time that the entry process may wait for a change (long poll); 0 means
        not to wait.
      connect_seconds: Longest time to connect.
    """
    path = ITEMS_PATH.format(revision=position.revision)
    query = {ERA_QUERY: str(position.era)} if position.era else {}
    if wait_seconds:
        query[WAIT_QUERY] = str(wait_seconds)
    return await fetch(session, control, path, query, wait_seconds, position.era, connect_seconds)


async def fetch_kept(session: aiohttp.ClientSession, control: str, era: int) -> Changes | None:
    """Fetch what an entry process keeps from before an era; None if the request fails."""
    return await fetch(session, control, KEPT_PATH, {}, 0.0, era)


async def fetch(
    session: aiohttp.ClientSession,
    control: str,
    path: str,
    query: dict[str, str],
    wait_seconds: float,
    known_era: int,
    connect_seconds: float = FETCH_TIMEOUT_SECONDS,
) -> Changes | None:
    """Fetch changes from an entry process; None if the request fails."""
    longest_silence = FETCH_TIMEOUT_SECONDS + wait_seconds
    timeout = aiohttp.ClientTimeout(
        total=longest_silence + MAXIMUM_TRANSFER_SECONDS,
        sock_connect=connect_seconds,
        sock_read=longest_silence,
    )
    url = f"http://{control}{path}"
    requested_at = clock.now()
    try:
        async with session.get(url, params=query, timeout=timeout) as response:
            body = await read_at_most(response, LARGEST_STORE_BYTES)
            return (
                changes_from_message(decode(StoredItems, body), requested_at, known_era)
                if response.status == HTTP_OK
                else None
            )
    except (aiohttp.ClientError, asyncio.TimeoutError, OSError, MalformedMessageError) as error:
        LOG.warning("entry.failed", entry=control, error=f"{type(error).__name__} {error}"[:150])
        return None
