"""Starts the daemons and stand-ins of one benchmark on loopback, and ends them by process id."""

import asyncio
import contextlib
import json
import os
import random
import shutil
import signal
import sys
import tempfile
from collections.abc import AsyncIterator, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import aiohttp

ZONES_PER_REGION = 3
DAEMON_PORT = 7100
BACKEND_PORT = 7200
PLATFORM_PORT = 7300
"""Port of the key-value service; the next two are those of the origin and of the VM list."""
START_TIMEOUT_SECONDS = 40.0
STOP_SECONDS = 20.0
ENGINES_PER_PROCESS = 8


@dataclass(frozen=True, slots=True)
class ClusterPlan:
    """Number and settings of the processes that a benchmark starts.

    Attributes:
      entries: Number of entry processes.
      engines: Number of engines, each with an endpoint process in front of it.
      services: Number of plain services, each with an endpoint process in front of it.
      regions: Number of regions.
      origin_folder: Folder that the origin serves.
      origin_bytes_per_second: Rate of the origin's link; 0 for no limit.
      links: Link settings of the daemons.
      entry: Entry settings of the daemons.
      endpoint: Endpoint settings of the daemons.
      membership: Membership settings of the daemons.
      engine: Options of the engine stand-ins.
      service: Options of the service stand-ins.
      vm_list_lag_seconds: Time after which the VM list stand-in shows a change.
      writes_per_second: Write rate limit of the key-value stand-in; 0 for no limit.
      log_level: Lowest level that daemons log.
      shutdown_seconds: Longest wait of daemons for running requests when they stop.
    """

    entries: int = 2
    engines: int = 8
    services: int = 0
    regions: int = 2
    origin_folder: Path = Path()
    origin_bytes_per_second: float = 0.0
    links: dict[str, Any] = field(default_factory=dict)
    entry: dict[str, Any] = field(default_factory=dict)
    endpoint: dict[str, Any] = field(default_factory=dict)
    membership: dict[str, Any] = field(default_factory=dict)
    engine: dict[str, Any] = field(default_factory=dict)
    service: dict[str, Any] = field(default_factory=dict)
    vm_list_lag_seconds: float = 0.5
    writes_per_second: float = 0.0
    log_level: str = "info"
    shutdown_seconds: float = 10


@dataclass(slots=True)
class Process:
    """One started daemon or process of stand-ins.

    Attributes:
      name: Name of the VM or of the group of stand-ins.
      process: Its handle.
      address: Address that a daemon listens on; empty for stand-ins.
      backend: Address of the engine or service on a daemon's VM; empty for stand-ins.
    """

    name: str
    process: asyncio.subprocess.Process
    address: str = ""
    backend: str = ""


class Cluster:
    """Running processes of one benchmark.

    Attributes:
      plan: Number and settings of the processes.
      folder: Folder with settings and logs; kept at the end if VERBENAWARD_KEEP_LOGS is set.
      processes: Processes by name.
      key_value: URL of the key-value stand-in.
      origin: URL of the origin stand-in.
      vm_list: URL of the VM list stand-in.
      network: Second octet of all addresses, random so that clusters can run side by side.
    """

    def __init__(self, plan: ClusterPlan) -> None:
        self.plan = plan
        self.folder = Path(tempfile.mkdtemp(prefix="verbenaward-bench-"))
        self.processes: dict[str, Process] = {}
        self.network = random.SystemRandom().randint(20, 220)
        platform = f"127.{self.network}.0.1"
        self.key_value = f"http://{platform}:{PLATFORM_PORT}"
        self.origin = f"http://{platform}:{PLATFORM_PORT + 1}"
        self.vm_list = f"http://{platform}:{PLATFORM_PORT + 2}"
        self.platform_host = platform
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0), auto_decompress=False
        )

    @property
    def entry_vms(self) -> list[str]:
        """Return the names of the entry VMs."""
        return [f"entry-{index}" for index in range(self.plan.entries)]

    @property
    def engine_vms(self) -> list[str]:
        """Return the names of the engine VMs."""
        return [f"engine-{index}" for index in range(self.plan.engines)]

    @property
    def service_vms(self) -> list[str]:
        """Return the names of the service VMs."""
        return [f"service-{index}" for index in range(self.plan.services)]

    def host_of(self, vm: str) -> str:
        """Return the loopback IP address of a VM."""
        kind, _, index = vm.rpartition("-")
        subnet = {"entry": 1, "engine": 2, "service": 3}[kind]
        return f"127.{self.network}.{subnet}.{int(index) + 1}"

    def address_of(self, vm: str) -> str:
        """Return the address that the daemon of a VM listens on."""
        return f"{self.host_of(vm)}:{DAEMON_PORT}"

    def backend_of(self, vm: str) -> str:
        """Return the address of the engine or service of a VM."""
        return f"{self.host_of(vm)}:{BACKEND_PORT}"

    def location_of(self, vm: str) -> tuple[str, str]:
        """Return region and availability zone of a VM."""
        index = int(vm.rpartition("-")[2])
        region = index % self.plan.regions
        zone = (index // self.plan.regions) % ZONES_PER_REGION
        return f"region-{region}", f"zone-{region}-{zone}"

    def settings_of(self, vm: str) -> dict[str, Any]:
        """Return the settings document of the daemon of a VM."""
        kind = vm.rpartition("-")[0]
        region, zone = self.location_of(vm)
        settings: dict[str, Any] = {
            "format": 1,
            "role": "entry" if kind == "entry" else "endpoint",
            "vm": vm,
            "region": region,
            "zone": zone,
            "listen": self.address_of(vm),
            "seeds": [self.address_of(name) for name in self.entry_vms[:3]],
            "platform": {
                "key_value": self.key_value,
                "vm_list": f"{self.vm_list}/vms",
                "origin": self.origin,
            },
            "links": self.plan.links,
            "membership": self.plan.membership,
            "shutdown_seconds": self.plan.shutdown_seconds,
        }
        if kind == "entry":
            settings["entry"] = {"address_ttl_seconds": 1, **self.plan.entry}
        else:
            settings["endpoint"] = {
                "serves": "assistant" if kind == "engine" else "reservation",
                "kind": kind,
                "backend": f"http://{self.backend_of(vm)}",
                **self.plan.endpoint,
            }
        return settings

    async def start(self) -> None:
        """Start stand-ins and daemons, and wait until every daemon answers."""
        await self.start_standins()
        await self.set_vm_states(dict.fromkeys(self.daemon_vms(), "live"))
        for vm in self.daemon_vms():
            await self.start_daemon(vm)
        await asyncio.gather(*(self.wait_until_up(vm) for vm in self.daemon_vms()))

    def daemon_vms(self) -> list[str]:
        """Return the names of all VMs with a daemon."""
        return [*self.entry_vms, *self.engine_vms, *self.service_vms]

    async def start_standins(self) -> None:
        """Start the stand-ins, with several engines in one process."""
        platform = [
            {
                "kind": "key-value",
                "host": self.platform_host,
                "port": PLATFORM_PORT,
                "writes_per_second": self.plan.writes_per_second,
            },
            {
                "kind": "vm-list",
                "host": self.platform_host,
                "port": PLATFORM_PORT + 2,
                "lag_seconds": self.plan.vm_list_lag_seconds,
            },
        ]
        origin = {
            "kind": "origin",
            "host": self.platform_host,
            "port": PLATFORM_PORT + 1,
            "folder": str(self.plan.origin_folder),
            "bytes_per_second": self.plan.origin_bytes_per_second,
        }
        engines = [
            {
                "kind": "engine",
                "host": self.host_of(vm),
                "port": BACKEND_PORT,
                **self.plan.engine,
            }
            for vm in self.engine_vms
        ]
        services = [
            {
                "kind": "service",
                "host": self.host_of(vm),
                "port": BACKEND_PORT,
                **self.plan.service,
            }
            for vm in self.service_vms
        ]
        groups = {"platform": platform, "origin": [origin], "services": services}
        for start in range(0, len(engines), ENGINES_PER_PROCESS):
            groups[f"engines-{start}"] = engines[start : start + ENGINES_PER_PROCESS]
        for name, group in groups.items():
            if group:
                await self.start_standin(name, group)

    async def start_standin(self, name: str, group: list[dict[str, Any]]) -> None:
        """Start one process with a group of stand-ins and wait until it is ready."""
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "standins",
            json.dumps(group),
            stdout=asyncio.subprocess.PIPE,
            stderr=self.log_file(name),
        )
        self.processes[name] = Process(name, process)
        if process.stdout is not None:
            await asyncio.wait_for(process.stdout.readline(), START_TIMEOUT_SECONDS)

    async def start_daemon(self, vm: str) -> None:
        """Start the daemon of a VM, without waiting for it."""
        path = self.folder / f"{vm}.json"
        path.write_text(json.dumps(self.settings_of(vm), indent=1))
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "verbenaward.daemon",
            str(path),
            "--log-level",
            self.plan.log_level,
            stdout=asyncio.subprocess.DEVNULL,
            stderr=self.log_file(vm),
        )
        self.processes[vm] = Process(vm, process, self.address_of(vm), self.backend_of(vm))

    def log_file(self, name: str) -> int:
        """Return a file descriptor that appends to the log of a process."""
        path = self.folder / f"{name}.log"
        return os.open(path, os.O_CREAT | os.O_APPEND | os.O_WRONLY)

    async def wait_until_up(self, vm: str) -> None:
        """Wait until the daemon of a VM answers its health check."""
        deadline = asyncio.get_running_loop().time() + START_TIMEOUT_SECONDS
        while asyncio.get_running_loop().time() < deadline:
            status = await self.get_json(f"http://{self.address_of(vm)}/healthz")
            if status is not None:
                return
            await asyncio.sleep(0.05)
        raise RuntimeError(f"{vm} did not start; see {self.folder / (vm + '.log')}")

    async def get_json(self, url: str) -> Any:
        """Return the JSON at a URL; None if it cannot be read."""
        timeout = aiohttp.ClientTimeout(total=5)
        try:
            async with self.session.get(url, timeout=timeout) as response:
                return json.loads(await response.read())
        except (aiohttp.ClientError, asyncio.TimeoutError, ValueError, OSError):
            return None

    async def post_json(self, url: str, body: Any) -> Any:
        """Post JSON to a URL and return the answer; None on failure."""
        timeout = aiohttp.ClientTimeout(total=5)
        try:
            async with self.session.post(url, json=body, timeout=timeout) as response:
                return json.loads(await response.read())
        except (aiohttp.ClientError, asyncio.TimeoutError, ValueError, OSError):
            return None

    async def status(self, vm: str) -> Any:
        """Return the status of a daemon; None if it does not answer."""
        return await self.get_json(f"http://{self.address_of(vm)}/admin/status")

    async def set_vm_states(self, states: dict[str, str]) -> None:
        """Set the states of VMs in the platform's VM list."""
        await self.post_json(f"{self.vm_list}/ledger/vms", states)

    async def set_faults(self, url: str, **faults: Any) -> None:
        """Set the faults that the stand-in at a URL injects."""
        await self.post_json(f"{url}/faults", faults)

    def signal(self, vm: str, number: int) -> None:
        """Send a signal to the daemon of a VM."""
        with contextlib.suppress(ProcessLookupError):
            self.processes[vm].process.send_signal(number)

    async def kill(self, vm: str) -> None:
        """Kill the daemon of a VM with SIGKILL and wait for its end."""
        self.signal(vm, signal.SIGKILL)
        await self.processes[vm].process.wait()

    async def stop(self) -> None:
        """Kill all processes that were started; frozen ones too."""
        await self.session.close()
        running = [
            item.process for item in self.processes.values() if item.process.returncode is None
        ]
        for process in running:
            with contextlib.suppress(ProcessLookupError):
                process.send_signal(signal.SIGCONT)
                process.send_signal(signal.SIGKILL)
        await asyncio.gather(*(process.wait() for process in running))
        if not os.environ.get("VERBENAWARD_KEEP_LOGS"):
            shutil.rmtree(self.folder, ignore_errors=True)


@contextlib.asynccontextmanager
async def running_cluster(plan: ClusterPlan) -> AsyncIterator[Cluster]:
    """Start a cluster and stop it on every exit, also after an error."""
    cluster = Cluster(plan)
    try:
        await cluster.start()
        yield cluster
    finally:
        await cluster.stop()


async def poll_until(check: Any, seconds: float, poll_seconds: float = 0.02) -> bool:
    """Call a coroutine function until it returns a true value; return False on timeout."""
    deadline = asyncio.get_running_loop().time() + seconds
    while asyncio.get_running_loop().time() < deadline:
        if await check():
            return True
        await asyncio.sleep(poll_seconds)
    return False


def quantile(values: Sequence[float], share: float) -> float:
    """Return a quantile of some values; 0 if there are none."""
    ordered = sorted(values)
    if not ordered:
        return 0.0
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]
