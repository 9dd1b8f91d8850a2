"""What the rows of a soak do to its backends and entry processes."""

import asyncio
import random
import signal
from collections.abc import Awaitable, Callable

from verbenaward.registry import Registry

from .soak_deployment import SoakDaemon, SoakDeployment
from .soak_workers import Failure, SoakWorker

SILENCE_SECONDS = 1.4
SILENCE_INTERVAL_SECONDS = 2.5
FIRST_FAULT_SECONDS = 14.0
"""Longer than a window of the retry limit, which is full by then."""
SIGTERM_INTERVAL_SECONDS = 6.0
CONFIGURATION_INTERVAL_SECONDS = 3.0
DARK_FROM_SECONDS = 10.0
KILL_INTERVAL_SECONDS = 4.0
ROLL_INTERVAL_SECONDS = 1.5
STOP_SECONDS = 3.0
SECOND_SIGNAL_SECONDS = 1.0
"""From one SIGTERM to the next one to the same process, which is in its planned stop by then."""
REPEATED_INTERVAL_SECONDS = 9.0
"""From one process to the next one: longer than the grace period."""
CALM_START_SECONDS = 2.5
"""Time from the start of a burst to its first errors."""
MOVE_SECONDS = 2.0
"""Time from the first errors until callers move to another entry process."""
MOST_ERRORS = 0.9
HERD_FROM_SECONDS = 8.0
HERD_KILL_SECONDS = 9.0
HERD_STOP_SECONDS = 12.0
"""From one planned stop of all entry processes to the next: longer than the grace period."""
STILL_FROM_SECONDS = 6.0
STILL_SECONDS = (2.0, 9.0)
STILL_PAUSES = (0.5, 3.0)
MOST_STILL = 5
RESETS_FROM_SECONDS = 8.0
RESETS_SECONDS = 3.0

Trouble = Callable[[SoakDeployment, random.Random], Awaitable[None]]
"""Disturbs a deployment from the start of the traffic until it is cancelled."""
TROUBLES: Registry[Trouble] = Registry("trouble")


def loaded_workers(deployment: SoakDeployment) -> list[SoakWorker]:
    """Return the engines, or the plain backends if there are no engines."""
    workers = list(deployment.workers.values())
    return [item for item in workers if item.is_model] or workers


@TROUBLES.register("late-errors")
async def fail_late(deployment: SoakDeployment, rng: random.Random) -> None:
    """Let most answers of the backends be errors from FIRST_FAULT_SECONDS on."""
    await asyncio.sleep(FIRST_FAULT_SECONDS)
    for worker in deployment.workers.values():
        worker.error_share = MOST_ERRORS


@TROUBLES.register("move")
async def move(deployment: SoakDeployment, rng: random.Random) -> None:
    """Let all callers use one entry process, then another one."""
    first, second = deployment.entries[:2]
    deployment.used_entries = [first]
    await asyncio.sleep(FIRST_FAULT_SECONDS + MOVE_SECONDS)
    deployment.used_entries = [second]


@TROUBLES.register("sigterm-left")
async def terminate_left(deployment: SoakDeployment, rng: random.Random) -> None:
    """Send SIGTERM to the process that the callers leave."""
    await asyncio.sleep(FIRST_FAULT_SECONDS + MOVE_SECONDS)
    deployment.entries[0].send(signal.SIGTERM)


@TROUBLES.register("silence")
async def silence(deployment: SoakDeployment, rng: random.Random) -> None:
    """Let a backend that is drawn each time be silent, then go on."""
    while True:
        await asyncio.sleep(SILENCE_INTERVAL_SECONDS - SILENCE_SECONDS)
        await rng.choice(loaded_workers(deployment)).fall_silent(SILENCE_SECONDS)


@TROUBLES.register("dark")
async def darken(deployment: SoakDeployment, rng: random.Random) -> None:
    """Let one backend be silent for the rest of the run."""
    await asyncio.sleep(DARK_FROM_SECONDS)
    worker = rng.choice(loaded_workers(deployment))
    deployment.record.write("dark", worker=worker.identity)
    worker.speaking.clear()


@TROUBLES.register("configuration")
async def configure(deployment: SoakDeployment, rng: random.Random) -> None:
    """Write a new configuration again and again."""
    while True:
        await asyncio.sleep(CONFIGURATION_INTERVAL_SECONDS)
        deployment.write_configuration()


@TROUBLES.register("sigterm")
async def terminate(deployment: SoakDeployment, rng: random.Random) -> None:
    """Send SIGTERM to the entry processes in turn."""
    await asyncio.sleep(FIRST_FAULT_SECONDS)
    await send_in_turn(deployment.entries, SIGTERM_INTERVAL_SECONDS)


@TROUBLES.register("sigterm-twice")
async def terminate_twice(deployment: SoakDeployment, rng: random.Random) -> None:
    """Send SIGTERM to the entry processes in turn, to each of them twice."""
    await asyncio.sleep(FIRST_FAULT_SECONDS)
    while True:
        for entry in deployment.entries:
            entry.send(signal.SIGTERM)
            await asyncio.sleep(SECOND_SIGNAL_SECONDS)
            entry.send(signal.SIGTERM)
            await asyncio.sleep(REPEATED_INTERVAL_SECONDS - SECOND_SIGNAL_SECONDS)


@TROUBLES.register("roll")
async def roll(deployment: SoakDeployment, rng: random.Random) -> None:
    """Send SIGTERM to the entry processes in turn, soon after each other."""
    await asyncio.sleep(FIRST_FAULT_SECONDS)
    await send_in_turn(deployment.entries, ROLL_INTERVAL_SECONDS)


async def send_in_turn(entries: list[SoakDaemon], interval_seconds: float) -> None:
    """Send SIGTERM to one entry process after the other, over and over, until cancelled."""
    while True:
        for entry in entries:
            entry.send(signal.SIGTERM)
            await asyncio.sleep(interval_seconds)


@TROUBLES.register("kill")
async def kill(deployment: SoakDeployment, rng: random.Random) -> None:
    """Kill all entry processes at the same moment, again and again."""
    await asyncio.sleep(FIRST_FAULT_SECONDS)
    while True:
        for entry in deployment.entries:
            entry.send(signal.SIGKILL)
        await asyncio.sleep(KILL_INTERVAL_SECONDS)


@TROUBLES.register("stop")
async def stop(deployment: SoakDeployment, rng: random.Random) -> None:
    """Stop one entry process after the other, each for STOP_SECONDS."""
    await asyncio.sleep(FIRST_FAULT_SECONDS)
    while True:
        for entry in deployment.entries:
            entry.send(signal.SIGSTOP)
            await asyncio.sleep(STOP_SECONDS)
            entry.send(signal.SIGCONT)


@TROUBLES.register("kill-herd")
async def kill_herd(deployment: SoakDeployment, rng: random.Random) -> None:
    """Kill all entry processes at the same moment, with time to be in touch in between."""
    await send_to_all(deployment, signal.SIGKILL, HERD_KILL_SECONDS)


@TROUBLES.register("sigterm-herd")
async def terminate_herd(deployment: SoakDeployment, rng: random.Random) -> None:
    """Send SIGTERM to all entry processes at the same moment, as a planned stop of a site."""
    await send_to_all(deployment, signal.SIGTERM, HERD_STOP_SECONDS)


async def send_to_all(
    deployment: SoakDeployment, number: signal.Signals, interval_seconds: float
) -> None:
    """Send a signal to all entry processes again and again."""
    await asyncio.sleep(HERD_FROM_SECONDS)
    while True:
        for entry in deployment.entries:
            entry.send(number)
        await asyncio.sleep(interval_seconds)


@TROUBLES.register("stand-still")
async def stand_still(deployment: SoakDeployment, rng: random.Random) -> None:
    """Let engines stand still that answer reports."""
    await halt_engines(deployment, rng, answers_reports=True)


@TROUBLES.register("freeze")
async def freeze(deployment: SoakDeployment, rng: random.Random) -> None:
    """Let engines stand still that answer nothing."""
    await halt_engines(deployment, rng, answers_reports=False)


async def halt_engines(
    deployment: SoakDeployment, rng: random.Random, answers_reports: bool
) -> None:
    """Let up to MOST_STILL engines stand still at once, again and again."""
    await asyncio.sleep(STILL_FROM_SECONDS)
    engines = loaded_workers(deployment)
    while True:
        chosen = rng.sample(engines, rng.randint(2, min(MOST_STILL, len(engines))))
        seconds = rng.uniform(*STILL_SECONDS)
        await asyncio.gather(*(item.stand_still(seconds, answers_reports) for item in chosen))
        await asyncio.sleep(rng.uniform(*STILL_PAUSES))


@TROUBLES.register("stream-errors")
async def fail_streams(deployment: SoakDeployment, rng: random.Random) -> None:
    """Let most answers of the engines be 500 from STILL_FROM_SECONDS on."""
    await asyncio.sleep(STILL_FROM_SECONDS)
    set_failure(deployment, Failure.ERROR, MOST_ERRORS)


@TROUBLES.register("stream-refusals")
async def refuse_streams(deployment: SoakDeployment, rng: random.Random) -> None:
    """Let most answers of the engines be 503 and not executed from STILL_FROM_SECONDS on."""
    await asyncio.sleep(STILL_FROM_SECONDS)
    set_failure(deployment, Failure.REFUSAL, MOST_ERRORS)


@TROUBLES.register("resets")
async def reset(deployment: SoakDeployment, rng: random.Random) -> None:
    """Let most answers of all backends be resets for a while."""
    await fail_once(deployment, Failure.RESET)


@TROUBLES.register("head-resets")
async def reset_after_head(deployment: SoakDeployment, rng: random.Random) -> None:
    """Let most answers of all backends end after their head for a while."""
    await fail_once(deployment, Failure.HEAD_RESET)


async def fail_once(deployment: SoakDeployment, failure: Failure) -> None:
    """Let most answers of all backends fail for RESETS_SECONDS."""
    await asyncio.sleep(RESETS_FROM_SECONDS)
    set_failure(deployment, failure, MOST_ERRORS)
    await asyncio.sleep(RESETS_SECONDS)
    set_failure(deployment, Failure.ERROR, 0.0)


def set_failure(deployment: SoakDeployment, failure: Failure, share: float) -> None:
    """Let a share of the runs of all backends fail from now on."""
    deployment.record.write("failure", kind=failure.value, share=share)
    for worker in deployment.workers.values():
        worker.failure, worker.error_share, worker.fails_streams = failure, share, True
