"""A small deployment on loopback for the scripts of the cases.

The project's daemons run as separate processes with the commands and the templates of the deploy
file. The store is the project's own stand-in; workers, origin, operator and requesters are small
stand-ins in the process of the script, which do what the users' pages say and no more.
"""

import asyncio
import base64
import contextlib
import hashlib
import json
import os
import random
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections import Counter
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import aiohttp
from aiohttp import web

from standins.platform_store import PlatformStoreStandIn

ROOT = Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
ZONES = {"norte-porto": "norte", "centro-coimbra": "centro", "lisboa-oeiras": "lisboa-sul"}
HOST = "caller.example"
KEY = "key-of-the-tenant"
TENANT = "tenant-1"
MODEL = "model-0"
CHUNKS = 48
CHUNK_BYTES = 49_152
BOUNDS = {
    "grace_period_s": 8,
    "version_ms": 8000,
    "retry_budget_ratio": 0.2,
    "retry_budget_extra": 106,
    "retry_window_s": 10,
}
STABLE_SECONDS = 3.0
DRAIN_SECONDS = 2.0
RECOVERY_SECONDS = 12.0
HEARTBEAT_SECONDS = 1.2


class CouldNotRunError(Exception):
    """Raised if the case could not be run, for example as the daemons did not become ready."""


class Record:
    """The file `record.txt` of a case: one line for each thing that was sent, answered or run.

    Attributes:
      started: When the script began, monotonic.
      stream: The open file.
    """

    def __init__(self, folder: Path) -> None:
        self.started = time.monotonic()
        self.stream = (folder / "record.txt").open("w")

    def now(self) -> float:
        """Return the time since the beginning of the script."""
        return time.monotonic() - self.started

    def write(self, event: str, **fields: Any) -> None:
        """Write one line."""
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self.stream.write(f"{self.now():8.3f} {event} {text}\n")
        self.stream.flush()


def render(template: str, values: dict[str, Any]) -> str:
    """Fill in a template of settings as the platform does; only what this project's ones use."""

    def find(name: str, entry: Any) -> Any:
        if name == ".":
            return entry
        value: Any = values
        for part in name.split("."):
            if isinstance(value, list):
                value = value[int(part)]
            else:
                value = value.get(part) if isinstance(value, dict) else None
        return value

    def fill(text: str, entry: Any) -> str:
        def one(match: re.Match[str]) -> str:
            name, _, form = match[1].partition("|")
            value = find(name, entry)
            return json.dumps(value) if form == "json" else str(value)

        return re.sub(r"\{\{([^#/{}]+?)\}\}", one, text)

    def section(match: re.Match[str]) -> str:
        entries = find(match[1], None) or []
        parts = []
        for index, entry in enumerate(entries):
            comma = "," if index < len(entries) - 1 else ""
            parts.append(fill(match[2].replace("{{,}}", comma), entry))
        return "".join(parts)

    return fill(re.sub(r"\{\{#(.+?)\}\}(.*?)\{\{/\1\}\}", section, template), None)


def free_port() -> int:
    """Return a port that is free on loopback, below those of outgoing connections."""
    for port in random.sample(range(10_000, 30_000), 200):
        with (
            contextlib.suppress(OSError),
            socket.socket() as tcp,
            socket.socket(type=socket.SOCK_DGRAM) as udp,
        ):
            tcp.bind(("127.30.0.1", port))
            udp.bind(("127.30.0.1", port))
            return port
    raise CouldNotRunError("no free port")


class Store(PlatformStoreStandIn):
    """The platform's store, which can show machines at the addresses of their links.

    Attributes:
      shown: Address at which a machine is shown, by its own address.
    """

    def __init__(self) -> None:
        super().__init__()
        self.shown: dict[str, str] = {}

    def put(self, key: str, value: bytes, lease: int = 0) -> int:
        """Write a key; the registration of an edge machine under the address of its link."""
        for own, shown in self.shown.items():
            if key.endswith(f"/{own}"):
                key = key.removesuffix(own) + shown
        return super().put(key, value, lease)


class Link(asyncio.DatagramProtocol):
    """The link of one edge machine: a proxy of its internal port for datagrams and connections.

    Attributes:
      own: Address of the machine.
      shown: Address of the proxy.
      links: All links, by the address of the machine.
      side: Number of the half to which it belongs while there is a partition; 0 for none.
      dropped: Datagrams that a partition has dropped.
    """

    def __init__(self, own: str, shown: str, links: dict[str, "Link"]) -> None:
        self.own, self.shown, self.links = own, shown, links
        self.side = 0
        self.dropped = 0
        self.transport: asyncio.DatagramTransport | None = None

    async def open(self) -> asyncio.Server:
        """Listen at the address of the proxy."""
        host, _, port = self.shown.rpartition(":")
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(host, int(port))
        )
        return await asyncio.start_server(self.connect, host, int(port))

    def datagram_received(self, data: bytes, source: tuple[str, int]) -> None:
        """Pass a datagram on to the machine, from the proxy of its sender."""
        sender = self.links.get(f"{source[0]}:{source[1]}")
        if sender is self:
            return
        if sender is not None and sender.side != self.side:
            self.dropped += 1
            return
        transport = (sender or self).transport
        host, _, port = self.own.rpartition(":")
        if transport is not None:
            transport.sendto(data, (host, int(port)))

    async def connect(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Pass a connection on to the machine."""
        host, _, port = self.own.rpartition(":")
        try:
            inner_reader, inner_writer = await asyncio.open_connection(host, int(port))
            await asyncio.gather(pipe(reader, inner_writer), pipe(inner_reader, writer))
        except OSError:
            pass
        finally:
            writer.close()


async def pipe(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Copy one direction of a connection until it ends."""
    try:
        while data := await reader.read(65536):
            writer.write(data)
            await writer.drain()
    except OSError:
        pass
    finally:
        writer.close()


class Daemon:
    """One machine with one process of the project; the platform starts it again if it ends.

    Attributes:
      name: Name of the machine.
      ip: Its address.
      zone: Its zone.
      process: The running process; None while the machine is down.
      is_up: False while the platform is told not to start the process.
      exits: Statuses with which the process has ended without a kill of the script.
      killed: Process ids that the script has killed.
    """

    def __init__(self, deployment: "Deployment", role: str, name: str, ip: str, zone: str) -> None:
        self.deployment = deployment
        self.role = role
        self.name = name
        self.ip = ip
        self.zone = zone
        self.engine = ""
        self.process: asyncio.subprocess.Process | None = None
        self.is_up = True
        self.exits: list[tuple[float, int]] = []
        self.killed: set[int] = set()
        self.keeper: asyncio.Task[None] | None = None

    @property
    def front(self) -> str:
        """Address for requesters."""
        return f"{self.ip}:{self.deployment.ports['front']}"

    def settings(self) -> dict[str, Any]:
        """Return the fields of the platform's settings file that the templates use."""
        ports = self.deployment.ports
        return {
            "node_name": self.name,
            "region": ZONES[self.zone],
            "zone": self.zone,
            "ip": self.ip,
            "internal_port_range": [ports["internal"], ports["internal"] + 15],
            "seed_nodes": self.deployment.seeds(),
            "platform": {"address": self.deployment.store_address},
            "listeners_config": {
                "front_http": self.front,
                "readiness": f"{self.ip}:{ports['readiness']}",
                "directory_service": f"{self.ip}:{ports['directory']}",
            },
            "zones": ZONES,
            "bounds": BOUNDS,
            "limits": {"memory_mb": 300, "link_mbps": self.deployment.side_megabits},
            "app": self.engine,
            "service": "assist",
        }

    async def run(self) -> None:
        """Keep the process running until cancelled."""
        role = self.deployment.deploy["roles"][self.role]
        path = self.deployment.folder / f"{self.name}.settings"
        path.write_text(render((ROOT / role["template"]).read_text(), self.settings()))
        environment = {name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ}
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["VERBENAWARD_BOOT"] = str(path)
        while True:
            if not self.is_up:
                await asyncio.sleep(0.02)
                continue
            with (self.deployment.folder / f"{self.name}.log").open("ab") as log:
                self.process = await asyncio.create_subprocess_exec(
                    *role["run"].split(), cwd=ROOT, env=environment, stdout=log, stderr=log
                )
            pid = self.process.pid
            self.deployment.record.write("start", machine=self.name, pid=pid)
            status = await self.process.wait()
            self.process = None
            if pid not in self.killed:
                self.exits.append((self.deployment.record.now(), status))
                self.deployment.record.write("ended-by-itself", machine=self.name, status=status)
            await asyncio.sleep(0.1)

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it runs."""
        if self.process is None:
            return
        if number in (signal.SIGKILL, signal.SIGTERM):
            self.killed.add(self.process.pid)
        self.deployment.record.write("signal", machine=self.name, signal=number.name)
        with contextlib.suppress(ProcessLookupError):
            self.process.send_signal(number)

    async def end(self) -> None:
        """End the process for good."""
        if self.keeper is not None:
            self.keeper.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self.keeper
        if self.process is not None:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(signal.SIGCONT)
                self.process.kill()
            await self.process.wait()


class Origin:
    """The origin of weights.

    Attributes:
      versions: Pieces by version.
      spoil_manifest: Returns the manifest to send in place of the right one.
      manifests: Manifests sent, by version.
      down_until: Time until which its connections are reset, since the script began.
    """

    def __init__(self, record: Record) -> None:
        self.record = record
        self.versions: dict[int, list[bytes]] = {}
        self.spoil_manifest: Callable[[int, bytes], bytes] = lambda _, body: body
        self.manifests: Counter[int] = Counter()
        self.down_until = 0.0
        self.turn = asyncio.Lock()
        for version in (1, 2):
            rng = random.Random(version)
            self.versions[version] = [rng.randbytes(CHUNK_BYTES) for _ in range(CHUNKS)]

    def digests(self, version: int) -> list[str]:
        """Return the SHA-256 digests of a version's pieces."""
        return [hashlib.sha256(chunk).hexdigest() for chunk in self.versions[version]]

    def application(self) -> web.Application:
        """Build the HTTP application."""
        app = web.Application()
        app.router.add_get("/manifest/{model}", self.manifest)
        app.router.add_get("/piece/{model}", self.piece)
        return app

    def reset_if_down(self, request: web.Request) -> None:
        """Reset the connection of a request while the origin is down.

        Raises:
          CancelledError: It is.
        """
        if self.record.now() < self.down_until and request.transport is not None:
            request.transport.abort()
            raise asyncio.CancelledError

    async def manifest(self, request: web.Request) -> web.Response:
        """Send a manifest."""
        self.reset_if_down(request)
        version = int(request.query.get("version", max(self.versions)))
        if version not in self.versions:
            return web.Response(status=410)
        body = {
            "model_name": request.match_info["model"],
            "version": version,
            "chunk_size_bytes": CHUNK_BYTES,
            "layers": 16,
            "chunk_hashes": self.digests(version),
        }
        right = json.dumps(body, separators=(",", ":")).encode()
        sent = self.spoil_manifest(version, right)
        self.manifests[version] += 1
        self.record.write("manifest", version=version, spoilt=sent != right, to=request.remote)
        return web.Response(body=sent, content_type="application/json")

    async def piece(self, request: web.Request) -> web.Response:
        """Send a piece over a link of 15 Mbit/s."""
        self.reset_if_down(request)
        version, index = int(request.query["version"]), int(request.query["sample_count"])
        if version not in self.versions or not 0 <= index < CHUNKS:
            return web.Response(status=410)
        async with self.turn:
            await asyncio.sleep(CHUNK_BYTES * 8 / 15e6)
        return web.Response(body=self.versions[version][index])


class Worker:
    """A worker of a service: a model worker or a plain one.

    Attributes:
      identity: Its id.
      service: Its service.
      address: Its address.
      zone: Its zone.
      version: Version of the weights that it holds; 0 for none or a plain worker.
      staged: Staged pieces by index.
      spoilt_at: When a staged piece turned bad, by index.
      state: What it registers.
      slots: Requests that it runs at the same time.
      queue: Further ones that it lets wait.
      runs: Runs that began, by attempt id.
      bodies: Bodies that arrived, by attempt id.
      arrivals: When requests arrived, with their attempt ids, since the script began.
      loads: For each accepted order the version and the faults of what lay there.
      is_busy: True while an order is carried out.
      work_seconds: Time that a plain worker takes for a request.
      cold_ms: How much longer it is cold, as it registers that.
      newline: Line end of the events of its streams.
      on_stage_get: Called before a staged piece is sent, with its index.
    """

    def __init__(self, deployment: "Deployment", identity: str, service: str, zone: str) -> None:
        self.deployment = deployment
        self.record = deployment.record
        self.identity = identity
        self.service = service
        self.zone = zone
        self.address = ""
        self.version = 0
        self.staged: dict[int, bytes] = {}
        self.spoilt_at: dict[int, float] = {}
        self.state = "ready"
        self.slots = deployment.slots if service == "assist" else 16
        self.queue = 0
        self.born = deployment.born
        self.orders = 0
        self.runs: Counter[str] = Counter()
        self.bodies: dict[str, bytes] = {}
        self.arrivals: list[tuple[float, str]] = []
        self.active: set[asyncio.Task[Any]] = set()
        self.loads: list[tuple[int, list[str]]] = []
        self.is_busy = False
        self.is_gone = False
        self.on_stage_get: Callable[[int], Awaitable[None]] | None = None
        self.work_seconds = 0.0225
        self.cold_ms = 0
        self.newline = "\n"
        self.registered = b""
        self.runner: web.AppRunner | None = None
        self.tasks: set[asyncio.Task[None]] = set()

    @property
    def is_model(self) -> bool:
        """True for a model worker."""
        return self.service == "assist"

    def hold(self, version: int) -> None:
        """Hold a version of the weights, which is also staged."""
        self.version = version
        self.staged = dict(enumerate(self.deployment.origin.versions[version]))

    def application(self) -> web.Application:
        """Build the HTTP application."""
        app = web.Application(client_max_size=8_000_000)
        app.router.add_get("/report", self.report)
        app.router.add_post("/order", self.order)
        app.router.add_put("/stage-put/{model}", self.stage_put)
        app.router.add_get("/stage-get/{model}", self.stage_get)
        app.router.add_route("*", "/{path:.*}", self.serve)
        return app

    def models(self) -> list[dict[str, Any]]:
        """Return the list of the weights that it holds."""
        held = {"name": MODEL, "version": self.version, "lora_adapters": []}
        return [held] if self.version else []

    def register(self) -> None:
        """Write its entry if something has changed."""
        body: dict[str, Any] = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "cold_remaining_ms": self.cold_ms,
            "sequence": 1,
            "born": self.born,
        }
        if self.is_model:
            body["inference_phase"] = "prefill_and_decode"
            body["model_list"] = self.models()
        value = json.dumps(body).encode()
        if value != self.registered and not self.is_gone:
            self.registered = value
            self.deployment.store.put(f"servers/{self.identity}", value)

    async def beat(self) -> None:
        """Register at each heartbeat."""
        while True:
            self.register()
            await asyncio.sleep(HEARTBEAT_SECONDS)

    def deregister(self) -> float:
        """Remove the entry, as workers do that never report draining; return the time."""
        self.is_gone = True
        self.deployment.store.remove(f"servers/{self.identity}")
        self.record.write("removed", worker=self.identity)
        return self.record.now()

    async def report(self, request: web.Request) -> web.Response:
        """Return its state."""
        body = {
            "inference_phase": "prefill_and_decode",
            "model_list": self.models(),
            "busy": self.is_busy,
            "sequence": self.orders,
            "queued_requests": 0,
            "active_requests": len(self.active),
            "kv_used_tokens": 0,
            "kv_capacity": 1_180_000,
            "kv_handles": 0,
            "born": self.born,
        }
        return web.json_response(body)

    async def stage_put(self, request: web.Request) -> web.Response:
        """Store a piece."""
        body, index = await request.read(), int(request.query["sample_count"])
        self.staged[index] = body
        self.spoilt_at.pop(index, None)
        return web.Response()

    async def stage_get(self, request: web.Request) -> web.Response:
        """Return a staged piece."""
        if "sample_count" not in request.query:
            return web.json_response({"held": sorted(self.staged)})
        index = int(request.query["sample_count"])
        chunk = self.staged.get(index)
        if self.on_stage_get is not None:
            await self.on_stage_get(index)
        return web.Response(status=404) if chunk is None else web.Response(body=chunk)

    async def order(self, request: web.Request) -> web.Response:
        """Accept an order to load what is staged now."""
        body = json.loads(await request.read())
        if body.get("operation") != "start":
            return web.Response(status=400)
        version = int(body["version"])
        if self.version == version:
            return web.Response(status=200)
        if self.is_busy or body.get("precondition", self.orders) != self.orders:
            return web.Response(status=409)
        self.orders += 1
        self.is_busy = True
        faults = []
        for index, digest in enumerate(self.deployment.origin.digests(version)):
            found = self.staged.get(index)
            if found is None or hashlib.sha256(found).hexdigest() != digest:
                since = self.record.now() - self.spoilt_at.get(index, 0.0)
                kind = "missing" if found is None else f"spoilt for {since:.2f} s"
                if index not in self.spoilt_at or since > STABLE_SECONDS:
                    faults.append(f"piece {index} {kind}")
        self.loads.append((version, faults))
        self.record.write(
            "order", worker=self.identity, version=version, faults=", ".join(faults) or "none"
        )
        task = asyncio.create_task(self.load(version))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return web.Response(status=202)

    async def load(self, version: int) -> None:
        """Load once what is running has ended."""
        while self.active:
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.3)
        self.version, self.is_busy = version, False
        self.register()
        self.record.write("loaded", worker=self.identity, version=version)

    async def serve(self, request: web.Request) -> web.StreamResponse:
        """Run a request, or say that it was not run."""
        attempt = request.headers.get("X-Attempt-Id", "")
        expected = request.headers.get("X-Expect-Instance", self.identity)
        version = request.headers.get("X-Expect-Version", str(self.version))
        if expected != self.identity or (self.is_model and version != str(self.version)):
            return web.Response(status=421, headers={"X-Instance-Id": self.identity})
        self.arrivals.append((self.record.now(), attempt))
        is_full = self.is_busy or len(self.active) >= self.slots + self.queue
        if not attempt or is_full or (self.is_model and not self.version):
            return web.Response(status=503, headers={"X-Not-Executed": "1"})
        self.bodies[attempt] = await request.read()
        self.runs[attempt] += 1
        self.record.write("run", worker=self.identity, id=attempt, version=self.version)
        task = asyncio.current_task()
        assert task is not None
        self.active.add(task)
        try:
            return await (self.stream if self.is_model else self.whole)(request, attempt)
        finally:
            self.active.discard(task)

    def headers(self, attempt: str) -> dict[str, str]:
        """Return the headers of an answer."""
        return {"X-Attempt-Id": attempt, "X-Server-Signature": f"{self.identity}.{attempt}"}

    async def whole(self, request: web.Request, attempt: str) -> web.Response:
        """Answer as a plain worker."""
        await asyncio.sleep(self.work_seconds)
        return web.Response(headers=self.headers(attempt), body=body_of(attempt))

    async def stream(self, request: web.Request, attempt: str) -> web.StreamResponse:
        """Answer with a stream of events."""
        headers = {"Content-Type": "text/event-stream", "X-Weight-Versions": str(self.version)}
        response = web.StreamResponse(headers={**headers, **self.headers(attempt)})
        await asyncio.sleep(0.05)
        await response.prepare(request)
        first = int(request.headers.get("Last-Event-Id", "0")) + 1
        for index in range(first, 11):
            event = f"id: {index}\ndata: {attempt} {index}\n\n"
            await response.write(event.replace("\n", self.newline).encode())
            await asyncio.sleep(0.03)
        await response.write_eof()
        return response


def body_of(attempt: str) -> bytes:
    """Return the whole body of a plain worker's answer."""
    return f"answer to {attempt} ".encode() * 20


class Deployment:
    """The machines, the platform, the workers and the requesters of a case.

    Attributes:
      record: The record of the case.
      folder: Temporary folder of settings and logs.
      store: The platform's store.
      store_address: Its address.
      origin: The origin of weights.
      entries: Machines of the class edge.
      endpoints: Machines of the class side.
      workers: Workers by id.
      side_megabits: Link of the side machines.
      links: Links of the edge machines, by their addresses, if `has_links`.
      has_links: Whether the edge machines reach each other over links that can be cut.
      service_fields: Further fields of the plain service in the configuration.
      more_routes: Further routes of the configuration.
      slots: Requests that a model worker runs at the same time.
      servers: Servers of the links.
      born: Start of the workers, in milliseconds since the epoch.
      plain_identity: Returns the id of a plain worker by its number.
      answers: For each request its sending time, path, status and whether it was answered whole.
    """

    def __init__(self, case: Path) -> None:
        self.record = Record(case)
        self.folder = Path(tempfile.mkdtemp(prefix="case-"))
        self.deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self.store = Store()
        self.store.era = 0
        self.origin = Origin(self.record)
        self.ports = {}
        for name in ("front", "readiness", "directory", "internal", "app", "store", "origin"):
            self.ports[name] = free_port()
        self.store_address = f"127.30.0.1:{self.ports['store']}"
        self.origin_address = f"127.30.0.2:{self.ports['origin']}"
        self.side_megabits = 4.7
        self.links: dict[str, Link] = {}
        self.has_links = False
        self.service_fields: dict[str, Any] = {}
        self.more_routes: list[dict[str, Any]] = []
        self.slots = 16
        self.servers: list[asyncio.Server] = []
        self.entries: list[Daemon] = []
        self.endpoints: list[Daemon] = []
        self.workers: dict[str, Worker] = {}
        self.runners: list[web.AppRunner] = []
        self.tasks: set[asyncio.Task[Any]] = set()
        self.answers: list[dict[str, Any]] = []
        self.config_version = 0
        self.sent = 0
        self.born = int(time.time() * 1000)
        self.plain_identity: Callable[[int], str] = lambda index: f"i-p{index}"

    def seeds(self) -> list[str]:
        """Return the seeds, which name the first machines."""
        seeds = [f"{item.ip}:{self.ports['internal']}" for item in self.entries[:3]]
        return [self.store.shown.get(seed, seed) for seed in seeds]

    async def open_links(self) -> None:
        """Put a proxy before the internal port of each edge machine."""
        for entry in self.entries:
            own = f"{entry.ip}:{self.ports['internal']}"
            shown = own.replace("127.30.", "127.40.", 1)
            self.store.shown[own] = shown
            self.links[own] = Link(own, shown, self.links)
        for link in self.links.values():
            self.servers.append(await link.open())

    async def listen(self, app: web.Application, address: str) -> web.AppRunner:
        """Serve an application at an address."""
        runner = web.AppRunner(
            app,
            access_log=None,
            handler_cancellation=True,
            shutdown_timeout=0.1,
            auto_decompress=False,
        )
        await runner.setup()
        host, _, port = address.rpartition(":")
        await web.TCPSite(runner, host, int(port), reuse_address=True).start()
        self.runners.append(runner)
        return runner

    def background(self, work: Any) -> asyncio.Task[Any]:
        """Run a coroutine until the deployment is stopped."""
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def add_worker(
        self, identity: str, service: str, zone: str, ip: str, version: int = 0
    ) -> Worker:
        """Start a worker and register it."""
        worker = Worker(self, identity, service, zone)
        worker.address = f"{ip}:{self.ports['app']}"
        if version:
            worker.hold(version)
        worker.runner = await self.listen(worker.application(), worker.address)
        self.workers[identity] = worker
        self.background(worker.beat())
        return worker

    async def start(self, entries_per_zone: int, models_per_zone: int, plain: int) -> None:
        """Start everything and wait until all entry machines are ready.

        Raises:
          CouldNotRunError: They do not become ready.
        """
        await self.listen(self.store.application(), self.store_address)
        await self.listen(self.origin.application(), self.origin_address)
        self.write_configuration()
        for zone_index, zone in enumerate(ZONES):
            for index in range(entries_per_zone):
                ip = f"127.30.{zone_index + 1}.{index + 1}"
                self.entries.append(Daemon(self, "entry", f"edge-{zone}-{index + 1}", ip, zone))
            for index in range(models_per_zone):
                ip = f"127.30.{zone_index + 1}.{index + 101}"
                name = f"side-{zone}-{index + 1}"
                worker = await self.add_worker(
                    f"i-m{zone_index}{index}", "assist", zone, ip, version=1
                )
                endpoint = Daemon(self, "endpoint", name, ip, zone)
                endpoint.engine = worker.address
                self.endpoints.append(endpoint)
        for index in range(plain):
            zone = list(ZONES)[index % len(ZONES)]
            identity = self.plain_identity(index)
            await self.add_worker(identity, "beds", zone, f"127.30.9.{index + 1}")
        if self.has_links:
            await self.open_links()
        for daemon in (*self.entries, *self.endpoints):
            daemon.keeper = asyncio.create_task(daemon.run())
        await self.wait_ready(25.0)

    async def wait_ready(self, seconds: float) -> None:
        """Wait until the readiness check of all entry machines succeeds.

        Raises:
          CouldNotRunError: That takes too long.
        """
        until = time.monotonic() + seconds
        async with aiohttp.ClientSession() as session:
            for entry in self.entries:
                url = f"http://{entry.ip}:{self.ports['readiness']}/readyz"
                while True:
                    with contextlib.suppress(aiohttp.ClientError, OSError):
                        async with session.get(url) as answer:
                            if answer.status == 200:
                                break
                    if time.monotonic() > until:
                        raise CouldNotRunError(f"{entry.name} does not become ready")
                    await asyncio.sleep(0.1)
        self.record.write("ready", machines=len(self.entries))

    def write_configuration(self) -> float:
        """Write a configuration as the operator; return when it was acknowledged."""
        self.config_version += 3
        engine = {
            "slots": self.slots, "kv_capacity_tokens": 1_180_000, "kv_token_bytes": 163_840,
            "step_size": 5, "model_list": [{"name": MODEL, "warmup_s": 0.3}], "step_ms": 8.87,
            "per_seq_ms": 0.0388, "context_per_k": 0.0227, "read_per_s": 19_100.0, "chunk": 2048,
            "usual": {"prompt": 977, "answer": 94}, "layers": 16, "layer_mb": 4540.0,
            "chunk_count": CHUNKS, "chunk_size_bytes": CHUNK_BYTES,
        }  # fmt: skip
        routes = [
            {"name": "r-a", "path_prefix": "/assist/", "kind": "streaming", "service": "assist",
             "timeout_ms": 6000, "target_latency_ms": 505, "priority": 1, "max_attempts": 2,
             "session_affinity": True, "stream_resumption": True, "gap_target_ms": 400},
            {"name": "r-r", "path_prefix": "/reserve/", "kind": "non_idempotent",
             "service": "beds", "timeout_ms": 1000, "target_latency_ms": 130, "priority": 2,
             "max_attempts": 1},
            {"name": "r-c", "path_prefix": "/check/", "kind": "idempotent", "service": "beds",
             "timeout_ms": 1000, "target_latency_ms": 129, "priority": 2, "max_attempts": 2},
        ]  # fmt: skip
        routes += self.more_routes
        body = {
            "version": self.config_version,
            "routes": [{**route, "hostname": HOST, "public": False} for route in routes],
            "services": [
                {"name": "assist", "health_path": "/healthz", "connection_limit": 374,
                 "inference_engine": engine},
                {"name": "portal", "origin_server": self.origin_address, "zone": "lisboa-oeiras",
                 "link_mbps": 15.0, "connection_limit": 48},
                {"name": "beds", "health_path": "/healthz", "connection_limit": 110,
                 **self.service_fields},
            ],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4_194_304,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15_000},
            "tenants": [{"name": TENANT, "api_keys": [KEY], "priority": 1}],
        }  # fmt: skip
        self.store.put("op/config", json.dumps(body).encode())
        self.record.write("configuration", version=self.config_version)
        return self.record.now()

    def name_version(self, version: int) -> float:
        """Declare new weights as the operator; return when that was acknowledged."""
        body = {"model_name": MODEL, "version": version}
        self.store.put(f"op/version/{MODEL}", json.dumps(body).encode())
        self.record.write("version-named", version=version)
        return self.record.now()

    async def request(
        self,
        entry: Daemon,
        path: str,
        deadline_ms: int,
        body: bytes = b"",
        more_headers: dict[str, str] | None = None,
    ) -> dict[str, Any]:
        """Send one request on a new connection and record its answer."""
        self.sent += 1
        attempt = f"{self.sent:08x}{random.randrange(2**32):08x}"
        headers = {
            "Host": HOST,
            "X-Attempt-Id": attempt,
            "X-Deadline-Ms": str(deadline_ms),
            "Authorization": f"Bearer {KEY}",
        }
        if path.startswith(("/assist", "/facts")):
            part = f"{random.randrange(60):08x}:40,{random.randrange(2**32):08x}:560"
            headers |= {"X-Model": MODEL, "X-Token-Usage": "600,60", "X-Prompt-Prefix-Hash": part}
        headers |= more_headers or {}
        found = {"id": attempt, "path": path, "at": self.record.now(), "status": 0, "whole": False}
        self.answers.append(found)
        self.record.write("sent", id=attempt, path=path, to=entry.name)
        method = "GET" if path.startswith("/check") else "POST"
        timeout = aiohttp.ClientTimeout(total=deadline_ms / 1000, sock_connect=1.0)
        connector = aiohttp.TCPConnector(force_close=True)
        try:
            async with (
                aiohttp.ClientSession(timeout=timeout, connector=connector) as session,
                session.request(
                    method, f"http://{entry.front}{path}", headers=headers, data=body or None
                ) as answer,
            ):
                found["status"] = answer.status
                received = await answer.read()
                found["reason"] = answer.headers.get("X-Reason", "")
                found["whole"] = answer.status == 200 and is_whole(path, attempt, received)
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            found["reason"] = type(error).__name__
        self.record.write(
            "answered", id=attempt, status=found["status"], whole=found["whole"],
            reason=found.get("reason", ""),
        )  # fmt: skip
        return found

    async def traffic(self, path: str, per_second: float, deadline_ms: int) -> None:
        """Send requests evenly to the entry machines in turn until cancelled."""
        due = time.monotonic()
        number = 0
        while True:
            due += 1.0 / per_second
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            entry = self.entries[number % len(self.entries)]
            number += 1
            self.background(self.request(entry, f"{path}{number % 60}", deadline_ms))

    async def resolve(self, zone: str) -> list[Daemon]:
        """Ask up to three machines where to connect, nearest first, as requesters do."""
        near = [entry for entry in self.entries if entry.zone == zone]
        far = [entry for entry in self.entries if entry.zone != zone]
        order = [*random.sample(near, len(near)), *random.sample(far, len(far))]
        timeout = aiohttp.ClientTimeout(total=1.0)
        query = {"name": HOST, "region": ZONES[zone], "zone": zone}
        async with aiohttp.ClientSession(timeout=timeout) as session:
            for entry in order[:3]:
                url = f"http://{entry.ip}:{self.ports['directory']}/resolve"
                with contextlib.suppress(aiohttp.ClientError, TimeoutError, OSError):
                    async with session.get(url, params=query) as answer:
                        if answer.status == 200:
                            named = (await answer.json())["addresses"]
                            return [item for item in self.entries if item.front in named]
        return []

    async def requester(
        self, zone: str, path: str, per_second: float, deadline_ms: int, keep_seconds: float
    ) -> None:
        """Send requests to machines that the directory names, until cancelled."""
        addresses: list[Daemon] = []
        resolved_at = -keep_seconds
        due = time.monotonic() + random.random() / per_second
        while True:
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            due += 1.0 / per_second
            if self.record.now() - resolved_at >= keep_seconds:
                addresses = await self.resolve(zone) or addresses
                resolved_at = self.record.now()
            if addresses:
                entry = random.choice(addresses)
                number = random.randrange(60)
                self.background(self.request(entry, f"{path}{number}", deadline_ms))

    def served_share(self, start: float, end: float, prefix: str = "/") -> tuple[int, int]:
        """Return how many requests sent in a span were served, and how many were sent."""
        chosen = [
            item
            for item in self.answers
            if start <= item["at"] < end and item["path"].startswith(prefix)
        ]
        return sum(item["whole"] for item in chosen), len(chosen)

    async def stop(self) -> None:
        """End all processes and stand-ins."""
        for daemon in (*self.entries, *self.endpoints):
            await daemon.end()
        for task in tuple(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for runner in self.runners:
            await runner.cleanup()
        for server in self.servers:
            server.close()
        for link in self.links.values():
            if link.transport is not None:
                link.transport.close()
        if os.environ.get("KEEP_LOGS") != "1":
            shutil.rmtree(self.folder, ignore_errors=True)


def is_whole(path: str, attempt: str, body: bytes) -> bool:
    """Return True if a body is the whole answer of a sound worker to a request."""
    if not path.startswith("/assist"):
        return body == body_of(attempt)
    return re.findall(rb"id: (\d+)\r?\n", body) == [str(index).encode() for index in range(1, 11)]


async def run_case(folder: Path, case: Callable[[Deployment], Awaitable[list[str]]]) -> int:
    """Run a case and return the exit status of its script.

    Args:
      folder: Folder of the case.
      case: Plays the case; returns what broke the rule, nothing if it held.
    """
    deployment = Deployment(folder)
    try:
        async with asyncio.timeout(115.0):
            faults = await case(deployment)
    except (CouldNotRunError, TimeoutError, OSError) as error:
        deployment.record.write("could-not-run", error=f"{type(error).__name__} {error}")
        print(f"could not run: {type(error).__name__} {error}")
        return COULD_NOT_RUN
    finally:
        await deployment.stop()
    for fault in faults:
        deployment.record.write("BROKEN", fault=fault)
        print(f"broken: {fault}")
    deployment.record.write("result", broken=bool(faults), trouble=TROUBLE)
    print("the rule was broken" if faults else "the rule held")
    return BROKEN if faults else HELD


def main(file: str, case: Callable[[Deployment], Awaitable[list[str]]]) -> None:
    """Run a case as a script."""
    sys.exit(asyncio.run(run_case(Path(file).resolve().parent, case)))


def stored_digests(deployment: Deployment, version: int) -> bytes:
    """Return what the system has stored under keys that end with a version of the model."""
    for key, (value, _, _) in deployment.store.items.items():
        if key.endswith(f"{MODEL}/{version}") and not key.startswith("op/"):
            return value
    return b""


def encoded(value: bytes) -> str:
    """Return bytes as text for the record."""
    return base64.b64encode(value).decode()
