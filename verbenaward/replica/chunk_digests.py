"""Chunk digests of weight versions, kept in the key-value store.

A restarted process reads them with its first snapshot of the store. If the chunks are still staged
beside the engine, in the memory of the VM, they are verified and loaded without a request to a peer
or the origin.
"""

from collections.abc import Collection

from returns.result import Success

from ..logs import get_logger
from ..platform.key_value import KeyValueEntry, KeyValueFailure, KeyValueService
from ..platform.names import DIGESTS_PREFIX
from .store_replica import StoreReplica

LOG = get_logger(__name__)
DIGEST_BYTES = 32
"""Length of one digest."""
MAXIMUM_STORED_BYTES = 64 * 1024
"""Longer lists of digests are not written: every process replicates the whole store."""
STORED_VERSIONS = 3
"""Versions of each model whose digests stay in the store."""


def digests_key(model: str, version: int) -> str:
    """Return the key that holds the digests of a version."""
    return f"{DIGESTS_PREFIX}{model}/{version}"


def stored_digests(replica: StoreReplica, model: str, version: int) -> bytes:
    """Return the concatenated digests of a version's chunks; empty if the store has none."""
    entry = replica.entries.get(digests_key(model, version))
    return entry.value if entry else b""


def newest_stored_version(replica: StoreReplica, model: str) -> int:
    """Return the newest version of a model whose digests the store has; 0 if it has none."""
    return max((version for version, _ in stored_versions(replica, model)), default=0)


def stored_versions(replica: StoreReplica, model: str) -> list[tuple[int, KeyValueEntry]]:
    """Return the versions of a model whose digests the store has, with their entries."""
    prefix = f"{DIGESTS_PREFIX}{model}/"
    return [
        (int(number), entry)
        for entry in replica.entries_with_prefix(prefix)
        if (number := entry.key.removeprefix(prefix)).isdecimal()
    ]


async def write_digests(
    store: KeyValueService,
    replica: StoreReplica,
    model: str,
    version: int,
    digests: bytes,
    disproved: Collection[bytes] = (),
) -> None:
    """Write the digests of a version unless they are stored; then delete those of old versions.

    Disproved digests are replaced on condition that they are still the stored ones.

    Args:
      store: The key-value store.
      replica: Local replica of it.
      model: Name of the model.
      version: Version of its weights.
      digests: Concatenated digests of its chunks, in order.
      disproved: Digests of the version that are known to be wrong.
    """
    held = replica.entries.get(digests_key(model, version))
    replaced = held if held and held.value in disproved else None
    if len(digests) > MAXIMUM_STORED_BYTES or (held and held.value and not replaced):
        return
    expected = replaced.revision if replaced else 0
    result = await store.write(digests_key(model, version), digests, expected)
    if not isinstance(result, Success):
        if result.failure().failure is not KeyValueFailure.CONFLICT:
            LOG.warning("digests.not-stored", version=version, error=result.failure().message[:150])
        return
    if replaced:
        LOG.warning("digests.replaced", model=model, version=version, revision=result.unwrap())
        return
    LOG.info("digests.stored", model=model, version=version, revision=result.unwrap())
    for old in outdated_entries(replica, model, version):
        await store.delete(old.key, old.revision)


def outdated_entries(replica: StoreReplica, model: str, version: int) -> list[KeyValueEntry]:
    """Return the entries to delete after the digests of a version were written."""
    stored = stored_versions(replica, model)
    older = sorted((pair for pair in stored if pair[0] < version), key=lambda pair: pair[0])
    # The version just written is one of the kept ones.
    return [entry for _, entry in older[: max(0, len(older) - STORED_VERSIONS + 1)]]
