"""Faults of the benchmark `requests`: crash prompts, freezes, kills, wrong answers, drains."""

import asyncio
import random
import signal

from standins.engine import CRASH_PROMPT

from .cluster import Cluster
from .load_generator import Caller

FAULT_SECONDS = 1.0
"""How long a daemon stays frozen or killed, or an engine gives wrong answers."""
ROUND_SECONDS = 5.0
"""Shortest time from the start of a round to the next."""


async def inject_faults(cluster: Cluster, caller: Caller, rounds: int, seed: int) -> list[str]:
    """Inject every kind of fault in each round, on different VMs, chosen by the seed.

    Returns:
      The crash prompts that were sent: they crash the engines that run them.
    """
    rng = random.Random(seed)
    engines = rng.sample(cluster.engine_vms, len(cluster.engine_vms))
    prompts = []
    for index in range(rounds):
        prompt = f"{CRASH_PROMPT} {seed} {index}"
        prompts.append(prompt)
        frozen, killed, crossed = engines[0], engines[1], engines[2]
        engines = engines[3:] + engines[:3]
        started = asyncio.get_running_loop().time()
        await asyncio.gather(
            send_crash_prompt(caller, prompt, index % 2 == 1),
            freeze(cluster, frozen),
            kill_and_restart(cluster, killed),
            mix_up_answers(cluster, crossed),
            restart_entry(cluster, cluster.entry_vms[index % len(cluster.entry_vms)]),
        )
        await restart_gracefully(cluster, engines[0])
        remaining = started + ROUND_SECONDS - asyncio.get_running_loop().time()
        await asyncio.sleep(max(0.0, remaining))
    return prompts


async def send_crash_prompt(caller: Caller, prompt: str, stream: bool) -> None:
    """Send an engine-crashing prompt six times, through random entry processes."""
    for _ in range(6):
        await caller.send_prompt_untallied(prompt, stream)
        await asyncio.sleep(0.15)


async def freeze(cluster: Cluster, vm: str) -> None:
    """Freeze the daemon of a VM for FAULT_SECONDS."""
    cluster.signal(vm, signal.SIGSTOP)
    await asyncio.sleep(FAULT_SECONDS)
    cluster.signal(vm, signal.SIGCONT)


async def kill_and_restart(cluster: Cluster, vm: str) -> None:
    """Kill the daemon of a VM and start it again after FAULT_SECONDS."""
    await cluster.kill(vm)
    await asyncio.sleep(FAULT_SECONDS)
    await cluster.start_daemon(vm)


async def mix_up_answers(cluster: Cluster, vm: str) -> None:
    """Have an engine confuse and truncate a share of its answers for FAULT_SECONDS."""
    url = f"http://{cluster.backend_of(vm)}"
    await cluster.set_faults(url, crossed=0.2, truncate=0.1)
    await asyncio.sleep(FAULT_SECONDS)
    await cluster.set_faults(url, crossed=0.0, truncate=0.0)


async def restart_gracefully(cluster: Cluster, vm: str) -> None:
    """Drain the daemon of a VM with SIGTERM, then start it again."""
    cluster.signal(vm, signal.SIGTERM)
    await asyncio.wait_for(cluster.processes[vm].process.wait(), 30)
    await cluster.start_daemon(vm)


async def restart_entry(cluster: Cluster, vm: str) -> None:
    """Drain and restart an entry process."""
    await restart_gracefully(cluster, vm)
