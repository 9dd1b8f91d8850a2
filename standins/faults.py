"""Fault injection for the stand-ins, controlled over HTTP."""

import asyncio
import random
from dataclasses import dataclass, fields
from typing import Any

from aiohttp import web


@dataclass
class Faults:
    """Injected faults of one stand-in; `POST /faults` changes any of them.

    A share is a probability from 0 to 1.

    Attributes:
      down: Requests get status 503.
      stalled: Requests hang until the fault is cleared.
      delay_seconds: Delay before each request is handled.
      lose_answers: Share of writes that take effect but whose response is dropped.
      corrupt: Share of responses with one byte flipped.
      crossed: Share of responses that carry the id of another request.
      truncate: Share of responses cut off by closing the connection.
      seed: Seed of the random choices; setting it restarts their sequence.
    """

    down: bool = False
    stalled: bool = False
    delay_seconds: float = 0.0
    lose_answers: float = 0.0
    corrupt: float = 0.0
    crossed: float = 0.0
    truncate: float = 0.0
    seed: int = 0

    def __post_init__(self) -> None:
        self.random = random.Random(self.seed)

    def happens(self, share: float) -> bool:
        """Return True with the given probability."""
        return share > 0 and self.random.random() < share

    def set(self, values: dict[str, Any]) -> None:
        """Set faults by name.

        Raises:
          ValueError: A name is not that of a fault; names before it are already set.
        """
        names = {field.name for field in fields(self)}
        for name, value in values.items():
            if name not in names:
                raise ValueError(f"unknown fault {name}")
            setattr(self, name, value)
        if "seed" in values:
            self.random = random.Random(self.seed)


def install_faults(app: web.Application, faults: Faults) -> None:
    """Add `POST /faults` and a middleware that applies delays, stalls and outages.

    `/faults` and paths that start with `/ledger` are never affected.
    """

    async def set_faults(request: web.Request) -> web.Response:
        faults.set(await request.json())
        return web.json_response({"ok": True})

    @web.middleware
    async def apply_faults(request: web.Request, handler: Any) -> web.StreamResponse:
        if request.path == "/faults" or request.path.startswith("/ledger"):
            return await handler(request)
        while faults.stalled:
            await asyncio.sleep(0.02)
        if faults.delay_seconds:
            await asyncio.sleep(faults.delay_seconds)
        if faults.down:
            return web.json_response({"error": "unavailable"}, status=503)
        return await handler(request)

    app.middlewares.append(apply_faults)
    app.router.add_post("/faults", set_faults)
