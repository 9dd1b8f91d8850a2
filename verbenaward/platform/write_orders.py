"""The order in which the values of a key were written, as the values themselves tell it.

Revisions of the store give that order too, unless the store was restored from a copy: then its
revisions go back, and the same ones are given out again.
"""

from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from ..registry import Registry
from .declarations import DECODE_ERRORS
from .key_value import KeyValueEntry
from .names import BACKEND_PREFIX, CONFIGURATION_KEY, EVACUATION_PREFIX, VERSION_PREFIX

WriteOrder = tuple[int, ...]
"""Compares like the times of two writes of a key. Empty for a value that does not tell."""


@dataclass(frozen=True, slots=True)
class WriteKind:
    """How the values under a key prefix are written.

    Attributes:
      is_permanent: True if the writer never deletes such a key.
      read_order: Returns the order of a decoded value; raises an exception for a malformed one.
    """

    is_permanent: bool
    read_order: Callable[[dict[str, int | str]], WriteOrder]


MAXIMUM_ORDER = 2**63
"""Largest number of an order that messages between processes carry; larger ones are malformed."""
KINDS: Registry[WriteKind] = Registry("key prefix")


def register(prefix: str, is_permanent: bool) -> Callable[..., WriteKind]:
    """Return a decorator that registers the function that reads the order of a value."""

    def decorate(read_order: Callable[[dict[str, int | str]], WriteOrder]) -> WriteKind:
        return KINDS.register(prefix)(WriteKind(is_permanent, read_order))

    return decorate


@register(CONFIGURATION_KEY, is_permanent=True)
def configuration_order(body: dict[str, int | str]) -> WriteOrder:
    """Return the number that the operator gave a configuration; it rises with each one."""
    return (int(body["version"]),)


@register(VERSION_PREFIX, is_permanent=True)
def target_version_order(body: dict[str, int | str]) -> WriteOrder:
    """Return the version number of weights; it rises with each one that the operator sets."""
    return (int(body["version"]),)


@register(BACKEND_PREFIX, is_permanent=False)
def registration_order(body: dict[str, int | str]) -> WriteOrder:
    """Return the start time of a backend, and the number of the heartbeat since then.

    Of two registrations with the same number, the one of a draining backend is the later one.
    """
    is_leaving = body["state"] != "ready"
    return (int(body.get("born") or 0), int(body.get("sequence") or 0), int(is_leaving))


def kind_of(key: str) -> WriteKind | None:
    """Return how the values of a key are written; None if they do not tell their order."""
    return next((kind for prefix, kind in KINDS.items.items() if key.startswith(prefix)), None)


def is_kept_if_missing(key: str) -> bool:
    """Return True if a key is kept for a time, though a restored store lacks it.

    An evacuation has no write order, and its writer deletes it: of the entries of two eras the
    later one counts. That a copy lacks it does not show that it has ended.
    """
    return key.startswith(EVACUATION_PREFIX)


def order_of(entry: KeyValueEntry) -> WriteOrder:
    """Return the order of an entry's value; of a deleted key, that of its last value."""
    kind = kind_of(entry.key)
    if kind is None or not entry.value:
        return entry.last_order
    try:
        order = kind.read_order(msgspec.json.decode(entry.value))
    except DECODE_ERRORS:
        return ()
    return order if all(0 <= number <= MAXIMUM_ORDER for number in order) else ()
