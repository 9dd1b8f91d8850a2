"""Which of two entries of a key is the later one, also across a restore of the store.

A restored store lacks the writes of its last seconds, and gives their revisions out again. Their
writers write again what they lack; until then a copy proves neither a change nor a deletion.
"""

from ..platform.key_value import KeyValueEntry
from ..platform.write_orders import WriteKind, kind_of, order_of


def supersedes(offered: KeyValueEntry, held: KeyValueEntry) -> bool:
    """Return True if an offered entry is later than the one held for its key."""
    if offered.era == held.era:
        return offered.revision > held.revision
    kind = kind_of(offered.key)
    if kind is None:
        return offered.era > held.era
    if offered.era > held.era:
        return confirms(offered, held, kind)
    return not confirms(held, offered, kind)


def confirms(restored: KeyValueEntry, known: KeyValueEntry, kind: WriteKind) -> bool:
    """Return True if a restored store has caught up with what was known of a key before.

    Args:
      restored: Entry that was read from the restored store.
      known: Entry from an earlier era of the store.
      kind: How the values of the key are written.
    """
    if not restored.value:
        return not kind.is_permanent
    if not known.value:
        # A heartbeat may change the stored value without a new revision.
        is_same_write = restored.revision == known.last_revision
        return not is_same_write and order_of(restored) > known.last_order
    return order_of(restored) >= order_of(known)
