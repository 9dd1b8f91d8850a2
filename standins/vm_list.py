"""Stand-in of the platform's list of VMs, which lags by a set time."""

import time
from dataclasses import dataclass, field

from aiohttp import web

from .faults import Faults, add_fault_routes


@dataclass
class VmListStandIn:
    """Live and leaving VMs.

    Attributes:
      lag_seconds: How long a change takes to show.
      changes: All changes as (time, VM, state), oldest first.
    """

    lag_seconds: float = 0.0
    changes: list[tuple[float, str, str]] = field(default_factory=list)
    faults: Faults = field(default_factory=Faults)

    def application(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application()
        add_fault_routes(app, self.faults)
        app.router.add_get("/vms", self.get)
        app.router.add_post("/ledger/vms", self.put)
        return app

    async def get(self, request: web.Request) -> web.Response:
        """Return the list as it was before the lag."""
        seen_until = time.monotonic() - self.lag_seconds
        states = {vm: state for at, vm, state in self.changes if at <= seen_until}
        listed = [
            {"vm": vm, "leaving": state == "leaving"}
            for vm, state in sorted(states.items())
            if state != "gone"
        ]
        return web.json_response({"vms": listed})

    async def put(self, request: web.Request) -> web.Response:
        """Set the state of VMs: live, leaving or gone."""
        for vm, state in (await request.json()).items():
            self.changes.append((time.monotonic(), vm, state))
        return web.json_response({"ok": True})
