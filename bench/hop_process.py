"""Starts the bare aiohttp hop as a process of its own."""

import asyncio
import contextlib
import sys
from collections.abc import AsyncIterator

from . import hop
from .cluster import BACKEND_PORT, Cluster

HOP_PORT = 7400


@contextlib.asynccontextmanager
async def running_hop(cluster: Cluster) -> AsyncIterator[tuple[int, str]]:
    """Run a hop before the first engine; yields its process id and the URL to call."""
    host = cluster.platform_host
    target = f"http://{cluster.host_of('engine-0')}:{BACKEND_PORT}"
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        hop.__name__,
        host,
        str(HOP_PORT),
        target,
        stdout=asyncio.subprocess.PIPE,
    )
    try:
        if process.stdout is not None:
            await process.stdout.readline()
        yield process.pid, f"http://{host}:{HOP_PORT}/v1/chat/completions"
    finally:
        process.kill()
        await process.wait()
