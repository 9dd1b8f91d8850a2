"""Finds chunk tables by digest: fetched from peers if possible, else from the sources."""

import asyncio

import aiohttp
from returns.result import Success

from ..bounded_reading import LARGEST_MESSAGE_BYTES, read_at_most
from ..logs import get_logger
from ..membership.ring import rendezvous_order
from ..platform.sources import ByteRange
from .chunk_table import LoadedChunkTable, parse_table, table_path
from .context import WeightContext

LOG = get_logger(__name__)
PEER_ATTEMPTS = 3
PEER_WAIT_SECONDS = 1.0
"""Time for which a peer holds a request for a table that it does not have yet."""
RETRY_SECONDS = 0.1


class TableFinder:
    """Holds the known chunk tables and fetches others.

    Attributes:
      context: Dependencies shared by all transfers of the process.
      tables: Known tables by digest.
    """

    def __init__(self, context: WeightContext) -> None:
        self.context = context
        self.tables: dict[bytes, LoadedChunkTable] = {}

    async def find(self, digest: bytes) -> LoadedChunkTable:
        """Return a table, retrying until it could be fetched."""
        while digest not in self.tables:
            encoded = await self.fetch(digest)
            table, faults = parse_table(encoded, digest) if encoded else (None, ())
            if table is not None:
                self.tables[digest] = table
                break
            for fault in faults:
                LOG.error("table.refused", source=fault.source, message=fault.message)
            await asyncio.sleep(RETRY_SECONDS)
        return self.tables[digest]

    async def fetch(self, digest: bytes) -> bytes | None:
        """Return an encoded table, or None if it could not be fetched.

        The first VM in the rendezvous order of the digest reads the table from the sources. The
        others ask the VMs that precede them, and read the sources if none of those answers.
        """
        own = self.context.own.member
        members = {item.vm: item for item in self.context.directory.endpoints_of(own.role)}
        order = rendezvous_order(digest.hex(), {*members, own.vm})
        for vm in order[:PEER_ATTEMPTS]:
            if vm == own.vm:
                break
            encoded = await self.fetch_from_peer(members[vm].address, digest)
            if encoded:
                return encoded
        # A length of 0 means the whole file.
        result = await self.context.sources.read(ByteRange(table_path(digest), 0, 0))
        return result.unwrap() if isinstance(result, Success) else None

    async def fetch_from_peer(self, address: str, digest: bytes) -> bytes | None:
        """Request a table from one peer, which may wait until it has the table itself."""
        url = f"http://{address}/weights/tables/{digest.hex()}"
        timeout = aiohttp.ClientTimeout(total=PEER_WAIT_SECONDS + 0.5)
        try:
            async with self.context.session.get(url, timeout=timeout) as response:
                if response.status != 200:
                    return None
                return await read_at_most(response, LARGEST_MESSAGE_BYTES)
        except (aiohttp.ClientError, asyncio.TimeoutError):
            return None

    async def wait_for(self, digest: bytes) -> LoadedChunkTable | None:
        """Return a table once it is known here, or None after PEER_WAIT_SECONDS."""
        deadline = asyncio.get_running_loop().time() + PEER_WAIT_SECONDS
        while digest not in self.tables:
            if asyncio.get_running_loop().time() > deadline:
                return None
            await asyncio.sleep(0.01)
        return self.tables[digest]

    def keep_only(self, digests: set[bytes]) -> None:
        """Discard all tables except the given ones."""
        self.tables = {key: value for key, value in self.tables.items() if key in digests}
