"""Transfer of store changes from entry processes to other processes, over HTTP."""

import asyncio

import aiohttp

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
HTTP_OK = 200


def changes_to_message(changes: Changes) -> StoredItems:
    """Return changes as a wire message, in which a flag marks tombstones."""
    items = tuple(
        StoredItem(entry.key, entry.value, entry.revision, not entry.value)
        for entry in changes.entries
    )
    return StoredItems(changes.revision, changes.is_snapshot, items)


def changes_from_message(message: StoredItems) -> Changes:
    """Return the changes that a received message holds."""
    entries = tuple(KeyValueEntry(item.key, item.value, item.revision) for item in message.items)
    return Changes(message.revision, message.complete, entries)


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
    try:
        async with session.get(url, params=query, timeout=timeout) as response:
            body = await response.read()
            return (
                changes_from_message(decode(StoredItems, body))
                if response.status == HTTP_OK
                else None
            )
    except (aiohttp.ClientError, asyncio.TimeoutError, OSError, MalformedMessageError) as error:
        LOG.warning("entry.failed", entry=control, error=f"{type(error).__name__} {error}"[:150])
        return None
