"""Stand-in for the platform's VM list, with a configurable lag."""

import time
from dataclasses import dataclass, field

from aiohttp import web

from .faults import Faults, install_faults


@dataclass
class VmListStandIn:
    """HTTP service that lists live and leaving VMs.

    Attributes:
      lag_seconds: Time until a change appears in the list.
      changes: All changes as (monotonic time, VM, state), oldest first.
    """

    lag_seconds: float = 0.0
    changes: list[tuple[float, str, str]] = field(default_factory=list)
    faults: Faults = field(default_factory=Faults)

    def application(self) -> web.Application:
        """Build the HTTP application."""
        app = web.Application()
        install_faults(app, self.faults)
        app.router.add_get("/vms", self.get)
        app.router.add_post("/ledger/vms", self.put)
        return app

    async def get(self, request: web.Request) -> web.Response:
        """Return the VMs as of `lag_seconds` ago."""
        visible_until = time.monotonic() - self.lag_seconds
        states = {vm: state for at, vm, state in self.changes if at <= visible_until}
        listed = [
            {"vm": vm, "leaving": state == "leaving"}
            for vm, state in sorted(states.items())
            if state != "gone"
        ]
        return web.json_response({"vms": listed})

    async def put(self, request: web.Request) -> web.Response:
        """Set the state of each VM in the body: "live", "leaving" or "gone"."""
        for vm, state in (await request.json()).items():
            self.changes.append((time.monotonic(), vm, state))
        return web.json_response({"ok": True})
