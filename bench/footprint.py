"""Benchmark `footprint`: resources that one daemon spends on control traffic, by fleet size.

One real daemon runs. All others are fakes in this process, which send heartbeats to it and
answer its messages as real ones do. A line is fitted to the figures over the fleet sizes.
"""

import argparse
import asyncio
import tempfile
import time
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import aiohttp
from aiohttp import web

from verbenaward.configuration.store import encode_configuration
from verbenaward.data import EMPTY_CONFIGURATION
from verbenaward.membership.ring import Ring
from verbenaward.schema.messages import (
    Acknowledgement,
    ConfigurationOffer,
    ConfigurationQuery,
    DirectoryBuckets,
    DirectorySummary,
    Gossip,
    Heartbeat,
    HeartbeatReply,
    Member,
    MemberKind,
    ShortHeartbeat,
)
from verbenaward.wire.rpc import ControlServer, call

from .cluster import Cluster, ClusterPlan
from .models import make_version, manifest_of
from .operations import apply_or_fail
from .process_usage import cpu_seconds, resident_mebibytes
from .registry import BENCHES

FAKE_PORT = 7600
WARM_UP_SECONDS = 4.0
REGISTRARS = 3
"""Entry processes that each other process sends its heartbeats to."""
DESIGN_ENTRIES = 370
"""Entry processes of the largest planned fleet."""
DESIGN_ENDPOINTS = 600
"""Endpoint processes of the largest planned fleet."""
FLEET_SHARES = (0.1, 0.4, 0.7, 1.0)
"""Measured fleet sizes, as shares of the chosen one."""


@dataclass(frozen=True, slots=True)
class Measurement:
    """Resource use of one daemon at one fleet size; its fields are keys of the JSON output.

    Attributes:
      daemons: Number of entry processes.
      workers: Number of endpoint processes.
      cpu_core_fraction: Used share of one CPU core.
      rss_mb: Resident memory, in MiB.
      control_bytes_per_second: Rate of control traffic.
      control_messages_per_second: Rate of control messages.
    """

    daemons: int
    workers: int
    cpu_core_fraction: float
    rss_mb: float
    control_bytes_per_second: float
    control_messages_per_second: float


def parse(arguments: Sequence[str]) -> argparse.Namespace:
    """Return the options of the benchmark."""
    parser = argparse.ArgumentParser(prog="python -m bench footprint")
    parser.add_argument("--role", choices=("entry", "endpoint"), default="entry")
    parser.add_argument("--workers", type=int, default=DESIGN_ENDPOINTS)
    parser.add_argument("--daemons", type=int, default=DESIGN_ENTRIES)
    parser.add_argument("--seconds", type=float, default=6.0)
    parser.add_argument("--heartbeat", type=float, default=1.0)
    return parser.parse_args(arguments)


@BENCHES.register("footprint")
async def bench_footprint(arguments: Sequence[str]) -> dict[str, Any]:
    """Measure one daemon at several fleet sizes and fit a line to each figure."""
    options = parse(arguments)
    readings = []
    for share in FLEET_SHARES:
        daemons = max(4, round(options.daemons * share))
        workers = max(4, round(options.workers * share))
        readings.append(await measure_at_size(options, daemons, workers))
    largest = readings[-1]
    return {
        "role": options.role,
        "workers": options.workers,
        "daemons": options.daemons,
        "heartbeat_seconds": options.heartbeat,
        "cpu_core_fraction": largest.cpu_core_fraction,
        "rss_mb": largest.rss_mb,
        "control_bytes_per_second": largest.control_bytes_per_second,
        "control_messages_per_second": largest.control_messages_per_second,
        "slopes_per_process": fit_slopes(readings),
        "readings": [
            {name: getattr(item, name) for name in Measurement.__dataclass_fields__}
            for item in readings
        ],
    }


def fit_slopes(readings: list[Measurement]) -> dict[str, dict[str, float]]:
    """Return slope, intercept and largest error of the fitted line of each figure."""
    sizes = [item.daemons + item.workers for item in readings]
    result = {}
    for name in ("cpu_core_fraction", "rss_mb", "control_bytes_per_second"):
        values = [getattr(item, name) for item in readings]
        slope, intercept = fit_line(sizes, values)
        error = max(
            abs(intercept + slope * size - value) for size, value in zip(sizes, values, strict=True)
        )
        result[name] = {
            "slope": round(slope, 8),
            "start": round(intercept, 5),
            "largest_error": round(error, 5),
        }
    return result


def fit_line(sizes: list[int], values: list[float]) -> tuple[float, float]:
    """Return slope and intercept of the least-squares line."""
    mean_size, mean_value = sum(sizes) / len(sizes), sum(values) / len(values)
    squares = sum((size - mean_size) ** 2 for size in sizes)
    slope = (
        sum(
            (size - mean_size) * (value - mean_value)
            for size, value in zip(sizes, values, strict=True)
        )
        / squares
    )
    return slope, mean_value - slope * mean_size


async def measure_at_size(options: argparse.Namespace, daemons: int, workers: int) -> Measurement:
    """Start a fleet of one size and measure its real daemon."""
    with tempfile.TemporaryDirectory(prefix="verbenaward-origin-") as name:
        origin = Path(name)
        version = make_version(origin, "v1", 65536, 1)
        is_entry = options.role == "entry"
        plan = ClusterPlan(
            entries=1 if is_entry else 0,
            engines=0 if is_entry else 1,
            regions=2,
            origin_folder=origin,
            membership={
                "heartbeat_seconds": options.heartbeat,
                "suspect_seconds": 3.5 * options.heartbeat,
            },
            log_level="warning",
        )
        cluster = Cluster(plan)
        fleet = FakeFleet(cluster, daemons, workers, options)
        try:
            await fleet.start()
            await cluster.start()
            await apply_or_fail(cluster, manifest_of(version))
            return await fleet.measure()
        finally:
            await fleet.stop()
            await cluster.stop()


class FakeFleet:
    """All processes of a fleet but the measured one, simulated in this process.

    Attributes:
      members: Membership records of the fakes.
      target: VM of the real daemon.
      sequence: Sequence number that the fakes report as registrars.
    """

    def __init__(
        self, cluster: Cluster, daemons: int, workers: int, options: argparse.Namespace
    ) -> None:
        self.cluster = cluster
        self.options = options
        self.target = "entry-0" if options.role == "entry" else "engine-0"
        self.daemons, self.workers = daemons, workers
        fake_entries = daemons - (options.role == "entry")
        fake_workers = workers - (options.role == "endpoint")
        self.members = [self.fake_member(index, MemberKind.ENTRY) for index in range(fake_entries)]
        self.members += [
            self.fake_member(index, MemberKind.ENDPOINT) for index in range(fake_workers)
        ]
        self.session = aiohttp.ClientSession()
        self.tasks: list[asyncio.Task[None]] = []
        self.sequence = 1

    def fake_member(self, index: int, kind: MemberKind) -> Member:
        """Return the membership record of one fake."""
        subnet = {MemberKind.ENTRY: 10, MemberKind.ENDPOINT: 20}[kind] + index // 250
        address = f"127.{self.cluster.network}.{subnet}.{index % 250 + 1}:{FAKE_PORT}"
        return Member(
            vm=f"vm-{kind.value}-{index:04}",
            kind=kind,
            role="" if kind is MemberKind.ENTRY else "assistant",
            region=f"region-{index % 2}",
            zone=f"zone-{index % 6}",
            address=address,
            incarnation=1_700_000_000_000_000 + index,
            version=1,
            revision=1,
            release=b"" if kind is MemberKind.ENTRY else b"\x07" * 32,
        )

    async def start(self) -> None:
        """Serve all fakes from one server, and make the first entry ones seeds of the daemon."""
        server = ControlServer()
        server.handle(Heartbeat, self.answer_heartbeat)
        server.handle(ShortHeartbeat, self.answer_short_heartbeat)
        server.handle(Gossip, self.acknowledge)
        server.handle(ConfigurationOffer, self.acknowledge)
        server.handle(DirectorySummary, self.answer_summary)
        server.handle(ConfigurationQuery, self.answer_query)
        app = web.Application()
        server.add_routes(app)
        self.runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
        await self.runner.setup()
        await web.TCPSite(self.runner, "0.0.0.0", FAKE_PORT, backlog=2048).start()
        seeds = [item.address for item in self.members if item.kind is MemberKind.ENTRY][:3]
        original = self.cluster.settings_of

        def with_seeds(vm: str) -> dict[str, Any]:
            return {**original(vm), "seeds": seeds}

        self.cluster.settings_of = with_seeds  # type: ignore[method-assign]

    async def measure(self) -> Measurement:
        """Start the traffic of the fakes and measure the daemon under it."""
        await self.announce_members()
        entries = [item.vm for item in self.members if item.kind is MemberKind.ENTRY]
        if self.options.role == "entry":
            ring = Ring([*entries, self.target])
            reporting = [item for item in self.members if self.reports_to_target(ring, item)]
            self.tasks = [asyncio.create_task(self.keep_heartbeating(item)) for item in reporting]
            self.tasks.append(asyncio.create_task(self.keep_sending_summaries()))
        await asyncio.sleep(WARM_UP_SECONDS)
        pid = self.cluster.processes[self.target].process.pid
        counts, cpu, started = await self.control_counters(), cpu_seconds(pid), time.monotonic()
        await asyncio.sleep(self.options.seconds)
        elapsed = time.monotonic() - started
        spent = cpu_seconds(pid) - cpu
        later = await self.control_counters()
        return Measurement(
            self.daemons,
            self.workers,
            round(spent / elapsed, 5),
            round(resident_mebibytes(pid), 1),
            round((later[0] - counts[0]) / elapsed, 1),
            round((later[1] - counts[1]) / elapsed, 2),
        )

    async def announce_members(self) -> None:
        """Send an entry daemon the records of all fakes by gossip; an endpoint daemon gets none."""
        if self.options.role != "entry":
            return
        address = self.cluster.address_of(self.target)
        for start in range(0, len(self.members), 200):
            gossip = Gossip(members=tuple(self.members[start : start + 200]), revision=0)
            await call(self.session, address, gossip, Acknowledgement)

    def reports_to_target(self, ring: Ring, member: Member) -> bool:
        """Return True if the real daemon is a registrar of a fake."""
        names = [name for name in ring.successors(member.vm, REGISTRARS + 1) if name != member.vm]
        return self.target in names[:REGISTRARS]

    async def answer_short_heartbeat(self, heartbeat: ShortHeartbeat) -> HeartbeatReply:
        """Answer a short heartbeat as a registrar that already has the record."""
        return HeartbeatReply(
            incarnation=1,
            sequence=self.sequence,
            known_version=heartbeat.version,
            known_incarnation=heartbeat.incarnation,
        )

    async def keep_heartbeating(self, member: Member) -> None:
        """Send the heartbeats of one fake until cancelled."""
        address = self.cluster.address_of(self.target)
        incarnation = sequence = 0
        await asyncio.sleep((hash(member.vm) % 1000) / 1000 * self.options.heartbeat)
        wants = hash(member.vm) % REGISTRARS == 0
        while True:
            message: Heartbeat | ShortHeartbeat = Heartbeat(member, wants, incarnation, sequence)
            if incarnation:
                message = ShortHeartbeat(
                    member.vm,
                    member.incarnation,
                    member.version,
                    member.revision,
                    wants,
                    incarnation,
                    sequence,
                )
            result = await call(self.session, address, message, HeartbeatReply)
            reply = result.value_or(HeartbeatReply())
            incarnation, sequence = reply.incarnation, reply.sequence
            await asyncio.sleep(self.options.heartbeat)

    async def keep_sending_summaries(self) -> None:
        """Exchange directory summaries with the daemon every 5 s until cancelled."""
        address = self.cluster.address_of(self.target)
        while True:
            await asyncio.sleep(5.0)
            status = await self.cluster.get_json(f"http://{address}/admin/summary")
            # One hash for each of the 64 buckets of the member directory (SUMMARY_BUCKETS).
            buckets = tuple(status["buckets"]) if status else (0,) * 64
            await call(self.session, address, DirectorySummary(buckets), DirectoryBuckets)

    async def control_counters(self) -> tuple[float, float]:
        """Return the control bytes and messages that the daemon has counted in its metrics."""
        url = f"http://{self.cluster.address_of(self.target)}/metrics"
        async with self.cluster.session.get(url) as response:
            text = await response.text()
        totals = {"bytes": 0.0, "messages": 0.0}
        for line in text.splitlines():
            for name in totals:
                if line.startswith(f"verbenaward_control_{name}_total{{"):
                    totals[name] += float(line.rsplit(" ", 1)[1])
        return totals["bytes"], totals["messages"]

    async def answer_heartbeat(self, heartbeat: Heartbeat) -> HeartbeatReply:
        """Answer as a registrar; send all records if the daemon has not yet received them."""
        is_new = heartbeat.want_members and heartbeat.seen_sequence < self.sequence
        return HeartbeatReply(
            incarnation=1,
            sequence=self.sequence,
            revision=0,
            known_version=heartbeat.member.version,
            known_incarnation=heartbeat.member.incarnation,
            members=tuple(self.members) if is_new else (),
        )

    async def answer_summary(self, summary: DirectorySummary) -> DirectoryBuckets:
        """Answer that the directories do not differ."""
        return DirectoryBuckets()

    async def answer_query(self, query: ConfigurationQuery) -> ConfigurationOffer:
        """Answer with the empty configuration of revision 0."""
        return ConfigurationOffer(0, b"", encode_configuration(EMPTY_CONFIGURATION))

    async def acknowledge(self, message: object) -> Acknowledgement:
        """Acknowledge a message and ignore its content."""
        return Acknowledgement()

    async def stop(self) -> None:
        """Stop the traffic and the server of the fakes."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        await self.session.close()
        await self.runner.cleanup()
