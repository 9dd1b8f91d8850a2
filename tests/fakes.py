"""In-memory fakes of the platform's services, and an event loop with virtual time."""

import asyncio
import contextlib
import selectors
import time
from dataclasses import dataclass, field
from unittest import mock

from returns.result import Failure, Success

from verbenaward.platform.key_value import (
    KeyValueEntry,
    KeyValueError,
    KeyValueFailure,
    KeyValueSnapshot,
)
from verbenaward.platform.vm_list import ListedVm
from verbenaward.requests.records import Request

UNAVAILABLE = Failure(KeyValueError(KeyValueFailure.UNAVAILABLE, "outage"))
UNKNOWN = Failure(KeyValueError(KeyValueFailure.UNKNOWN, "answer lost"))
CONFLICT = Failure(KeyValueError(KeyValueFailure.CONFLICT, "version conflict"))
RATE_LIMITED = Failure(KeyValueError(KeyValueFailure.RATE_LIMITED, "too many requests"))
POLL_SECONDS = 0.1


class VirtualClock:
    """Monotonic time in seconds that advances only while the event loop waits."""

    def __init__(self):
        self.now = 1000.0

    def __call__(self):
        return self.now


class VirtualSelector(selectors.SelectSelector):
    """Selector that advances the clock instead of waiting."""

    def __init__(self, clock):
        super().__init__()
        self.clock = clock

    def select(self, timeout=None):
        if timeout is not None and timeout > 0:
            self.clock.now += timeout
        return super().select(0)


@contextlib.contextmanager
def virtual_loop():
    """Yield an event loop with virtual time, which the monotonic and boot-time clocks show."""
    clock = VirtualClock()
    with (
        mock.patch.object(time, "monotonic", clock),
        mock.patch.object(time, "clock_gettime", lambda _: clock()),
    ):
        loop = asyncio.SelectorEventLoop(VirtualSelector(clock))
        loop.clock = clock
        try:
            yield loop
        finally:
            loop.run_until_complete(cancel_all())
            loop.close()


async def cancel_all():
    """Cancel all other tasks of the running event loop."""
    tasks = asyncio.all_tasks() - {asyncio.current_task()}
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


@dataclass
class KeyValueWorld:
    """State of the key-value service, shared by all clients of a test.

    Attributes:
      revision: Revision of the last change.
      stored: Entries by key.
      down: True while the service is unavailable to all clients.
      writes: Number of writes that reached the service.
    """

    revision: int = 0
    stored: dict = field(default_factory=dict)
    down: bool = False
    writes: int = 0

    def change(self, key, value):
        self.revision += 1
        self.stored[key] = KeyValueEntry(key, value, self.revision)
        return self.revision

    def cas(self, key, value, expected):
        current = self.stored.get(key)
        if (current.revision if current else 0) != expected:
            return CONFLICT
        return Success(self.change(key, value))


class FakeKeyValues:
    """One client of the service, with injected faults.

    Attributes:
      world: State of the service.
      cut: True while this client cannot reach the service.
      lose: Faults of the next writes, in order. "before" loses the request, "after" loses the
        answer, "limited" rejects the request, a float delays the effect by so many seconds and
        loses the answer.
      late: Tasks of delayed writes.
    """

    def __init__(self, world):
        self.world = world
        self.cut = False
        self.lose = []
        self.late = set()

    def is_unreachable(self):
        return self.world.down or self.cut

    async def read(self, key):
        await asyncio.sleep(0.001)
        return UNAVAILABLE if self.is_unreachable() else Success(self.world.stored.get(key))

    async def read_prefix(self, prefix):
        await asyncio.sleep(0.001)
        if self.is_unreachable():
            return UNAVAILABLE
        entries = [
            entry for key, entry in sorted(self.world.stored.items()) if key.startswith(prefix)
        ]
        return Success(KeyValueSnapshot(self.world.revision, tuple(entries)))

    async def write(self, key, value, expected_version, ttl_seconds=0.0):
        await asyncio.sleep(0.001)
        fate = self.lose.pop(0) if self.lose else ""
        if isinstance(fate, float):
            task = asyncio.ensure_future(self.write_delayed(fate, key, value, expected_version))
            self.late.add(task)
            return UNKNOWN
        if self.is_unreachable():
            return UNAVAILABLE
        if fate == "before":
            return UNKNOWN
        if fate == "limited":
            return RATE_LIMITED
        self.world.writes += 1
        result = self.world.cas(key, value, expected_version)
        return UNKNOWN if fate == "after" else result

    async def write_delayed(self, seconds, key, value, expected_version):
        await asyncio.sleep(seconds)
        self.world.cas(key, value, expected_version)

    async def delete(self, key, expected_version):
        await asyncio.sleep(0.001)
        if self.is_unreachable():
            return UNAVAILABLE
        current = self.world.stored.get(key)
        if current is None or current.revision != expected_version:
            return CONFLICT
        del self.world.stored[key]
        self.world.revision += 1
        return Success(self.world.revision)

    async def watch(self, prefix, after, timeout_seconds):
        until = time.monotonic() + timeout_seconds
        while time.monotonic() < until:
            await asyncio.sleep(POLL_SECONDS)
            if self.is_unreachable():
                return UNAVAILABLE
            changed = [
                entry
                for key, entry in self.world.stored.items()
                if key.startswith(prefix) and entry.revision > after
            ]
            if changed:
                return Success(KeyValueSnapshot(self.world.revision, tuple(changed)))
        return Success(KeyValueSnapshot(self.world.revision, ()))


class FakeVmList:
    """The platform's list of VMs, which shows the end of a VM after a delay.

    Attributes:
      lag: Delay, in seconds.
      vms: Names of all VMs, also of stopped ones.
      gone: Monotonic time of the end of each stopped VM.
    """

    def __init__(self, lag):
        self.lag = lag
        self.vms = set()
        self.gone = {}

    async def read(self):
        await asyncio.sleep(0.001)
        now = time.monotonic()
        seen = {vm for vm in self.vms if now < self.gone.get(vm, float("inf")) + self.lag}
        return Success(tuple(ListedVm(vm, False) for vm in sorted(seen)))


def request_of(workspace, deadline=1e9, idempotent=True):
    """Build a request of a workspace; without idempotency it has the key "k"."""
    return Request(
        request_id="r",
        workspace=workspace,
        request_class="standard",
        role="assistant",
        target="m",
        method="POST",
        path="/",
        body=b"",
        content_type="",
        stream=False,
        idempotent=idempotent,
        idempotency_key="" if idempotent else "k",
        received_at=0.0,
        deadline=deadline,
        fingerprint=b"",
        affinity="",
        is_model=True,
    )
