"""Actions of a drawn soak: they carry out planned troubles on its processes and backends."""

import asyncio
import random
import signal
from collections.abc import Awaitable, Callable
from dataclasses import replace
from typing import Any

from standins.unruly_clients import HABITS, Crowd
from verbenaward.registry import Registry

from .drawn_configurations import CHANGES, declare_services
from .drawn_plan import FOR_GOOD_SECONDS, TARGETS, DrawnPlan, Trouble
from .soak_deployment import SoakDaemon, SoakDeployment
from .soak_links import SoakLink
from .soak_workers import Failure, SoakWorker

Action = Callable[[SoakDeployment, Trouble], Awaitable[None]]
ACTIONS: Registry[Action] = Registry("action")
AWAY_SECONDS = 0.6
MOVE_SHARE = 0.5
MOVE_PAUSES = (0.5, 3.0)
"""Shortest and longest time from the first errors until callers move, in seconds."""
BAD_SHARE = 0.2
"""Share of the datagrams on a bad link that are lost; as many are late, and as many doubled."""
CROWD_COUNTS = (20, 250)
"""Fewest and most connections of a crowd at once."""
CROWDED_PORTS = ("front", "directory", "readiness", "internal")
POWER_LOSS = "power-loss"
"""What is recorded in place of the path of a request that crashes a backend."""
OPERATOR_PREFIX = "op/"
FAILING_SHARES = (0.3, 0.6, 0.9)
SETTINGS = {
    "same": [{}],
    "changed": [
        {"address_ttl_seconds": 1.5},
        {"pulse_bytes_per_second": 5000},
        {"version_seconds": 9},
    ],
    "fixed": [{"memory_megabytes": 280}],
}
"""Changes of the settings before SIGHUP; those that are fixed need a restart."""


async def disturb(deployment: SoakDeployment, plan: DrawnPlan, began_at: float) -> None:
    """Begin each trouble of a plan at its time, whether or not earlier ones have ended."""
    for trouble in plan.troubles:
        await asyncio.sleep(max(0.0, began_at + trouble.at - deployment.record.now()))
        deployment.record.write("trouble", kind=trouble.kind, detail=trouble.detail)
        deployment.background(ACTIONS.find(trouble.kind)(deployment, trouble))


def declare_first(deployment: SoakDeployment) -> None:
    """Write the configuration on which all others are based."""
    deployment.change_configuration(declare_services)
    deployment.first_body = deployment.store.items["op/config"][0]


def chosen_entries(deployment: SoakDeployment, trouble: Trouble) -> list[SoakDaemon]:
    """Return the entry processes that a trouble meets."""
    entries = deployment.entries
    return [entries[number] for number in sorted({item % len(entries) for item in trouble.targets})]


def chosen_workers(deployment: SoakDeployment, trouble: Trouble) -> list[SoakWorker]:
    """Return the backends that a trouble meets."""
    workers = list(deployment.workers.values())
    return [workers[number] for number in sorted({item % len(workers) for item in trouble.targets})]


def send(entry: SoakDaemon, number: signal.Signals) -> None:
    """Send a signal that a process handles, once it handles signals."""
    if entry.has_begun:
        entry.send(number)


@ACTIONS.register("silence")
async def fall_silent(deployment: SoakDeployment, trouble: Trouble) -> None:
    """Let backends be silent at once."""
    workers = chosen_workers(deployment, trouble)
    silences = [item.fall_silent(trouble.seconds, trouble.detail) for item in workers]
    await asyncio.gather(*silences)


@ACTIONS.register("sigterm")
async def terminate(deployment: SoakDeployment, trouble: Trouble) -> None:
    """Send SIGTERM, also to a process that is stopping."""
    for entry in chosen_entries(deployment, trouble):
        send(entry, signal.SIGTERM)


@ACTIONS.register("sigterm-again")
async def terminate_again(deployment: SoakDeployment, trouble: Trouble) -> None:
    """Send SIGTERM, and once more to the same process."""
    await terminate(deployment, trouble)
    await asyncio.sleep(trouble.seconds)
    await terminate(deployment, trouble)


@ACTIONS.register("sighup")
async def reload(deployment: SoakDeployment, trouble: Trouble) -> None:
    """Write the settings anew and send SIGHUP."""
    changes = random.Random(trouble.number).choice(SETTINGS[trouble.detail])
    for entry in chosen_entries(deployment, trouble):
        entry.write_settings(changes)
        send(entry, signal.SIGHUP)


@ACTIONS.register("sigkill")
async def kill(deployment: SoakDeployment, trouble: Trouble) -> None:
    """Send SIGKILL."""
    for entry in chosen_entries(deployment, trouble):
        entry.send(signal.SIGKILL)


@ACTIONS.register("kill-all")
async def kill_all(deployment: SoakDeployment, trouble: Trouble) -> None:
    """Send SIGKILL to all entry processes at once."""
    for entry in deployment.entries:
        entry.send(signal.SIGKILL)


@ACTIONS.register("sigterm-all")
async def terminate_all(deployment: SoakDeployment, trouble: Trouble) -> None:
    """Send SIGTERM to all entry processes at once."""
    for entry in deployment.entries:
        send(entry, signal.SIGTERM)


@ACTIONS.register("still")
async def stand_still(deployment: SoakDeployment, trouble: Trouble) -> None:
    """Let backends stand still, which answer reports or nothing."""
    workers = chosen_workers(deployment, trouble)
    halts = [item.stand_still(trouble.seconds, trouble.detail == "reports") for item in workers]
    await asyncio.gather(*halts)


@ACTIONS.register("failing")
async def fail_everywhere(deployment: SoakDeployment, trouble: Trouble) -> None:
    """Let a share of the runs of all backends fail for a while, those of engines too."""
    share = random.Random(trouble.number).choice(FAILING_SHARES)
    workers = list(deployment.workers.values())
    for worker in workers:
        worker.failure, worker.error_share = Failure(trouble.detail), share
        worker.fails_streams = True
    await asyncio.sleep(trouble.seconds)
    for worker in workers:
        worker.failure, worker.error_share = Failure.ERROR, deployment.plan.error_share
        worker.fails_streams = False


@ACTIONS.register("stop")
async def stop(deployment: SoakDeployment, trouble: Trouble) -> None:
    """Stop processes for a while."""
    entries = chosen_entries(deployment, trouble)
    for entry in entries:
        entry.send(signal.SIGSTOP)
    await asyncio.sleep(trouble.seconds)
    for entry in entries:
        entry.send(signal.SIGCONT)


@ACTIONS.register("configuration")
async def configure(deployment: SoakDeployment, trouble: Trouble) -> None:
    """Write a changed configuration, and the first one again unless another has come.

    One that takes away what callers need is in force for a short time only.
    """

    def change(body: dict[str, Any]) -> None:
        CHANGES.find(trouble.detail)(body, random.Random(trouble.number))

    version = deployment.change_configuration(change)
    is_away = trouble.detail.endswith("-away")
    await asyncio.sleep(AWAY_SECONDS if is_away else trouble.seconds)
    if deployment.config_version == version:
        deployment.change_configuration(lambda body: None)


@ACTIONS.register("leave")
async def leave(deployment: SoakDeployment, trouble: Trouble) -> None:
    """Let backends report that they are draining, or their registrations end, for a while."""
    workers = chosen_workers(deployment, trouble)
    for worker in workers:
        if trouble.detail == "draining":
            worker.state = "draining"
            worker.register()
        else:
            worker.deregister()
    await asyncio.sleep(trouble.seconds)
    for worker in workers:
        worker.return_to_store()


@ACTIONS.register("lapse")
async def lapse(deployment: SoakDeployment, trouble: Trouble) -> None:
    """Let the leases of entry processes lapse."""
    store = deployment.store
    for entry in chosen_entries(deployment, trouble):
        address = f"{entry.ip}:{deployment.ports['internal']}"
        own = store.shown.get(address, address)
        held = {lease for key, (_, _, lease) in store.items.items() if key.endswith(f"/{own}")}
        for lease in held & store.leases.keys():
            store.drop_lease(lease)


@ACTIONS.register("errors")
async def fail(deployment: SoakDeployment, trouble: Trouble) -> None:
    """Let a share of the answers of all plain backends be errors for a while.

    Half of the times all callers move to one process soon after the first errors.
    """
    workers = [item for item in deployment.workers.values() if not item.is_model]
    for worker in workers:
        worker.error_share = float(trouble.detail)
    rng = random.Random(trouble.number)
    if rng.random() < MOVE_SHARE:
        moving = replace(trouble, targets=(rng.randrange(TARGETS),))
        deployment.background(move_later(deployment, moving, rng.uniform(*MOVE_PAUSES)))
    await asyncio.sleep(trouble.seconds)
    for worker in workers:
        worker.error_share = deployment.plan.error_share


async def move_later(deployment: SoakDeployment, trouble: Trouble, pause_seconds: float) -> None:
    """Move the callers after a pause."""
    await asyncio.sleep(pause_seconds)
    await move(deployment, trouble)


@ACTIONS.register("move")
async def move(deployment: SoakDeployment, trouble: Trouble) -> None:
    """Let all callers use some entry processes for a while, unless they move again before."""
    chosen = chosen_entries(deployment, trouble)
    deployment.used_entries = chosen
    await asyncio.sleep(trouble.seconds)
    if deployment.used_entries is chosen:
        deployment.used_entries = []


@ACTIONS.register("store")
async def break_store(deployment: SoakDeployment, trouble: Trouble) -> None:
    """Let the store answer errors, nothing, or close connections for a while."""
    deployment.store.mode = trouble.detail
    await asyncio.sleep(trouble.seconds)
    deployment.store.mode = "ok"


@ACTIONS.register("link")
async def worsen_links(deployment: SoakDeployment, trouble: Trouble) -> None:
    """Let links lose, delay and double datagrams, or cut them, for a while."""
    links = [
        deployment.links.get(f"{entry.ip}:{deployment.ports['internal']}")
        for entry in chosen_entries(deployment, trouble)
    ]
    found = [link for link in links if isinstance(link, SoakLink)]
    for link in found:
        link.is_cut = trouble.detail == "cut"
        link.bad_share = BAD_SHARE
    await asyncio.sleep(trouble.seconds)
    for link in found:
        link.is_cut, link.bad_share = False, 0.0


@ACTIONS.register("dark-end")
async def end_in_the_dark(deployment: SoakDeployment, trouble: Trouble) -> None:
    """Let backends lose power: what was sent to them hangs until they are back under a new id."""

    async def lose_power(worker: SoakWorker) -> None:
        if worker.is_gone or not worker.reading.is_set():
            return
        halt = asyncio.create_task(worker.stand_still(FOR_GOOD_SECONDS, answers_reports=False))
        await asyncio.sleep(trouble.seconds)
        worker.unread.clear()
        await worker.crash(POWER_LOSS)
        halt.cancel()

    await asyncio.gather(*(lose_power(item) for item in chosen_workers(deployment, trouble)))


@ACTIONS.register("leases")
async def forget_leases(deployment: SoakDeployment, trouble: Trouble) -> None:
    """Let the store forget all leases, with what was written under them."""
    for lease in tuple(deployment.store.leases):
        deployment.store.drop_lease(lease)


@ACTIONS.register("restore")
async def restore_store(deployment: SoakDeployment, trouble: Trouble) -> None:
    """Let the store come back from a copy of some seconds before, but for the operator's keys."""
    store = deployment.store
    copy = store.copy()
    await asyncio.sleep(trouble.seconds)
    kept = {key: value for key, value in copy.items.items() if not key.startswith(OPERATOR_PREFIX)}
    own = {key: value for key, value in store.items.items() if key.startswith(OPERATOR_PREFIX)}
    store.restore(replace(copy, items={**kept, **own}))


@ACTIONS.register("crowd")
async def crowd(deployment: SoakDeployment, trouble: Trouble) -> None:
    """Let a crowd of clients that do not behave come to one listener of an entry process."""
    rng = random.Random(trouble.number)
    entry = chosen_entries(deployment, trouble)[0]
    port = deployment.ports[rng.choice(CROWDED_PORTS)]
    clients = Crowd(f"{entry.ip}:{port}", HABITS[trouble.detail], rng.randint(*CROWD_COUNTS))
    await clients.run(trouble.seconds)
    deployment.record.write("crowd-left", machine=entry.name, closed=clients.closed)
