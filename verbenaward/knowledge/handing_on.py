"""Hands items of the store on between processes."""

import asyncio

import aiohttp

from ..logs import get_logger
from ..platform.key_value import KeyValueEntry
from ..schema.messages import StoredItem, StoredItems
from ..wire.codec import MalformedMessageError, decode
from .items import Changes

LOG = get_logger(__name__)
ITEMS_PATH = "/items/{revision}"
WAIT_QUERY = "wait"
ASK_SECONDS = 0.6
OK = 200


def message_of(changes: Changes) -> StoredItems:
    """Return the message that carries some changes."""
    items = tuple(
        StoredItem(entry.key, entry.value, entry.version, not entry.value)
        for entry in changes.entries
    )
    return StoredItems(changes.revision, changes.complete, items)


def changes_of(message: StoredItems) -> Changes:
    """Return the changes that a message carries."""
    entries = tuple(KeyValueEntry(item.key, item.value, item.revision) for item in message.items)
    return Changes(message.revision, message.complete, entries)


async def ask_entry(
    session: aiohttp.ClientSession, control: str, revision: int, wait_seconds: float
) -> Changes | None:
    """Return what an entry process knows after a revision; None where it does not answer.

    Args:
      session: HTTP client.
      control: Address of the entry process.
      revision: Everything up to it is known here.
      wait_seconds: How long the entry process may wait for something new; 0 for not at all.
    """
    timeout = aiohttp.ClientTimeout(total=ASK_SECONDS + wait_seconds)
    url = f"http://{control}{ITEMS_PATH.format(revision=revision)}"
    query = {WAIT_QUERY: str(wait_seconds)} if wait_seconds else {}
    try:
        async with session.get(url, params=query, timeout=timeout) as response:
            body = await response.read()
            return changes_of(decode(StoredItems, body)) if response.status == OK else None
    except (aiohttp.ClientError, asyncio.TimeoutError, OSError, MalformedMessageError) as error:
        LOG.warning("entry.failed", entry=control, error=f"{type(error).__name__} {error}"[:150])
        return None
