"""Real processes on loopback for a soak: daemons that restart, and backends that fall silent."""

import asyncio
import os
import random
import shutil
import signal
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path

from aiohttp import web

from review.harness import ZONES, Daemon, Deployment, Worker, render

FIRST_EVENT_SECONDS = 0.06
EVENT_GAP_SECONDS = 0.12
EVENTS = 10
STREAM_SECONDS = FIRST_EVENT_SECONDS + (EVENTS - 1) * EVENT_GAP_SECONDS
LOOK_ROUTE = {
    "name": "r-l",
    "path_prefix": "/look/",
    "kind": "idempotent",
    "service": "beds",
    "timeout_ms": 2180,
    "target_latency_ms": 545,
    "priority": 2,
    "max_attempts": 2,
}
"""Idempotent route whose first send may last 1.09 s, half of the timeout."""
OWN_PATHS = ("/report", "/order", "/stage-get", "/stage-put")
Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


@dataclass(frozen=True, slots=True)
class SoakPlan:
    """What is started for a soak.

    Attributes:
      daemons: Folder whose code and deploy file the daemons run.
      entries_per_zone: Entry processes in each of the three zones.
      models_per_zone: Engines in each zone.
      plain: Plain backends.
      error_share: Share of the plain backends' answers that are 500.
      restart_seconds: Time from the end of a process to its next start.
      seed: Seed of what the backends draw.
    """

    daemons: Path
    entries_per_zone: int = 1
    models_per_zone: int = 2
    plain: int = 0
    error_share: float = 0.0
    restart_seconds: float = 0.1
    seed: int = 1


class SoakDaemon(Daemon):
    """A daemon that runs the code of a chosen folder.

    Attributes:
      terminated_at: When it got SIGTERM, since the record began.
      kill_times: When it got SIGKILL.
      starts: How often its process was started.
    """

    deployment: "SoakDeployment"

    def __init__(self, deployment: "SoakDeployment", role: str, name: str, ip: str, zone: str):
        super().__init__(deployment, role, name, ip, zone)
        self.terminated_at: list[float] = []
        self.kill_times: list[float] = []
        self.starts = 0

    async def run(self) -> None:
        """Keep the process running until cancelled."""
        folder = self.deployment.plan.daemons
        role = self.deployment.deploy["roles"][self.role]
        path = self.deployment.folder / f"{self.name}.settings"
        path.write_text(render((folder / role["template"]).read_text(), self.settings()))
        environment = {name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ}
        environment["PYTHONPATH"] = str(folder / "target" / "deps")
        environment["VERBENAWARD_BOOT"] = str(path)
        while True:
            with (self.deployment.folder / f"{self.name}.log").open("ab") as log:
                self.process = await asyncio.create_subprocess_exec(
                    *role["run"].split(), cwd=folder, env=environment, stdout=log, stderr=log
                )
            pid = self.process.pid
            self.starts += 1
            self.deployment.record.write("start", machine=self.name, pid=pid)
            status = await self.process.wait()
            self.process = None
            self.deployment.record.write("ended", machine=self.name, pid=pid, status=status)
            if pid not in self.killed:
                self.exits.append((self.deployment.record.now(), status))
            await asyncio.sleep(self.deployment.plan.restart_seconds)

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it runs."""
        times = {signal.SIGTERM: self.terminated_at, signal.SIGKILL: self.kill_times}
        if self.process is not None and number in times:
            times[number].append(self.deployment.record.now())
        super().send(number)

    def was_killed(self, start: float, end: float) -> bool:
        """Return True if it got SIGKILL between two times."""
        return any(start <= at <= end for at in self.kill_times)

    def since_sigterm(self, now: float) -> float | None:
        """Return the time from the last SIGTERM before a time; None without one."""
        before = [at for at in self.terminated_at if at <= now]
        return now - before[-1] if before else None


class SoakWorker(Worker):
    """A backend that falls silent: it keeps its connections and sends no byte on them.

    Attributes:
      received: When requests arrived, with their attempt ids, also those that it rejects.
      speaking: Set unless it is silent.
      rng: Draws which of its answers are errors.
      error_share: Share of its whole answers that are 500.
    """

    def __init__(self, deployment: "SoakDeployment", identity: str, service: str, zone: str):
        super().__init__(deployment, identity, service, zone)
        self.received: list[tuple[float, str]] = []
        self.speaking = asyncio.Event()
        self.speaking.set()
        self.rng = random.Random(f"{deployment.plan.seed} {identity}")
        self.error_share = deployment.plan.error_share

    def application(self) -> web.Application:
        """Build the HTTP application."""

        @web.middleware
        async def hold(request: web.Request, handler: Handler) -> web.StreamResponse:
            if not request.path.startswith(OWN_PATHS):
                attempt = request.headers.get("X-Attempt-Id", "")
                self.received.append((self.record.now(), attempt))
            await self.speaking.wait()
            return await handler(request)

        app = super().application()
        app.middlewares.append(hold)
        return app

    async def whole(self, request: web.Request, attempt: str) -> web.Response:
        """Answer as a plain backend, or with its own error."""
        answer = await super().whole(request, attempt)
        await self.speaking.wait()
        if self.rng.random() < self.error_share:
            return web.Response(status=500, headers=self.headers(attempt))
        return answer

    async def stream(self, request: web.Request, attempt: str) -> web.StreamResponse:
        """Answer with a stream of events, which stops while the backend is silent."""
        headers = {"Content-Type": "text/event-stream", "X-Weight-Versions": str(self.version)}
        response = web.StreamResponse(headers={**headers, **self.headers(attempt)})
        await asyncio.sleep(FIRST_EVENT_SECONDS)
        await self.speaking.wait()
        await response.prepare(request)
        first = int(request.headers.get("Last-Event-Id", "0")) + 1
        for index in range(first, EVENTS + 1):
            if index > first:
                await asyncio.sleep(EVENT_GAP_SECONDS)
            await self.speaking.wait()
            await response.write(f"id: {index}\ndata: {attempt} {index}\n\n".encode())
        await response.write_eof()
        return response


class SoakDeployment(Deployment):
    """The processes and stand-ins of one soak, on loopback addresses of their own.

    Attributes:
      plan: What is started.
      network: First two bytes of the addresses.
    """

    entries: list[SoakDaemon]
    workers: dict[str, SoakWorker]

    def __init__(self, plan: SoakPlan, folder: Path) -> None:
        super().__init__(folder)
        self.plan = plan
        self.network = f"127.{64 + os.getpid() % 128}"
        self.deploy = tomllib.loads((plan.daemons / "deploy" / "system.toml").read_text())
        self.store_address = f"{self.network}.0.1:{self.ports['store']}"
        self.origin_address = f"{self.network}.0.2:{self.ports['origin']}"
        self.more_routes = [LOOK_ROUTE]

    async def add_worker(
        self, identity: str, service: str, zone: str, ip: str, version: int = 0
    ) -> SoakWorker:
        """Start a backend and register it."""
        worker = SoakWorker(self, identity, service, zone)
        worker.address = f"{ip}:{self.ports['app']}"
        if version:
            worker.hold(version)
        worker.runner = await self.listen(worker.application(), worker.address)
        self.workers[identity] = worker
        self.background(worker.beat())
        return worker

    async def start_plan(self) -> None:
        """Start everything and wait until all entry processes are ready.

        Raises:
          CouldNotRunError: They do not become ready.
        """
        await self.listen(self.store.application(), self.store_address)
        await self.listen(self.origin.application(), self.origin_address)
        self.write_configuration()
        for zone_index, zone in enumerate(ZONES):
            subnet = f"{self.network}.{zone_index + 1}"
            for index in range(self.plan.entries_per_zone):
                name = f"edge-{zone}-{index + 1}"
                self.entries.append(SoakDaemon(self, "entry", name, f"{subnet}.{index + 1}", zone))
            for index in range(self.plan.models_per_zone):
                await self.add_engine(zone, zone_index, index)
        for index in range(self.plan.plain):
            zone = list(ZONES)[index % len(ZONES)]
            await self.add_worker(f"i-p{index}", "beds", zone, f"{self.network}.9.{index + 1}")
        for daemon in (*self.entries, *self.endpoints):
            daemon.keeper = asyncio.create_task(daemon.run())
        await self.wait_ready(25.0)

    async def add_engine(self, zone: str, zone_index: int, index: int) -> None:
        """Add an engine that holds version 1, with its endpoint process."""
        ip = f"{self.network}.{zone_index + 1}.{index + 101}"
        worker = await self.add_worker(f"i-m{zone_index}{index}", "assist", zone, ip, version=1)
        endpoint = SoakDaemon(self, "endpoint", f"side-{zone}-{index + 1}", ip, zone)
        endpoint.engine = worker.address
        self.endpoints.append(endpoint)

    def keep_logs(self, folder: Path) -> None:
        """Copy settings and logs of the processes to a folder."""
        shutil.copytree(self.folder, folder, dirs_exist_ok=True)
