"""Run stand-ins: `python -m standins '[{"kind": "origin", "port": 9000, ...}]'`."""

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
    """Serve every stand-in of a list until the process is ended."""
    for specification in specifications:
        options = dict(specification)
        kind = options.pop("kind")
        host, port = options.pop("host", "127.0.0.1"), options.pop("port")
        if "folder" in options:
            options["folder"] = Path(options["folder"])
        application = KINDS[kind](**options).application()
        runner = web.AppRunner(application, access_log=None, shutdown_timeout=0.1)
        await runner.setup()
        await web.TCPSite(runner, host, port, backlog=1024).start()
    print("ready", flush=True)
    await asyncio.Event().wait()


def main() -> None:
    """Read the specification from the command line and serve."""
    uvloop.run(serve(json.loads(sys.argv[1])))


if __name__ == "__main__":
    main()
