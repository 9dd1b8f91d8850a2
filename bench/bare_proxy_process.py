"""Starts the bare aiohttp proxy as a process of its own."""

import asyncio
import contextlib
import sys
from collections.abc import AsyncIterator

from . import bare_proxy
from .cluster import BACKEND_PORT, Cluster

PROXY_PORT = 7400


@contextlib.asynccontextmanager
async def running_bare_proxy(cluster: Cluster) -> AsyncIterator[tuple[int, str]]:
    """Run a proxy in front of the first engine; yield its process id and the URL to call."""
    host = cluster.platform_host
    target = f"http://{cluster.host_of('engine-0')}:{BACKEND_PORT}"
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        bare_proxy.__name__,
        host,
        str(PROXY_PORT),
        target,
        stdout=asyncio.subprocess.PIPE,
    )
    try:
        if process.stdout is not None:
            await process.stdout.readline()
        yield process.pid, f"http://{host}:{PROXY_PORT}/v1/chat/completions"
    finally:
        process.kill()
        await process.wait()
