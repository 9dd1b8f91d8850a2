"""Downloads chunks of one version from entry processes, several at a time."""

import asyncio
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass
from functools import partial

from ..data import HeldWeights
from ..distribution.chunk_runs import chunk_run_name
from .chunk_arrivals import ChunkArrivals
from .fetching import ChunkFetcher
from .link_shares import PARALLEL_FETCHES

Sink = Callable[[int, bytes], Awaitable[bool]]
"""Takes a verified chunk, by its index and body; False if the chunk is to be fetched again."""


@dataclass(frozen=True, slots=True)
class VersionDigests:
    """SHA-256 digests of the chunks of one version, in order."""

    weights: HeldWeights
    digests: tuple[bytes, ...]

    def missing(self, staged: dict[int, bytes]) -> list[int]:
        """Return the indexes of the chunks that are not among the staged ones."""
        return [index for index, digest in enumerate(self.digests) if staged.get(index) != digest]


async def download(
    fetcher: ChunkFetcher, version: VersionDigests, order: Sequence[int], sink: Sink
) -> None:
    """Download chunks until the sink has taken all of them.

    Args:
      fetcher: Fetches from entry processes.
      version: The version.
      order: Indexes of the chunks, in the order in which they are fetched.
      sink: Takes each chunk.
    """
    arrivals = ChunkArrivals(order, partial(locate, fetcher, version.weights))
    arrivals.start()
    workers = [
        asyncio.create_task(fetch_arrived(fetcher, version, arrivals, sink))
        for _ in range(PARALLEL_FETCHES)
    ]
    try:
        await asyncio.gather(*workers)
    finally:
        arrivals.close()
        for worker in workers:
            worker.cancel()


async def locate(
    fetcher: ChunkFetcher, weights: HeldWeights, index: int, failures: int
) -> str | None:
    """Return the entry process that has a chunk available; None if that takes too long."""
    run = chunk_run_name(weights.model, weights.version, index)
    return await fetcher.locate(chunk_path(weights, index), run, failures)


async def fetch_arrived(
    fetcher: ChunkFetcher, version: VersionDigests, arrivals: ChunkArrivals, sink: Sink
) -> None:
    """Fetch available chunks, faster if only one is, until all are done."""
    while chunk := await arrivals.next():
        fetcher.lacking = arrivals.unfinished
        body = await fetcher.fetch_at(
            chunk.entry,
            chunk_path(version.weights, chunk.index),
            version.digests[chunk.index],
            is_alone=not arrivals.arrived,
        )
        is_taken = body is not None and await sink(chunk.index, body)
        await arrivals.finish(chunk, is_taken)


def chunk_path(weights: HeldWeights, index: int) -> str:
    """Return the path of a chunk at entry processes."""
    return f"/weights/{weights.model}/{weights.version}/{index}"
