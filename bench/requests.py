"""Benchmark `requests`: latency, goodput and guarantees of requests, also under faults."""

import argparse
import asyncio
import random
import tempfile
import time
from collections import Counter
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import aiohttp

from .bare_proxy_process import running_bare_proxy
from .cluster import Cluster, ClusterPlan, quantile, running_cluster
from .faults import inject_faults
from .load_generator import Caller, Tally, generate_load
from .models import ModelVersion, make_version, manifest_of
from .operations import (
    apply_or_fail,
    engine_ledger,
    wait_until_peers_known,
    wait_until_routed,
    wait_until_served,
    wait_until_slots_held,
)
from .process_usage import cpu_seconds
from .registry import BENCHES

TOKENS = 10
"""Answer tokens of a request, except under overload."""
TOKEN_SECONDS = 0.005
SLOTS = 4
"""Requests that an engine runs at once; its endpoint process runs and queues as many."""
ENGINES = 8
SECOND_VERSION_BYTES = 8 * 1024 * 1024
LINK_RATE = 1 * 1024 * 1024
"""Upload and download rate of a VM, in bytes a second; the origin has twice that."""
MEASURE_SECONDS = 8.0
OVERLOAD_DEADLINE_SECONDS = 2.0
SMALL_RATE = 5.0
"""Requests a second of the small workspace, beside the overload."""
SMALL_WORKSPACE = "small"
PROXY_SECONDS = 5.0
IDLE_SECONDS = 2.0
"""Time without load, in which the idle CPU use of the entry processes is measured."""
WARM_UP_SECONDS = 1.0
"""Start of the overload, whose answers do not count as goodput."""
OVERLOAD_TOKENS = 25
"""Answer tokens of a request under overload."""
MILLISECONDS = 1000


def parse(arguments: Sequence[str]) -> argparse.Namespace:
    """Return the options of the benchmark."""
    parser = argparse.ArgumentParser(prog="python -m bench requests")
    parser.add_argument("--rate", type=float, default=80.0, help="requests a second")
    parser.add_argument(
        "--overload", type=float, default=0.0, help="load as a multiple of the capacity"
    )
    parser.add_argument("--faults", action="store_true")
    parser.add_argument("--spread", action="store_true", help="distribute a version under load")
    parser.add_argument("--policy", default="prefix-affinity")
    parser.add_argument("--seconds", type=float, default=MEASURE_SECONDS)
    parser.add_argument("--seed", type=int, default=1)
    return parser.parse_args(arguments)


@BENCHES.register("requests")
async def bench_requests(arguments: Sequence[str]) -> dict[str, Any]:
    """Send requests at a constant rate and check the answers and the ledgers of the stand-ins."""
    options = parse(arguments)
    with tempfile.TemporaryDirectory(prefix="verbenaward-origin-") as name:
        origin = Path(name)
        first = make_version(origin, "v1", 256 * 1024, options.seed)
        second = make_version(origin, "v2", SECOND_VERSION_BYTES, options.seed + 1)
        plan = ClusterPlan(
            entries=3,
            engines=ENGINES,
            services=2,
            origin_folder=origin,
            origin_bytes_per_second=2 * LINK_RATE,
            links={"upload_bytes_per_second": LINK_RATE, "download_bytes_per_second": LINK_RATE},
            engine={"slots": SLOTS, "token_seconds": TOKEN_SECONDS},
            endpoint={"concurrency": SLOTS, "queue": SLOTS},
            entry={"policy": options.policy},
            log_level="warning",
        )
        async with running_cluster(plan) as cluster:
            await apply_or_fail(cluster, manifest_of(first, {SMALL_WORKSPACE: 1}))
            await wait_until_served(cluster, first.digest, cluster.engine_vms, 30)
            await wait_until_routed(cluster, first.digest, ENGINES, 30)
            await wait_until_peers_known(cluster, 30)
            await wait_until_slots_held(cluster, "reservation", 20)
            return await measure(options, cluster, first, second)


async def measure(
    options: argparse.Namespace, cluster: Cluster, first: ModelVersion, second: ModelVersion
) -> dict[str, Any]:
    """Run the phases of the bench and return the figures."""
    served = {first.served_digest, second.served_digest}
    entries = [cluster.address_of(vm) for vm in cluster.entry_vms]
    async with aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0)) as session:
        direct = await load_engines_directly(session, cluster, options)
        quiet = Caller(session, entries, served, rng=random.Random(options.seed))
        pids = [cluster.processes[vm].process.pid for vm in cluster.entry_vms]
        idle_before = sum(map(cpu_seconds, pids))
        await asyncio.sleep(IDLE_SECONDS)
        cpu_before = sum(map(cpu_seconds, pids))
        idle = (cpu_before - idle_before) / IDLE_SECONDS
        await generate_load(quiet, options.rate, options.seconds, TOKENS, stream_share=0.0)
        entry_cpu = sum(map(cpu_seconds, pids)) - cpu_before - idle * options.seconds
        result = {
            "rate": options.rate,
            "policy": options.policy,
            "shaped": f"VM links {LINK_RATE >> 20} MiB/s; engines {ENGINES} with {SLOTS} slots",
            "p50_ms": millis(quantile(quiet.tally.latencies, 0.5)),
            "p99_ms": millis(quantile(quiet.tally.latencies, 0.99)),
            "direct_p99_ms": millis(quantile(direct, 0.99)),
            "quiet_p99_ms": millis(quantile(quiet.tally.latencies, 0.99)),
            "entry_idle_core_fraction": round(idle / len(pids), 4),
            "entry_cpu_ms_per_request": millis(entry_cpu / max(1, quiet.tally.answered)),
            "hop_cpu_ms_per_request": millis(await proxy_cost(session, cluster, options)),
        }
        tallies = [quiet.tally]
        prompts: list[str] = []
        if options.spread:
            tallies.append(await load_while_distributing(options, cluster, session, second, result))
        if options.overload:
            tallies.append(await load_with_overload(options, session, entries, served, result))
        if options.faults:
            tally, prompts = await load_with_faults(options, cluster, session, served)
            tallies.append(tally)
        result.update(await check_guarantees(cluster, tallies, prompts))
    result["seed"] = options.seed
    return result


def millis(seconds: float) -> float:
    """Return seconds as rounded milliseconds."""
    return round(seconds * MILLISECONDS, 2)


async def load_engines_directly(
    session: aiohttp.ClientSession, cluster: Cluster, options: argparse.Namespace
) -> list[float]:
    """Send the same load directly to the engines; return the latencies in seconds."""
    latencies: list[float] = []
    targets = [f"http://{cluster.backend_of(vm)}/v1/chat/completions" for vm in cluster.engine_vms]

    async def send(index: int) -> None:
        body = {
            "max_tokens": TOKENS,
            "messages": [{"role": "user", "content": f"session {index % 50}: question {index}"}],
        }
        started = time.monotonic()
        async with session.post(targets[index % len(targets)], json=body) as response:
            await response.read()
        latencies.append(time.monotonic() - started)

    started = time.monotonic()
    tasks = []
    for index in range(int(options.rate * options.seconds / 2)):
        await asyncio.sleep(max(0.0, started + index / options.rate - time.monotonic()))
        tasks.append(asyncio.create_task(send(index)))
    await asyncio.gather(*tasks)
    return latencies


async def proxy_cost(
    session: aiohttp.ClientSession, cluster: Cluster, options: argparse.Namespace
) -> float:
    """Return the CPU seconds that a bare aiohttp proxy spends on a request.

    The proxy gets requests at the rate that one entry process had.
    """
    async with running_bare_proxy(cluster) as (pid, url):
        before = cpu_seconds(pid)
        rate = options.rate / len(cluster.entry_vms)
        count = int(rate * PROXY_SECONDS)
        tasks = []
        started = time.monotonic()
        for index in range(count):
            await asyncio.sleep(max(0.0, started + index / rate - time.monotonic()))
            content = f"session {index % 50}: question {index}"
            body = {"max_tokens": TOKENS, "messages": [{"role": "user", "content": content}]}
            tasks.append(asyncio.create_task(post(session, url, body)))
        await asyncio.gather(*tasks)
        return (cpu_seconds(pid) - before) / count


async def post(session: aiohttp.ClientSession, url: str, body: Any) -> None:
    """Post JSON and read the whole answer."""
    async with session.post(url, json=body) as response:
        await response.read()


async def load_while_distributing(
    options: argparse.Namespace,
    cluster: Cluster,
    session: aiohttp.ClientSession,
    version: ModelVersion,
    result: dict[str, Any],
) -> Tally:
    """Send the load while a new version is distributed, and add its figures to the result.

    `p99_ms`, until then of the load before the distribution, becomes that of this load.
    """
    entries = [cluster.address_of(vm) for vm in cluster.entry_vms]
    served = {version.served_digest}
    ledger = await engine_ledger(cluster, "engine-0")
    served.add(ledger["serving"])
    caller = Caller(session, entries, served, rng=random.Random(options.seed + 1))
    stop = asyncio.Event()
    load = asyncio.create_task(
        generate_load(caller, options.rate, 60.0, TOKENS, stream_share=0.0, stop=stop)
    )
    started = time.monotonic()
    await apply_or_fail(cluster, manifest_of(version, {SMALL_WORKSPACE: 1}))
    await wait_until_served(cluster, version.digest, cluster.engine_vms, 40)
    result["spread_seconds"] = round(time.monotonic() - started, 2)
    stop.set()
    await load
    result["p99_ms"] = millis(quantile(caller.tally.latencies, 0.99))
    result["spread_p99_ratio"] = round(result["p99_ms"] / result["quiet_p99_ms"], 3)
    return caller.tally


async def load_with_overload(
    options: argparse.Namespace,
    session: aiohttp.ClientSession,
    entries: list[str],
    served: set[str],
    result: dict[str, Any],
) -> Tally:
    """Send a multiple of the capacity from large workspaces, beside a small workspace."""
    capacity = ENGINES * SLOTS / (OVERLOAD_TOKENS * TOKEN_SECONDS)
    large = Caller(session, entries, served, deadline_seconds=OVERLOAD_DEADLINE_SECONDS)
    small = Caller(session, entries, served, deadline_seconds=OVERLOAD_DEADLINE_SECONDS)
    seconds = options.seconds
    started = time.monotonic()
    await asyncio.gather(
        generate_load(
            large, capacity * options.overload, seconds, OVERLOAD_TOKENS, stream_share=0.0
        ),
        load_small_workspace(small, seconds),
    )
    counted_from, until = started + WARM_UP_SECONDS, started + seconds
    finished = [*large.tally.finished, *small.tally.finished]
    in_time = (
        sum(counted_from <= at <= until for at in finished) - large.tally.late - small.tally.late
    )
    result["capacity_per_second"] = round(capacity, 1)
    result["goodput_ratio"] = round(in_time / (until - counted_from) / capacity, 3)
    result["small_workspace_answered"] = round(small.tally.answered / small.tally.sent, 3)
    result["overload_sent"] = large.tally.sent
    result["overload_refused"] = sum(large.tally.refused.values())
    return large.tally


async def load_small_workspace(caller: Caller, seconds: float) -> None:
    """Send requests of the small workspace at SMALL_RATE."""
    tasks = []
    for index in range(int(SMALL_RATE * seconds)):
        prompt = f"small question {index}"
        tasks.append(
            asyncio.create_task(caller.send_prompt(prompt, OVERLOAD_TOKENS, False, SMALL_WORKSPACE))
        )
        await asyncio.sleep(1 / SMALL_RATE)
    await asyncio.gather(*tasks)


async def load_with_faults(
    options: argparse.Namespace,
    cluster: Cluster,
    session: aiohttp.ClientSession,
    served: set[str],
) -> tuple[Tally, list[str]]:
    """Send prompts, streams and reservations while faults are injected."""
    entries = [cluster.address_of(vm) for vm in cluster.entry_vms]
    caller = Caller(session, entries, served, rng=random.Random(options.seed + 2))
    stop = asyncio.Event()
    load = asyncio.create_task(generate_load(caller, options.rate / 2, 120.0, TOKENS, 0.5, stop))
    reservations = asyncio.create_task(keep_reserving(caller, stop))
    prompts = await inject_faults(cluster, caller, 2, options.seed)
    stop.set()
    await asyncio.gather(load, reservations)
    return caller.tally, prompts


async def keep_reserving(caller: Caller, stop: asyncio.Event) -> None:
    """Make reservations, each resent once, until the event is set."""
    index = 0
    tasks = []
    while not stop.is_set():
        index += 1
        reservation = caller.reserve(f"bed-{index}", f"reservation {index}", force_resends=1)
        tasks.append(asyncio.create_task(reservation))
        await asyncio.sleep(0.1)
    await asyncio.gather(*tasks)


async def check_guarantees(
    cluster: Cluster, tallies: list[Tally], prompts: list[str]
) -> dict[str, Any]:
    """Count outcomes and violated guarantees, from the tallies and the stand-ins' ledgers."""
    ran_ids: Counter[str] = Counter()
    crashes: dict[str, set[str]] = {}
    for vm in cluster.engine_vms:
        ledger = await engine_ledger(cluster, vm)
        ran_ids.update(run[1] for run in ledger["runs"])
        for prompt in ledger["crashes"]:
            crashes.setdefault(prompt, set()).add(vm)
    keys: Counter[str] = Counter()
    for vm in cluster.service_vms:
        ledger = await cluster.get_json(f"http://{cluster.backend_of(vm)}/ledger")
        keys.update(run[2] for run in ledger["runs"])
    not_run = set().union(*(tally.not_run_ids for tally in tallies))
    not_run_keys = set().union(*(tally.not_run_keys for tally in tallies))
    refused: Counter[str] = Counter()
    reasons: Counter[str] = Counter()
    for tally in tallies:
        refused.update(tally.refused)
        reasons.update(tally.lost_reasons)
    return {
        "sent": sum(tally.sent for tally in tallies),
        "answered": sum(tally.answered for tally in tallies),
        "refused": dict(refused),
        "lost": sum(tally.lost for tally in tallies),
        "lost_reasons": dict(reasons),
        "crossed": sum(tally.crossed for tally in tallies),
        "cut_off": sum(tally.cut_off for tally in tallies),
        "partial": sum(tally.partial for tally in tallies),
        "duplicated": sum(count > 1 for count in keys.values()),
        "false_not_run": len(not_run & set(ran_ids)) + len(not_run_keys & set(keys)),
        "poison_crashes": max((len(crashes.get(prompt, ())) for prompt in prompts), default=0),
    }
