"""Stand-ins and processes for the scripts of the second review.

A deployment on loopback: the daemons of the deploy file as processes of their own, each on an
address that stands for a machine; the project's stand-ins of the store and of the origin; and
workers that follow the users' pages. Nothing here imports the product.
"""

import asyncio
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
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import aiohttp
from aiohttp import web

from standins.platform_backend import PlatformOriginStandIn
from standins.platform_store import PlatformStoreStandIn

ROOT = Path(__file__).resolve().parent.parent
BROKEN, HELD, COULD_NOT_RUN = 1, 0, 2
LONGEST_RUN_SECONDS = 110.0
HOST = "care.example"
KEY = "key-of-one"
MODEL = "model"
CHUNKS = 48
CHUNK_BYTES = 49_152
HEARTBEAT_SECONDS = 1.2
WARM_UP_SECONDS = 0.3
EXCUSED_SECONDS = 3.0
"""A piece that has turned bad less than this before it was taken does not count (WHOLE)."""
ZONES = {"norte-porto": "norte", "centro-coimbra": "centro", "lisboa-oeiras": "lisboa-sul"}
BOUNDS = {
    "grace_period_s": 8,
    "version_ms": 8000,
    "retry_budget_ratio": 0.2,
    "retry_budget_extra": 106,
    "retry_window_s": 10,
}


class CannotRunError(Exception):
    """Raised when a case cannot be played: nothing is known of the rule then."""


class Record:
    """Writes what was sent, answered and run, with the seconds since the start of the case."""

    def __init__(self, path: Path) -> None:
        self.file = path.open("w")
        self.started_at = time.monotonic()

    def write(self, text: str) -> None:
        """Write one line."""
        self.file.write(f"{time.monotonic() - self.started_at:8.3f} {text}\n")
        self.file.flush()


def free_port(taken: set[int]) -> int:
    """Return a port below those of outgoing connections that is free on all loopback addresses."""
    for port in random.SystemRandom().sample(range(12_000, 30_000), 2_000):
        with (
            socket.socket() as probe,
            socket.socket(type=socket.SOCK_DGRAM) as datagrams,
            contextlib.suppress(OSError),
        ):
            probe.bind(("0.0.0.0", port))
            datagrams.bind(("0.0.0.0", port))
            if port not in taken:
                taken.add(port)
                return port
    raise CannotRunError("no free port")


def render(text: str, fields: dict[str, Any]) -> str:
    """Fill in a template of settings as the users' page on the deploy file says."""

    def value_of(name: str, scope: Any) -> Any:
        found = scope
        for part in name.split("."):
            if isinstance(found, list):
                found = found[int(part)] if int(part) < len(found) else None
            else:
                found = found.get(part) if isinstance(found, dict) else None
        return found

    def section(match: re.Match[str]) -> str:
        items = value_of(match[1], fields) or []
        filled = []
        for number, item in enumerate(items):
            body = match[2].replace("{{.|json}}", json.dumps(item)).replace("{{.}}", str(item))
            filled.append(body.replace("{{,}}", "," if number + 1 < len(items) else ""))
        return "".join(filled)

    def placeholder(match: re.Match[str]) -> str:
        value = value_of(match[1], fields)
        if match[2]:
            return json.dumps(value)
        return "" if value is None else str(value)

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, text, flags=re.DOTALL)
    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", placeholder, text)


@dataclass
class Piece:
    """A staged piece; `bad_since` is when it turned bad, None while it is as it was written."""

    body: bytes
    bad_since: float | None = None


@dataclass
class Taken:
    """A piece as an engine took it: its digest, and for how long it had been bad by then."""

    digest: str
    bad_seconds: float


@dataclass
class Worker:
    """A worker of the users' platform: a model worker, or a plain one if `is_model` is False.

    Attributes:
      name: Its id in the store.
      service: Name of its service.
      zone: Its availability zone.
      address: Host and port.
      record: Record of the case.
      digests: Returns the digests of a version's pieces, by which tokens are judged.
      is_model: True for a model worker.
      work_seconds: Time for which a plain worker works on a request.
      events: Events of a stream, and the time between them.
      stage_get_seconds: Time that a sound worker takes to return a staged piece.
      slow_until: Time until which it works `slowness` times as long.
      before_order: Called before an order is accepted; it may take its time.
      on_stage_get: Called with the index of a staged piece that was just returned.
      wrong_tokens: Attempts whose tokens were made with wrong pieces, and which pieces.
    """

    name: str
    service: str
    zone: str
    address: str
    record: Record
    digests: Callable[[int], list[str]] = lambda _: []
    is_model: bool = True
    work_seconds: float = 0.02
    events: int = 10
    event_seconds: float = 0.05
    stage_get_seconds: float = 0.002
    slowness: float = 1.0
    slow_until: float = 0.0
    before_order: Callable[[dict[str, Any]], Awaitable[None]] | None = None
    on_stage_get: Callable[[int], None] | None = None
    on_stage_put: Callable[[int], None] | None = None
    born: int = field(default_factory=lambda: int(time.time() * 1000))
    version: int = 1
    sequence: int = 0
    busy: bool = False
    active: int = 0
    beats: int = 0
    staged: dict[int, Piece] = field(default_factory=dict)
    loaded: dict[int, Taken] = field(default_factory=dict)
    runs: list[str] = field(default_factory=list)
    wrong_tokens: dict[str, list[int]] = field(default_factory=dict)
    loading: set[asyncio.Task[None]] = field(default_factory=set)

    def application(self) -> web.Application:
        """Return its HTTP interface."""
        app = web.Application(client_max_size=8 * 1024 * 1024)
        app.router.add_get("/report", self.report)
        app.router.add_post("/order", self.order)
        app.router.add_put("/stage-put/{model}", self.stage_put)
        app.router.add_get("/stage-get/{model}", self.stage_get)
        app.router.add_get("/healthz", self.health)
        app.router.add_route("*", "/{path:.*}", self.serve)
        return app

    def models(self) -> list[dict[str, Any]]:
        """Return the weights that it holds."""
        if not self.is_model or not self.version:
            return []
        return [{"name": MODEL, "version": self.version, "lora_adapters": []}]

    def registration(self) -> bytes:
        """Return what it writes to the store."""
        self.beats += 1
        body: dict[str, Any] = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 16,
            "state": "ready",
            "cold_remaining_ms": 0,
            "sequence": self.beats,
            "born": self.born,
        }
        if self.is_model:
            body |= {"inference_phase": "prefill_and_decode", "model_list": self.models()}
        return json.dumps(body).encode()

    async def health(self, _: web.Request) -> web.Response:
        """Answer a health probe."""
        return web.Response(headers={"X-Instance-Id": self.name})

    async def report(self, _: web.Request) -> web.Response:
        """Report its state, fresh as on its own machine."""
        return web.json_response(
            {
                "inference_phase": "prefill_and_decode",
                "model_list": self.models(),
                "busy": self.busy,
                "sequence": self.sequence,
                "queued_requests": 0,
                "active_requests": self.active,
                "kv_used_tokens": 0,
                "kv_capacity": 1_180_000,
                "kv_handles": 0,
                "pace": 1,
                "born": self.born,
            }
        )

    async def stage_put(self, request: web.Request) -> web.Response:
        """Stage a piece over an earlier one; it is not checked."""
        index = int(request.query["sample_count"])
        self.staged[index] = Piece(await request.read())
        if self.on_stage_put is not None:
            self.on_stage_put(index)
        return web.Response()

    async def stage_get(self, request: web.Request) -> web.Response:
        """Return a staged piece, or list what is staged."""
        if "sample_count" not in request.query:
            return web.json_response({"held": sorted(self.staged)})
        index = int(request.query["sample_count"])
        slowness = self.slowness if time.monotonic() < self.slow_until else 1.0
        await asyncio.sleep(self.stage_get_seconds * slowness)
        piece = self.staged.get(index)
        if self.on_stage_get is not None:
            self.on_stage_get(index)
        return web.Response(status=404) if piece is None else web.Response(body=piece.body)

    def spoil(self, indexes: list[int]) -> None:
        """Turn staged pieces bad, as memory that rots does."""
        for index in indexes:
            body = self.staged[index].body
            self.staged[index] = Piece(bytes([body[0] ^ 255]) + body[1:], time.monotonic())
        self.record.write(f"{self.name}: pieces {indexes} that lie staged turn bad")

    async def order(self, request: web.Request) -> web.Response:
        """Accept an order, or refuse it as the pages say, also if its sender has left meanwhile."""
        order = await request.json()
        self.record.write(f"{self.name}: order {json.dumps(order)} arrives")
        return web.Response(status=await asyncio.shield(self.handle_order(order)))

    async def handle_order(self, order: dict[str, Any]) -> int:
        """Accept or refuse an order, and return the status of the answer."""
        if self.before_order is not None:
            await self.before_order(order)
        status = self.accept(order)
        self.record.write(f"{self.name}: order of version {order.get('version')} gets {status}")
        return status

    def accept(self, order: dict[str, Any]) -> int:
        """Return the status of an order; the staged pieces are taken as they are now."""
        if order.get("operation") != "start" or order.get("model_name") != MODEL:
            return 400
        if self.busy or order.get("precondition", self.sequence) != self.sequence:
            return 409
        if order["version"] == self.version:
            return 200
        now = time.monotonic()
        taken = {
            index: Taken(
                hashlib.sha256(piece.body).hexdigest(),
                0.0 if piece.bad_since is None else now - piece.bad_since,
            )
            for index, piece in self.staged.items()
        }
        self.sequence += 1
        self.busy = True
        task = asyncio.create_task(self.load(order["version"], taken))
        self.loading.add(task)
        task.add_done_callback(self.loading.discard)
        return 202

    async def load(self, version: int, taken: dict[int, Taken]) -> None:
        """Load what was taken once the running requests have ended."""
        while self.active:
            await asyncio.sleep(0.01)
        await asyncio.sleep(WARM_UP_SECONDS)
        self.version, self.loaded, self.busy = version, taken, False
        self.record.write(f"{self.name}: holds version {version}; wrong pieces: {self.wrong()}")

    def wrong(self) -> list[int]:
        """Return the pieces of the loaded weights that were missing, spoilt or of another version.

        One that had turned bad less than `EXCUSED_SECONDS` before it was taken is left out.
        """
        if not self.loaded:
            return []
        wanted = self.digests(self.version)
        wrong = []
        for index, digest in enumerate(wanted):
            piece = self.loaded.get(index)
            is_right = piece is not None and piece.digest == digest
            is_excused = piece is not None and 0 < piece.bad_seconds < EXCUSED_SECONDS
            if not is_right and not is_excused:
                wrong.append(index)
        return wrong

    async def serve(self, request: web.Request) -> web.StreamResponse:
        """Run a request."""
        attempt = request.headers.get("X-Attempt-Id", "")
        if not attempt:
            return web.Response(status=400, headers={"X-Not-Executed": "1"})
        echo = {"X-Attempt-Id": attempt}
        expected = request.headers.get("X-Expect-Instance", self.name)
        version = request.headers.get("X-Expect-Version", str(self.version))
        if expected != self.name or (self.is_model and version != str(self.version)):
            return web.Response(status=421, headers=echo)
        if self.busy:
            return web.Response(status=503, headers={**echo, "X-Not-Executed": "1"})
        await request.read()
        self.active += 1
        self.runs.append(attempt)
        self.record.write(f"{self.name}: runs {attempt}")
        try:
            answer = await self.run(request, attempt, echo)
        except (asyncio.CancelledError, ConnectionError):
            self.record.write(f"{self.name}: {attempt} was cut off while it ran")
            raise
        finally:
            self.active -= 1
        self.record.write(f"{self.name}: has answered {attempt}")
        return answer

    async def run(
        self, request: web.Request, attempt: str, echo: dict[str, str]
    ) -> web.StreamResponse:
        """Work on a request and answer it."""
        headers = {**echo, "X-Server-Signature": f"{self.name}.{attempt}"}
        if not self.is_model:
            await asyncio.sleep(self.work_seconds)
            return web.Response(headers=headers, body=f"{self.name} ran {attempt}".encode())
        wrong = self.wrong()
        if wrong:
            self.wrong_tokens[attempt] = wrong
        headers |= {"Content-Type": "text/event-stream", "X-Weight-Versions": str(self.version)}
        response = web.StreamResponse(headers=headers)
        await response.prepare(request)
        first = int(request.headers.get("Last-Event-Id") or 0) + 1
        for number in range(first, self.events + 1):
            await response.write(f"id: {number}\ndata: piece {number}\n\n".encode())
            await asyncio.sleep(self.event_seconds)
        await response.write_eof()
        return response


@dataclass
class Daemon:
    """A daemon of the deploy file on a machine of its own.

    Attributes:
      name: Name of the machine.
      host: Its address.
      fields: Settings of the platform, with which the template is filled in.
      template: Template of its role.
      words: Words of the command.
      folder: Folder of its settings and its log.
    """

    name: str
    host: str
    fields: dict[str, Any]
    template: str
    words: list[str]
    folder: Path
    process: asyncio.subprocess.Process | None = None

    def write_settings(self) -> None:
        """Write the settings file anew, at once."""
        path = self.folder / f"{self.name}.settings"
        path.with_suffix(".new").write_text(render(self.template, self.fields))
        path.with_suffix(".new").replace(path)

    async def start(self) -> None:
        """Start the process with the command of the deploy file."""
        self.write_settings()
        environment = {name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ}
        environment |= {
            "VERBENAWARD_BOOT": str(self.folder / f"{self.name}.settings"),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        with (self.folder / f"{self.name}.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *self.words, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def send(self, number: signal.Signals) -> None:
        """Send the process a signal."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def end(self) -> None:
        """Kill the process if it still runs, and wait for its end."""
        if self.process is not None:
            self.send(signal.SIGCONT)
            self.send(signal.SIGKILL)
            await self.process.wait()

    @property
    def front(self) -> str:
        """Return the address for requesters."""
        return str(self.fields["listeners_config"]["front_http"])

    def log(self, event: str) -> list[dict[str, Any]]:
        """Return the lines of its log about an event."""
        lines = (self.folder / f"{self.name}.log").read_text().splitlines()
        return [json.loads(line) for line in lines if f'"event": "{event}"' in line]


class Deployment:
    """The stand-ins and the daemons of a case.

    Attributes:
      record: Record of the case.
      store: The platform's store.
      origin: The origin of weights.
      workers: The workers.
      daemons: The daemons.
      routes: Routes of the configuration.
      bounds: Bounds in the settings of the daemons.
    """

    def __init__(self, record: Record) -> None:
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="review-2-"))
        self.store = PlatformStoreStandIn()
        self.store.era = 0
        self.origin = PlatformOriginStandIn()
        self.origin.megabits_per_second = 15.0
        self.workers: list[Worker] = []
        self.daemons: list[Daemon] = []
        self.runners: list[web.AppRunner] = []
        self.tasks: list[asyncio.Task[None]] = []
        self.routes: list[dict[str, Any]] = []
        self.bounds: dict[str, Any] = dict(BOUNDS)
        taken: set[int] = set()
        names = ("control", "internal", "front", "readiness", "directory", "store", "app")
        self.ports = {name: free_port(taken) for name in names}
        self.hosts = 0
        self.net = random.SystemRandom().randrange(20, 250)
        self.version = 0
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self.roles = {role["on"]: role for role in deploy["roles"].values()}
        self.seeds: list[str] = []

    def next_host(self) -> str:
        """Return the address of another machine."""
        self.hosts += 1
        return f"127.0.{self.net}.{self.hosts}"

    async def listen(self, app: web.Application, host: str, port: int) -> None:
        """Serve an application until the end of the case."""
        runner = web.AppRunner(
            app, access_log=None, handler_cancellation=True, shutdown_timeout=0.1
        )
        await runner.setup()
        await web.TCPSite(runner, host, port, backlog=512).start()
        self.runners.append(runner)

    async def start_platform(self) -> None:
        """Start the store and the origin."""
        self.store_host, self.origin_host = self.next_host(), self.next_host()
        await self.listen(self.store.application(), self.store_host, self.ports["store"])
        self.origin.address = f"{self.origin_host}:{self.ports['app']}"
        self.origin.add_version(1, CHUNKS, CHUNK_BYTES)
        await self.listen(self.origin.application(), self.origin_host, self.ports["app"])

    def digests(self, version: int) -> list[str]:
        """Return the digests of the pieces of a version."""
        return [hashlib.sha256(piece).hexdigest() for piece in self.origin.versions[version]]

    async def add_worker(
        self, name: str, zone: str, is_model: bool = True, kind: type[Worker] = Worker
    ) -> Worker:
        """Start a worker and register it."""
        address = f"{self.next_host()}:{self.ports['app']}"
        service = "assist" if is_model else "core"
        worker = kind(name, service, zone, address, self.record, self.digests, is_model)
        if is_model:
            worker.staged = {i: Piece(body) for i, body in enumerate(self.origin.versions[1])}
        host, _, port = address.rpartition(":")
        await self.listen(worker.application(), host, int(port))
        self.workers.append(worker)
        self.tasks.append(asyncio.create_task(self.beat(worker)))
        return worker

    async def beat(self, worker: Worker) -> None:
        """Write the registration of a worker again and again."""
        shown: list[dict[str, Any]] | None = None
        written_at = 0.0
        while True:
            now = time.monotonic()
            if shown != worker.models() or now - written_at > HEARTBEAT_SECONDS:
                shown, written_at = worker.models(), now
                self.store.put(f"servers/{worker.name}", worker.registration())
            await asyncio.sleep(0.1)

    def configure(self) -> None:
        """Write a configuration under a higher version, as the operator does."""
        self.version += 3
        engine = {
            "slots": 16,
            "step_ms": 8.87,
            "per_seq_ms": 0.0388,
            "context_per_k": 0.0227,
            "read_per_s": 19_100.0,
            "pairs_per_m": 1.47,
            "chunk": 2048,
            "step_size": 5,
            "model_list": [{"name": MODEL}],
            "usual": {"prompt": 900, "answer": 90},
            "chunk_count": CHUNKS,
            "chunk_size_bytes": CHUNK_BYTES,
        }
        body = {
            "version": self.version,
            "routes": [{"hostname": HOST, "priority": 1, **route} for route in self.routes],
            "services": [
                {"name": "core", "health_path": "/healthz", "connection_limit": 110},
                {"name": "web", "health_path": "/healthz", "connection_limit": 48},
                {
                    "name": "assist",
                    "health_path": "/healthz",
                    "connection_limit": 374,
                    "inference_engine": engine,
                },
                {"name": "portal", "origin_server": self.origin.address, "zone": "lisboa-oeiras"},
            ],
            "limits": {
                "max_header_bytes": 16_384,
                "max_body_bytes": 4_194_304,
                "header_timeout_ms": 10_000,
                "idle_timeout_ms": 15_000,
            },
            "tenants": [{"name": "one", "api_keys": [KEY]}],
        }
        self.store.put("op/config", json.dumps(body).encode())

    def name_version(self, version: int) -> None:
        """Name new weights, as the operator does; the origin has them from now on."""
        self.origin.add_version(version, CHUNKS, CHUNK_BYTES)
        body = {"model_name": MODEL, "version": version}
        self.store.put(f"op/version/{MODEL}", json.dumps(body).encode())
        self.record.write(f"operator: names version {version} of the weights; acknowledged")

    def daemon(self, on: str, name: str, zone: str, host: str, **fields: Any) -> Daemon:
        """Return a daemon of the role for a class of machines, not started yet."""
        role = self.roles[on]
        ports = self.ports
        listeners = {
            "front_http": f"{host}:{ports['front']}",
            "readiness": f"{host}:{ports['readiness']}",
            "control_plane": f"{host}:{ports['control']}",
            "directory_service": f"{host}:{ports['directory']}",
        }
        filled = {
            "node_name": name,
            "machine_class": on,
            "ip": host,
            "zone": zone,
            "region": ZONES[zone],
            "internal_port_range": [ports["internal"], ports["internal"]],
            "seed_nodes": self.seeds,
            "zones": ZONES,
            "listeners_config": listeners if on == "edge" else {},
            "limits": {"memory_mb": 300 if on == "edge" else 168, "link_mbps": 4.7},
            "bounds": dict(self.bounds),
            "platform": {"address": f"{self.store_host}:{ports['store']}"},
            **fields,
        }
        template = (ROOT / role["template"]).read_text()
        made = Daemon(name, host, filled, template, role["run"].split(), self.folder)
        self.daemons.append(made)
        return made

    async def start_entries(self, zones: list[str]) -> list[Daemon]:
        """Start an entry process in each of some zones, and wait until all are ready."""
        hosts = [self.next_host() for _ in zones]
        self.seeds = [f"{host}:{self.ports['control']}" for host in hosts[:3]]
        entries = [
            self.daemon("edge", f"edge-{zone}-{number}", zone, host)
            for number, (zone, host) in enumerate(zip(zones, hosts, strict=True), 1)
        ]
        for entry in entries:
            await entry.start()
        for entry in entries:
            await self.wait_until_ready(entry)
        return entries

    async def start_endpoint(self, worker: Worker) -> Daemon:
        """Start the endpoint process on the machine of a model worker."""
        host = worker.address.rpartition(":")[0]
        endpoint = self.daemon(
            "side", f"side-{worker.name}", worker.zone, host, app=worker.address, service="assist"
        )
        await endpoint.start()
        return endpoint

    async def wait_until_ready(self, daemon: Daemon, seconds: float = 15.0) -> None:
        """Wait until a daemon says that it is ready."""
        url = f"http://{daemon.fields['listeners_config']['readiness']}/readyz"
        ends_at = time.monotonic() + seconds
        async with aiohttp.ClientSession() as session:
            while time.monotonic() < ends_at:
                with contextlib.suppress(aiohttp.ClientError, OSError):
                    async with session.get(url) as answer:
                        if answer.status == 200:
                            self.record.write(f"{daemon.name}: is ready")
                            return
                await asyncio.sleep(0.1)
        raise CannotRunError(f"{daemon.name} was not ready in time")

    async def stop(self) -> None:
        """End all processes, stop all stand-ins and remove the temporary folder."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*(daemon.end() for daemon in self.daemons), return_exceptions=True)
        for runner in self.runners:
            await runner.cleanup()
        if not os.environ.get("KEEP"):
            shutil.rmtree(self.folder, ignore_errors=True)


@dataclass
class Outcome:
    """How a requester's attempt ended.

    Attributes:
      status: Status of the answer; 0 if there was none.
      is_whole: True if the answer is complete.
      seconds: Time that it took.
      error: Why the connection ended without a complete answer.
    """

    status: int
    is_whole: bool
    seconds: float
    error: str = ""


async def ask(
    record: Record, address: str, path: str, attempt: str, deadline_ms: int, **headers: str
) -> Outcome:
    """Send a request as a requester on a connection of its own, and read the whole answer."""
    sent = {
        "Host": HOST,
        "X-Attempt-Id": attempt,
        "X-Deadline-Ms": str(deadline_ms),
        "Authorization": f"Bearer {KEY}",
        **headers,
    }
    began = time.monotonic()
    status, is_whole, error = 0, False, ""
    record.write(f"requester: sends {attempt} ({path}) to {address}")
    timeout = aiohttp.ClientTimeout(total=deadline_ms / 1000)
    try:
        async with (
            aiohttp.ClientSession(timeout=timeout) as session,
            session.post(f"http://{address}{path}", headers=sent, data=b"x") as answer,
        ):
            status = answer.status
            await answer.read()
            is_whole = True
    except (aiohttp.ClientError, OSError, asyncio.TimeoutError) as failure:
        error = f"{type(failure).__name__} {failure}"
    outcome = Outcome(status, is_whole, time.monotonic() - began, error)
    record.write(
        f"requester: {attempt} ends after {outcome.seconds:.3f} s: status {status}, "
        f"whole {is_whole} {error}"
    )
    return outcome


def run_case(play: Callable[[Deployment, bool], Awaitable[int]], script: str) -> None:
    """Play a case, and exit with its result; `TROUBLE=0` leaves the disruption out."""
    record = Record(Path(script).resolve().parent / "record.txt")
    is_troubled = os.environ.get("TROUBLE") != "0"

    async def main() -> int:
        deployment = Deployment(record)
        played = asyncio.current_task()
        assert played is not None
        # A script that is told to stop ends its processes first.
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, played.cancel)
        try:
            async with asyncio.timeout(LONGEST_RUN_SECONDS):
                await deployment.start_platform()
                return await play(deployment, is_troubled)
        except (Exception, asyncio.CancelledError) as error:
            record.write(f"the case could not run: {type(error).__name__} {error}")
            return COULD_NOT_RUN
        finally:
            await deployment.stop()

    result = asyncio.run(main())
    names = {BROKEN: "the rule was broken", HELD: "the rule held", COULD_NOT_RUN: "could not run"}
    record.write(f"result: {names[result]}")
    print(names[result])
    sys.exit(result)
