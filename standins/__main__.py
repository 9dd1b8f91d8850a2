"""Runs stand-ins in one process: `python -m standins '[{"kind": "origin", "port": 9000, ...}]'`.

Each object of the list has `kind`, `port`, optionally `host`, and the fields of its stand-in. The
process prints "ready" once all of them listen.
"""

import asyncio
import json
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

import uvloop
from aiohttp import web

from .engine import EngineStandIn
from .key_value import KeyValueStandIn
from .origin import OriginStandIn
from .service import ServiceStandIn
from .vm_list import VmListStandIn

KINDS: dict[str, Callable[..., Any]] = {
    "engine": EngineStandIn,
    "key-value": KeyValueStandIn,
    "origin": OriginStandIn,
    "service": ServiceStandIn,
    "vm-list": VmListStandIn,
}


async def serve(specifications: list[dict[str, Any]]) -> None:
    """Serve the specified stand-ins until the process is terminated."""
    for specification in specifications:
        options = dict(specification)
        kind = options.pop("kind")
        host, port = options.pop("host", "127.0.0.1"), options.pop("port")
        if "folder" in options:
            options["folder"] = Path(options["folder"])
        application = KINDS[kind](**options).application()
        runner = web.AppRunner(
            application, access_log=None, shutdown_timeout=0.1, auto_decompress=False
        )
        await runner.setup()
        await web.TCPSite(runner, host, port, backlog=1024).start()
    print("ready", flush=True)
    await asyncio.Event().wait()


def main() -> None:
    """Serve the stand-ins that the first argument specifies as a JSON list."""
    uvloop.run(serve(json.loads(sys.argv[1])))


if __name__ == "__main__":
    main()
