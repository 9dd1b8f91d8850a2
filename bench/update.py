"""Benchmark `update`: bytes received for a version that shares most chunks with the last one."""

import argparse
import tempfile
from collections.abc import Sequence
from pathlib import Path
from typing import Any

from .cluster import ClusterPlan, running_cluster
from .models import make_version, manifest_of
from .operations import apply_or_fail, wait_until_served
from .registry import BENCHES
from .spread import MEBIBYTE, WAIT_TIMEOUT_SECONDS, served_digests, weight_traffic


@BENCHES.register("update")
async def bench_update(arguments: Sequence[str]) -> dict[str, Any]:
    """Distribute a version, then a changed one, and measure the bytes received for the second."""
    parser = argparse.ArgumentParser(prog="python -m bench update")
    parser.add_argument("--changed", type=float, default=0.1)
    parser.add_argument("--vms", type=int, default=6)
    parser.add_argument("--size-mib", type=float, default=32.0)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args(arguments)
    size = int(options.size_mib * MEBIBYTE)
    with tempfile.TemporaryDirectory(prefix="verbenaward-origin-") as name:
        origin = Path(name)
        first = make_version(origin, "v1", size, options.seed)
        base = origin / "care-assistant/v1"
        second = make_version(origin, "v2", size, options.seed + 1, base, options.changed)
        plan = ClusterPlan(entries=2, engines=options.vms, origin_folder=origin)
        async with running_cluster(plan) as cluster:
            await apply_or_fail(cluster, manifest_of(first))
            await wait_until_served(cluster, first.digest, cluster.engine_vms, WAIT_TIMEOUT_SECONDS)
            before = await weight_traffic(cluster)
            await apply_or_fail(cluster, manifest_of(second))
            await wait_until_served(
                cluster, second.digest, cluster.engine_vms, WAIT_TIMEOUT_SECONDS
            )
            after = await weight_traffic(cluster)
            digests = await served_digests(cluster, cluster.engine_vms)
    received = [after[vm]["received"] - before[vm]["received"] for vm in after]
    return {
        "vms": options.vms,
        "changed": options.changed,
        "bytes_moved_ratio": round(max(received) / size, 4),
        "partial_served": sum(digest != second.served_digest for digest in digests),
        "seed": options.seed,
    }
