"""Real processes on loopback for a soak: daemons that restart, and stand-ins of backends."""

import asyncio
import contextlib
import json
import os
import shutil
import signal
import sys
import tomllib
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from review.harness import ZONES, Daemon, Deployment, render

from .soak_links import SoakLink
from .soak_verdicts import ProcessEnd
from .soak_workers import SoakWorker

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
BOOK_ROUTE = {
    "name": "r-b",
    "path_prefix": "/book/",
    "kind": "non_idempotent",
    "service": "beds",
    "timeout_ms": 4000,
    "target_latency_ms": 600,
    "priority": 2,
    "max_attempts": 1,
}
"""Route of unsafe requests, whose timeout is longer than any silence that ends."""
FIRST_LINK_NETWORK, LINK_NETWORKS = 192, 60
"""Second bytes of the addresses of links, above those of the processes."""
DEPENDENCIES = Path("target", "deps")


@dataclass(frozen=True, slots=True)
class SoakPlan:
    """What is started for a soak.

    Attributes:
      daemons: Folder whose code and deploy file the daemons run.
      entries_per_zone: Entry processes in each of the three zones.
      models_per_zone: Engines in each zone.
      plain: Plain backends.
      services: Services of the plain backends, in turn.
      error_share: Share of the plain backends' answers that are 500.
      restart_seconds: Time from the end of a process to its next start.
      seed: Seed of what the backends draw.
      has_links: True if the entry processes reach each other over links that can be bad.
      idle_routes: Routes of the configuration that no request uses.
    """

    daemons: Path
    entries_per_zone: int = 1
    models_per_zone: int = 2
    plain: int = 0
    services: tuple[str, ...] = ("beds",)
    error_share: float = 0.0
    restart_seconds: float = 0.1
    seed: int = 1
    has_links: bool = False
    idle_routes: int = 0


class SoakDaemon(Daemon):
    """A daemon that runs the code of a chosen folder.

    Attributes:
      terminated_at: When it got SIGTERM, since the record began.
      stop_times: When its processes first got SIGTERM.
      kill_times: When it got SIGKILL.
      resume_times: When it got SIGCONT.
      disturbed_at: When it got any signal or was started.
      starts: How often its process was started.
      signals: Names of the signals that the running process got.
      ends: The ends of its processes.
    """

    deployment: "SoakDeployment"

    def __init__(self, deployment: "SoakDeployment", role: str, name: str, ip: str, zone: str):
        super().__init__(deployment, role, name, ip, zone)
        self.terminated_at: list[float] = []
        self.stop_times: list[float] = []
        self.kill_times: list[float] = []
        self.resume_times: list[float] = []
        self.disturbed_at: list[float] = []
        self.starts = 0
        self.signals: set[str] = set()
        self.ends: list[ProcessEnd] = []
        self.log_bytes = 0

    @property
    def log_file(self) -> Path:
        """Log of all its processes."""
        return self.deployment.folder / f"{self.name}.log"

    @property
    def has_begun(self) -> bool:
        """True if the process has logged something: it handles signals by then."""
        return self.process is not None and self.log_file.stat().st_size > self.log_bytes

    def write_settings(self, changes: dict[str, object] | None = None) -> Path:
        """Write its settings file, with changes to the section direct; return the path."""
        folder = self.deployment.plan.daemons
        template = self.deployment.deploy["roles"][self.role]["template"]
        settings = json.loads(render((folder / template).read_text(), self.settings()))
        settings["direct"] |= changes or {}
        path = self.deployment.folder / f"{self.name}.settings"
        # A process that starts now reads the old ones or the new ones, as a whole.
        written = path.with_suffix(".new")
        written.write_text(json.dumps(settings, indent=1))
        return written.replace(path)

    async def run(self) -> None:
        """Keep the process running until cancelled."""
        folder = self.deployment.plan.daemons
        command = command_of(folder, self.deployment.deploy["roles"][self.role]["run"])
        environment = {name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ}
        environment["PYTHONPATH"] = str(folder / DEPENDENCIES)
        environment["VERBENAWARD_BOOT"] = str(self.write_settings())
        while True:
            with self.log_file.open("ab") as log:
                self.log_bytes = self.log_file.stat().st_size
                self.signals = set()
                self.process = await asyncio.create_subprocess_exec(
                    *command, cwd=folder, env=environment, stdout=log, stderr=log
                )
            pid = self.process.pid
            self.starts += 1
            self.disturbed_at.append(self.deployment.record.now())
            self.deployment.record.write("start", machine=self.name, pid=pid)
            status = await self.process.wait()
            self.process = None
            self.deployment.record.write("ended", machine=self.name, pid=pid, status=status)
            self.ends.append(ProcessEnd(self.name, status, frozenset(self.signals)))
            if pid not in self.killed:
                self.exits.append((self.deployment.record.now(), status))
            await asyncio.sleep(self.deployment.plan.restart_seconds)

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it runs.

        Not by the functions of `subprocess`, which take the status of one that has just ended.
        """
        if self.process is None:
            return
        now = self.deployment.record.now()
        self.disturbed_at.append(now)
        if number is signal.SIGTERM:
            self.terminated_at.append(now)
            if number.name not in self.signals:
                self.stop_times.append(now)
        if number is signal.SIGCONT:
            self.resume_times.append(now)
        if number is signal.SIGKILL:
            self.kill_times.append(now)
        if number in (signal.SIGTERM, signal.SIGKILL):
            self.killed.add(self.process.pid)
        self.signals.add(number.name)
        self.deployment.record.write("signal", machine=self.name, signal=number.name)
        with contextlib.suppress(ProcessLookupError):
            os.kill(self.process.pid, number)

    def was_killed(self, start: float, end: float) -> bool:
        """Return True if it got SIGKILL between two times."""
        return any(start <= at <= end for at in self.kill_times)

    def since_sigterm(self, now: float) -> float | None:
        """Return the time from the last SIGTERM before a time; None without one."""
        before = [at for at in self.terminated_at if at <= now]
        return now - before[-1] if before else None


def command_of(folder: Path, command: str) -> list[str]:
    """Return the words of a role's command.

    Where the dependencies of the deploy file are not built, this process's interpreter runs it.
    """
    words = command.split()
    return words if (folder / DEPENDENCIES).exists() else [sys.executable, *words[1:]]


def idle_route(number: int) -> dict[str, Any]:
    """Return a route that no request uses; it makes the configuration as large as a site's."""
    return {**LOOK_ROUTE, "name": f"r-idle-{number}", "path_prefix": f"/idle-{number}/"}


class SoakDeployment(Deployment):
    """The processes and stand-ins of one soak, on loopback addresses of their own.

    Attributes:
      plan: What is started.
      network: First two bytes of the addresses.
      first_body: First configuration, on which all changed ones are based.
      timeouts: When configurations were written, with the timeouts of their routes in seconds.
      most_attempts: Largest `max_attempts` that a configuration has given each route.
      used_entries: Entry processes that callers use; those of the directory if empty.
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
        idle = [idle_route(number) for number in range(plan.idle_routes)]
        self.more_routes = [LOOK_ROUTE, BOOK_ROUTE, *idle]
        self.first_body = b""
        self.timeouts: list[tuple[float, dict[str, float]]] = []
        self.most_attempts: dict[str, int] = {}
        self.used_entries: list[SoakDaemon] = []
        self.has_links = plan.has_links

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

    def change_configuration(self, change: Callable[[dict[str, Any]], None]) -> int:
        """Write the first configuration with a change; return its version."""
        self.first_body = self.first_body or self.store.items["op/config"][0]
        body = json.loads(self.first_body)
        change(body)
        self.config_version += 3
        body["version"] = self.config_version
        self.store.put("op/config", json.dumps(body).encode())
        self.record.write("configuration", version=self.config_version)
        timeouts = {item["path_prefix"]: item["timeout_ms"] / 1000 for item in body["routes"]}
        self.timeouts.append((self.record.now(), timeouts))
        for item in body["routes"]:
            known = self.most_attempts.get(item["path_prefix"], 0)
            self.most_attempts[item["path_prefix"]] = max(known, item["max_attempts"])
        return self.config_version

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
            service = self.plan.services[index // len(ZONES) % len(self.plan.services)]
            await self.add_worker(f"i-p{index}", service, zone, f"{self.network}.9.{index + 1}")
        if self.has_links:
            await self.open_links()
        for daemon in (*self.entries, *self.endpoints):
            daemon.keeper = asyncio.create_task(daemon.run())
        await self.wait_ready(25.0)

    async def open_links(self) -> None:
        """Put a proxy before the internal port of each entry process."""
        shown_network = f"127.{FIRST_LINK_NETWORK + os.getpid() % LINK_NETWORKS}"
        for entry in self.entries:
            own = f"{entry.ip}:{self.ports['internal']}"
            shown = own.replace(self.network, shown_network, 1)
            self.store.shown[own] = shown
            self.links[own] = SoakLink(own, shown, self.links, self.plan.seed)
        for link in self.links.values():
            self.servers.append(await link.open())

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
