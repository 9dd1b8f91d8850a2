"""Operator actions, and waits for their effect on a cluster."""

import asyncio
import json
from typing import Any

import aiohttp

from verbenaward.configuration.store import ApplyOutcome, ApplyResult
from verbenaward.ctl.apply import apply_plan, make_plan
from verbenaward.platform.key_value import ADAPTERS
from verbenaward.schema.manifest import Manifest

from .cluster import Cluster, poll_until


async def apply_manifest(
    cluster: Cluster, manifest: Manifest, author: str = "bench", notify_entries: bool = True
) -> ApplyResult:
    """Apply a manifest through the key-value service, as verbenactl does."""
    async with aiohttp.ClientSession() as session:
        service = ADAPTERS.find("http")(session, cluster.key_value)
        plan = (await make_plan(service, manifest, prune=True)).unwrap()
        entries = [cluster.address_of(vm) for vm in cluster.entry_vms] if notify_entries else []
        return await apply_plan(service, plan, author, "", entries)


async def apply_or_fail(cluster: Cluster, manifest: Manifest, author: str = "bench") -> ApplyResult:
    """Apply a manifest; raise RuntimeError if it was not accepted."""
    applied = await apply_manifest(cluster, manifest, author)
    if applied.outcome is not ApplyOutcome.ACCEPTED:
        raise RuntimeError(f"apply ended as {applied.outcome}: {applied.message}")
    return applied


async def engine_ledger(cluster: Cluster, vm: str) -> Any:
    """Return the ledger of an engine stand-in: the requests that ran, crashes, weights."""
    return await cluster.get_json(f"http://{cluster.backend_of(vm)}/ledger")


async def wait_until_served(cluster: Cluster, release: str, vms: list[str], seconds: float) -> bool:
    """Wait until the engines of some VMs report that they serve a release."""
    left = set(vms)

    async def check() -> bool:
        for vm in sorted(left):
            state = await cluster.get_json(f"http://{cluster.backend_of(vm)}/state")
            if not state or state["active"] != release:
                return False
            left.discard(vm)
        return True

    return await poll_until(check, seconds, 0.05)


async def wait_until_routed(cluster: Cluster, release: str, count: int, seconds: float) -> bool:
    """Wait until every entry process has at least `count` members with a release."""

    async def check() -> bool:
        for vm in cluster.entry_vms:
            status = await cluster.status(vm)
            members = status["members"] if status else []
            ready = [item for item in members if item["release"] == release]
            if len(ready) < count:
                return False
        return True

    return await poll_until(check, seconds, 0.1)


async def wait_until_peers_known(cluster: Cluster, seconds: float) -> bool:
    """Wait until every endpoint process of an engine lists all the others as alive."""

    async def check() -> bool:
        statuses = await asyncio.gather(*(cluster.status(vm) for vm in cluster.engine_vms))
        for status in statuses:
            members = status["members"] if status else []
            alive = [item["vm"] for item in members if item["status"] == "alive"]
            peers = {vm for vm in alive if vm.startswith("engine-")}
            if len(peers) < len(cluster.engine_vms) - 1:
                return False
        return True

    return await poll_until(check, seconds, 0.2)


async def wait_until_slots_held(cluster: Cluster, role: str, seconds: float) -> bool:
    """Wait until the key-value service has a holder for each slot of a role."""

    async def check() -> bool:
        async with aiohttp.ClientSession() as session:
            service = ADAPTERS.find("http")(session, cluster.key_value)
            entry = (await service.read(f"verbenaward/slots/{role}")).value_or(None)
        if entry is None:
            return False
        return all(item["vm"] for item in json.loads(entry.value)["holders"])

    return await poll_until(check, seconds, 0.1)
