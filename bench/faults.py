"""Faults of the requests bench, from its seed: kills, stalls, crossed answers, drains."""

import asyncio
import random
import signal

from standins.engine import CRASH_MARK

from .cluster import Cluster
from .load import Caller

PAUSE_SECONDS = 1.0
ROUND_SECONDS = 5.0


async def inject_faults(cluster: Cluster, caller: Caller, rounds: int, seed: int) -> list[str]:
    """Inject every kind of fault, in each round on other VMs.

    Returns:
      The poison prompts that were sent.
    """
    rng = random.Random(seed)
    engines = rng.sample(cluster.engine_vms, len(cluster.engine_vms))
    prompts = []
    for index in range(rounds):
        prompt = f"{CRASH_MARK} {seed} {index}"
        prompts.append(prompt)
        stalled, killed, crossed = engines[0], engines[1], engines[2]
        engines = engines[3:] + engines[:3]
        started = asyncio.get_running_loop().time()
        await asyncio.gather(
            send_poison(caller, prompt, index % 2 == 1),
            stall(cluster, stalled),
            kill_and_replace(cluster, killed),
            cross_answers(cluster, crossed),
            restart_entry(cluster, cluster.entry_vms[index % len(cluster.entry_vms)]),
        )
        await restart_gracefully(cluster, engines[0])
        left = started + ROUND_SECONDS - asyncio.get_running_loop().time()
        await asyncio.sleep(max(0.0, left))
    return prompts


async def send_poison(caller: Caller, prompt: str, stream: bool) -> None:
    """Send a prompt that crashes engines, again and again through all entry processes."""
    for _ in range(6):
        await caller.try_model_once(prompt, stream)
        await asyncio.sleep(0.15)


async def stall(cluster: Cluster, vm: str) -> None:
    """Freeze the daemon of a VM for a while."""
    cluster.signal(vm, signal.SIGSTOP)
    await asyncio.sleep(PAUSE_SECONDS)
    cluster.signal(vm, signal.SIGCONT)


async def kill_and_replace(cluster: Cluster, vm: str) -> None:
    """Kill the daemon of a VM and start it again after a while."""
    await cluster.kill(vm)
    await asyncio.sleep(PAUSE_SECONDS)
    await cluster.start_daemon(vm)


async def cross_answers(cluster: Cluster, vm: str) -> None:
    """Let the engine of a VM answer with wrong ids, and cut streams off, for a while."""
    url = f"http://{cluster.backend_of(vm)}"
    await cluster.set_faults(url, crossed=0.2, truncate=0.1)
    await asyncio.sleep(PAUSE_SECONDS)
    await cluster.set_faults(url, crossed=0.0, truncate=0.0)


async def restart_gracefully(cluster: Cluster, vm: str) -> None:
    """Drain the daemon of a VM by its signal, then start it again."""
    cluster.signal(vm, signal.SIGTERM)
    await asyncio.wait_for(cluster.processes[vm].process.wait(), 30)
    await cluster.start_daemon(vm)


async def restart_entry(cluster: Cluster, vm: str) -> None:
    """Restart an entry process gracefully."""
    await restart_gracefully(cluster, vm)
