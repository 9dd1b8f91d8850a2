"""Stand-in for the users' platform on loopback.

Its store, origin and backends, and the entry and endpoint processes of Verbenaward all run in one
event loop.
"""

import contextlib
import itertools
import json
import random
import socket
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import aiohttp
from aiohttp import web

from verbenaward.direct.role import DirectEntryRole
from verbenaward.schema.settings import DirectSettings, PlatformSettings, Settings
from verbenaward.weight_loading.role import WeightLoadingRole

from .narrow_link import NarrowLinkStandIn
from .platform_backend import PlatformBackendStandIn, PlatformOriginStandIn
from .platform_store import PlatformStoreStandIn

CALLER_HOST = "shop.example"
"""Host header of callers."""
API_KEY = "key-of-one"
"""API key of workspace "one"."""
ZONES = {"zone-a": "region-a", "zone-b": "region-b"}
"""Regions by availability zone."""
OUTGOING_PORTS = Path("/proc/sys/net/ipv4/ip_local_port_range")
FIRST_LISTENER_PORT = 10_000
"""First port of listeners; well-known services have lower ones."""
CHUNKS = 6
"""Chunks in a version of the weights."""
CHUNK_BYTES = 3000


def first_outgoing_port() -> int:
    """Return the first port that the system may give to an outgoing connection."""
    return int(OUTGOING_PORTS.read_text().split()[0])


def listener_ports() -> Iterator[int]:
    """Yield the ports that listeners may use, again and again, from a random one on."""
    ports = range(FIRST_LISTENER_PORT, first_outgoing_port())
    start = random.SystemRandom().randrange(len(ports))
    return itertools.cycle((*ports[start:], *ports[:start]))


LISTENER_PORTS = listener_ports()


def free_address(host: str = "127.0.0.1") -> str:
    """Return an address on a host with a port that is free at the moment of the call.

    No outgoing connection can take the port before it is listened at.
    """
    for port in LISTENER_PORTS:
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind((host, port))
            return f"{host}:{port}"
    raise AssertionError


async def open_site(runner: web.AppRunner, address: str) -> web.TCPSite:
    """Have a server listen at an address."""
    host, _, port = address.rpartition(":")
    site = web.TCPSite(runner, host, int(port), reuse_address=True)
    await site.start()
    return site


class PlatformStandIn:
    """A running platform with the entry and endpoint processes under test.

    Attributes:
      store: Key-value store.
      origin: Origin of weights.
      backends: Backends by identity.
      entries: Entry processes.
      endpoints: Endpoint processes.
      runners: Servers of the stand-ins.
      store_address: Host and port of the store.
      configuration_version: Version of the last written configuration.
      route_overrides: Fields to override by route name; None leaves the route out.
      api_keys: API keys of the workspace in the configuration.
      workspace_fields: Further fields of that workspace.
      max_body_bytes: Longest body of a request, in the configuration.
      direct_settings: Further fields of DirectSettings for processes that start later.
      control_port: Port of the control messages, the same on the host of each process.
      entry_megabits: Link of entry processes that start later, in Mbit/s; 0 for no limit.
      links: Their links.
      host_count: Number of loopback hosts given out.
    """

    def __init__(self) -> None:
        self.store = PlatformStoreStandIn()
        self.origin = PlatformOriginStandIn()
        self.backends: dict[str, PlatformBackendStandIn] = {}
        self.entries: list[DirectEntryRole] = []
        self.endpoints: list[WeightLoadingRole] = []
        self.runners: list[web.AppRunner] = []
        self.store_address = free_address()
        self.configuration_version = 0
        self.route_overrides: dict[str, dict[str, Any]] = {}
        self.api_keys = [API_KEY]
        self.workspace_fields: dict[str, Any] = {}
        self.max_body_bytes = 100_000
        self.direct_settings: dict[str, Any] = {}
        self.control_port = free_address("0.0.0.0").rpartition(":")[2]
        self.host_count = 0
        self.entry_megabits = 0.0
        self.links: list[NarrowLinkStandIn] = []

    def next_host(self) -> str:
        """Return an unused loopback host, which stands for another VM."""
        self.host_count += 1
        return f"127.0.1.{self.host_count}"

    async def start(self) -> None:
        """Start the store and the origin with version 1 of the weights."""
        await self.listen(self.store.application(), self.store_address)
        self.origin.add_version(1, CHUNKS, CHUNK_BYTES)
        self.origin.address = free_address()
        await self.listen(self.origin.application(), self.origin.address)

    async def listen(self, app: web.Application, address: str) -> web.AppRunner:
        """Serve an application at an address until the platform stops, and return its server."""
        runner = web.AppRunner(
            app, access_log=None, handler_cancellation=True, shutdown_timeout=0.1
        )
        await runner.setup()
        await open_site(runner, address)
        self.runners.append(runner)
        return runner

    async def add_backend(
        self, identity: str, service: str, zone: str = "zone-a", version: int = 1
    ) -> PlatformBackendStandIn:
        """Start a backend on a host of its own and register it."""
        backend = PlatformBackendStandIn(identity, service, zone, version)
        backend.address = free_address(self.next_host())
        runner = await self.listen(backend.application(), backend.address)
        (backend.site,) = runner.sites
        backend.open_site = lambda: self.reopen(backend, runner)
        self.backends[identity] = backend
        self.register(backend)
        return backend

    async def reopen(self, backend: PlatformBackendStandIn, runner: web.AppRunner) -> web.TCPSite:
        """Have a backend that has started again listen, and register it under its old id."""
        backend.born_unix_ms += 1
        site = await open_site(runner, backend.address)
        self.register(backend)
        return site

    def register(self, backend: PlatformBackendStandIn, state: str = "ready") -> None:
        """Write the registration of a backend to the store."""
        self.store.put(f"servers/{backend.identity}", backend.registration(state))

    def write_configuration(self) -> None:
        """Write the configuration to the store under a higher version."""
        # The step is above 1, as versions need not be consecutive.
        self.configuration_version += 3
        self.store.put("op/config", json.dumps(self.configuration()).encode())

    def configuration(self) -> dict[str, Any]:
        """Build the configuration in the form that the platform stores."""
        routes = {
            "book": {"path_prefix": "/book/", "kind": "non_idempotent", "service": "plain"},
            "look": {
                "path_prefix": "/look/",
                "kind": "idempotent",
                "service": "plain",
                "max_attempts": 2,
            },
            "stream": {
                "path_prefix": "/stream/",
                "kind": "streaming",
                "service": "engines",
                "max_attempts": 2,
                "stream_resumption": True,
                "gap_target_ms": 400,
            },
            "once": {"path_prefix": "/stream/once/", "kind": "streaming", "service": "engines"},
        }
        common = {
            "hostname": CALLER_HOST,
            "timeout_ms": 4000,
            "target_latency_ms": 500,
            "priority": 1,
        }
        engine = {
            "slots": 4,
            "step_ms": 8.0,
            "per_seq_ms": 0.04,
            "read_per_s": 19000.0,
            "step_size": 5,
            "model_list": [{"name": "model"}],
            "usual": {"prompt": 900, "answer": 90},
            "chunk_count": CHUNKS,
            "chunk_size_bytes": CHUNK_BYTES,
        }
        return {
            "version": self.configuration_version,
            "routes": [
                {"name": name, **common, **route, **self.route_overrides.get(name, {})}
                for name, route in routes.items()
                if self.route_overrides.get(name, {}) is not None
            ],
            "services": [
                {"name": "plain", "health_path": "/healthz", "connection_limit": 50},
                {"name": "engines", "health_path": "/healthz", "inference_engine": engine},
                {"name": "files", "origin_server": self.origin.address, "zone": "zone-a"},
            ],
            "limits": {"max_body_bytes": self.max_body_bytes, "idle_timeout_ms": 15_000},
            "tenants": [
                {"name": "one", "api_keys": self.api_keys, "priority": 1, **self.workspace_fields}
            ],
        }

    async def add_entry(self, zone: str = "zone-a") -> DirectEntryRole:
        """Start an entry process in this event loop."""
        settings = Settings(
            format=1,
            role="entry",
            vm=f"entry-{len(self.entries)}",
            region=ZONES[zone],
            zone=zone,
            listen=f"{self.next_host()}:{self.control_port}",
            platform=PlatformSettings(f"http://{self.store_address}", "leased"),
            direct=DirectSettings(
                front=free_address(),
                readiness=free_address(),
                directory=free_address(),
                zones=ZONES,
                pulse_bytes_per_second=100_000,
                **self.direct_settings,
            ),
        )
        assert settings.direct is not None
        role = DirectEntryRole(settings, settings.direct)
        if self.entry_megabits:
            await self.open_narrow_link(role)
        await role.start()
        self.entries.append(role)
        return role

    async def open_narrow_link(self, role: DirectEntryRole) -> None:
        """Have other processes reach an entry process over a narrow link only."""
        control, inner = role.settings.listen, free_address()
        link = NarrowLinkStandIn(inner, self.entry_megabits)
        await link.open(control)
        self.links.append(link)
        listen = role.listen

        async def listen_behind(address: str, *arguments: Any) -> None:
            await listen(inner if address == control else address, *arguments)

        role.listen = listen_behind  # type: ignore[method-assign]

    async def add_endpoint(
        self, backend: PlatformBackendStandIn, link_megabits: float = 20.0
    ) -> WeightLoadingRole:
        """Start an endpoint process on the host of a backend, in this event loop."""
        settings = Settings(
            format=1,
            role="endpoint",
            vm=f"endpoint-{backend.identity}",
            region=ZONES[backend.zone],
            zone=backend.zone,
            listen=f"{backend.address.rpartition(':')[0]}:{self.control_port}",
            platform=PlatformSettings(f"http://{self.store_address}", "leased"),
            direct=DirectSettings(
                engine=backend.address,
                service=backend.service,
                zones=ZONES,
                link_megabits_per_second=link_megabits,
                **self.direct_settings,
            ),
        )
        assert settings.direct is not None
        role = WeightLoadingRole(settings, settings.direct)
        await role.start()
        self.endpoints.append(role)
        return role

    async def stop(self) -> None:
        """Stop the entry and endpoint processes, then all servers."""
        for role in (*self.entries, *self.endpoints):
            await role.close()
        for backend in self.backends.values():
            if backend.restarting is not None:
                backend.restarting.cancel()
        for link in self.links:
            await link.close()
        for runner in self.runners:
            await runner.cleanup()


async def send_request(
    session: aiohttp.ClientSession,
    address: str,
    path: str,
    attempt: str,
    headers: dict[str, str] | None = None,
    body: bytes = b"",
    method: str = "",
) -> tuple[int, dict[str, str], bytes]:
    """Send a request as a caller, by default with the method that is usual for its path.

    Returns:
      Status, headers and body; status 0 if the connection ended without a complete response.
    """
    method = method or ("POST" if path.startswith(("/book", "/stream")) else "GET")
    sent = {
        "Host": CALLER_HOST,
        "X-Attempt-Id": attempt,
        "X-Deadline-Ms": "3000",
        "Authorization": f"Bearer {API_KEY}",
        **({"X-Model": "model", "X-Token-Usage": "300,60"} if "/stream" in path else {}),
        **(headers or {}),
    }
    try:
        async with session.request(
            method, f"http://{address}{path}", headers=sent, data=body or None
        ) as response:
            return response.status, dict(response.headers), await response.read()
    except (aiohttp.ClientError, OSError):
        return 0, {}, b""
