"""Faults that control calls switch on in a stand-in."""

import asyncio
import random
from dataclasses import dataclass, fields
from typing import Any

from aiohttp import web


@dataclass
class Faults:
    """Faults of one stand-in; POST /faults sets any of them.

    Attributes:
      down: Every call is refused with status 503.
      stalled: Every call hangs until the fault is lifted.
      delay_seconds: Wait before each answer.
      lose_answers: Share of writes whose answer is lost after they took effect.
      corrupt: Share of reads with a flipped byte.
      crossed: Share of answers that belong to another request.
      truncate: Share of answers cut off in the middle.
      seed: Seed of the random choices.
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
        """Return True in the given share of calls."""
        return share > 0 and self.random.random() < share

    def set(self, values: dict[str, Any]) -> None:
        """Take over the given values."""
        names = {field.name for field in fields(self)}
        for name, value in values.items():
            if name not in names:
                raise ValueError(f"unknown fault {name}")
            setattr(self, name, value)
        if "seed" in values:
            self.random = random.Random(self.seed)


def add_fault_routes(app: web.Application, faults: Faults) -> None:
    """Add the control call and apply delays, stalls and outages to all other calls."""

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
