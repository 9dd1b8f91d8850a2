"""Finds chunk tables by digest: from peers where possible, else from the sources."""

import asyncio

import aiohttp
from returns.result import Success

from ..logs import get_logger
from ..membership.ring import rendezvous_order
from ..platform.sources import ByteRange
from .context import WeightContext
from .table import Table, parse_table, table_path

LOG = get_logger(__name__)
PEER_TRIES = 3
PEER_WAIT_SECONDS = 1.0
RETRY_SECONDS = 0.1


class TableFinder:
    """Known tables and the ways to fetch others.

    Attributes:
      context: What all transfers of the process share.
      tables: Known tables by digest.
    """

    def __init__(self, context: WeightContext) -> None:
        self.context = context
        self.tables: dict[bytes, Table] = {}

    async def find(self, digest: bytes) -> Table:
        """Return a table, trying until it can be had."""
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
        """Return the bytes of a table: its sponsor draws them, the others ask the sponsor."""
        own = self.context.own.member
        members = {item.vm: item for item in self.context.directory.endpoints_of(own.role)}
        order = rendezvous_order(digest.hex(), {*members, own.vm})
        for vm in order[:PEER_TRIES]:
            if vm == own.vm:
                break
            encoded = await self.ask_peer(members[vm].address, digest)
            if encoded:
                return encoded
        result = await self.context.sources.read(ByteRange(table_path(digest), 0, 0))
        return result.unwrap() if isinstance(result, Success) else None

    async def ask_peer(self, address: str, digest: bytes) -> bytes | None:
        """Ask one peer for a table; it may wait a short while until it has it."""
        url = f"http://{address}/weights/tables/{digest.hex()}"
        timeout = aiohttp.ClientTimeout(total=PEER_WAIT_SECONDS + 0.5)
        try:
            async with self.context.session.get(url, timeout=timeout) as response:
                return await response.read() if response.status == 200 else None
        except (aiohttp.ClientError, asyncio.TimeoutError):
            return None

    async def wait_for(self, digest: bytes) -> Table | None:
        """Return a table as soon as it is known here, or None after a short while."""
        deadline = asyncio.get_running_loop().time() + PEER_WAIT_SECONDS
        while digest not in self.tables:
            if asyncio.get_running_loop().time() > deadline:
                return None
            await asyncio.sleep(0.01)
        return self.tables[digest]

    def keep_only(self, digests: set[bytes]) -> None:
        """Forget all tables but the given ones."""
        self.tables = {key: value for key, value in self.tables.items() if key in digests}
