"""Digests of the chunks of named versions, kept in the store.

A process that starts again reads them with everything else, so an engine whose chunks still lie
beside it is checked and loaded without asking another process or the origin.
"""

from returns.result import Success

from ..logs import get_logger
from ..platform.key_value import KeyValueEntry, KeyValueFailure, KeyValueService
from ..platform.names import DIGESTS_PREFIX
from .items import ItemView

LOG = get_logger(__name__)
DIGEST_BYTES = 32
LARGEST_BYTES = 64 * 1024
"""Digests of larger versions are not kept in the store: every process reads all of it."""
KEPT_VERSIONS = 3


def digests_key(model: str, version: int) -> str:
    """Return the key under which the digests of a version are kept."""
    return f"{DIGESTS_PREFIX}{model}/{version}"


def known_digests(view: ItemView, model: str, version: int) -> bytes:
    """Return the digests of a version in order, as the store says; empty where it does not."""
    entry = view.items.get(digests_key(model, version))
    return entry.value if entry else b""


async def keep_digests(
    store: KeyValueService, view: ItemView, model: str, version: int, digests: bytes
) -> None:
    """Write the digests of a version to the store, once, and remove those of old versions.

    Args:
      store: The store.
      view: What is known of it.
      model: Name of the model.
      version: Version of its weights.
      digests: Digests of its chunks, in order.
    """
    if len(digests) > LARGEST_BYTES or known_digests(view, model, version):
        return
    result = await store.write(digests_key(model, version), digests, 0)
    if not isinstance(result, Success):
        if result.failure().failure is not KeyValueFailure.CONFLICT:
            LOG.warning("digests.unkept", version=version, error=result.failure().message[:150])
        return
    LOG.info("digests.kept", model=model, version=version, revision=result.unwrap())
    for old in outdated(view, model, version):
        await store.delete(old.key, old.version)


def outdated(view: ItemView, model: str, version: int) -> list[KeyValueEntry]:
    """Return the digests that are dropped once those of a version are kept."""
    prefix = f"{DIGESTS_PREFIX}{model}/"
    kept = [
        (int(number), entry)
        for entry in view.under(prefix)
        if (number := entry.key.removeprefix(prefix)).isdecimal()
    ]
    older = sorted((pair for pair in kept if pair[0] < version), key=lambda pair: pair[0])
    return [entry for _, entry in older[: max(0, len(older) - KEPT_VERSIONS + 1)]]
