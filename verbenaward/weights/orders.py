"""Orders to the engine of this VM: one writer, one order at a time, read back."""

import asyncio
import time
from collections.abc import Callable

from returns.result import Success

from .. import metrics
from ..logs import get_logger
from ..platform.engine import Engine, EngineFile, EngineState, Order, OrderKind

LOG = get_logger(__name__)
RETRY_SECONDS = 0.3


class OrderGiver:
    """Gives orders until they are carried out.

    Attributes:
      engine: Port to the engine.
      checks_fence: True where the engine refuses old fencing numbers.
      timeout_seconds: Longest time that an order may take.
      not_before: Time before which an engine that checks nothing gets no order, since an
        order of a former process may still run; monotonic.
      state: What the engine last said that it holds; None while unknown.
    """

    def __init__(
        self,
        engine: Engine,
        checks_fence: bool,
        timeout_seconds: float,
        fence: Callable[[], int],
        started_at: float,
    ) -> None:
        self.engine = engine
        self.checks_fence = checks_fence
        self.timeout_seconds = timeout_seconds
        self.fence = fence
        self.not_before = started_at if checks_fence else started_at + timeout_seconds
        self.state: EngineState | None = None
        self.lock = asyncio.Lock()
        self.on_state: Callable[[EngineState | None], None] = lambda state: None

    async def read_state(self) -> EngineState | None:
        """Ask the engine what it holds and remember the answer."""
        result = await self.engine.state()
        self.note_state(result.unwrap() if isinstance(result, Success) else None)
        return self.state

    def note_state(self, state: EngineState | None) -> None:
        """Remember what the engine holds."""
        self.state = state
        self.on_state(state)

    async def activate(self, release: str, files: tuple[EngineFile, ...]) -> None:
        """Make the engine serve a release; returns when the engine says that it does."""
        async with self.lock:
            await asyncio.sleep(max(0.0, self.not_before - time.monotonic()))
            while not await self.try_activate(release, files):
                await asyncio.sleep(RETRY_SECONDS)

    async def try_activate(self, release: str, files: tuple[EngineFile, ...]) -> bool:
        """Give the orders once; True where the engine serves the release afterwards."""
        state = await self.read_state()
        if state is None:
            return False
        if state.active == release:
            return True
        if release not in state.loaded and not await self.give(OrderKind.LOAD, release, files):
            return False
        # From here until the state is read back nobody knows which release is served.
        self.note_state(None)
        await self.give(OrderKind.ACTIVATE, release, ())
        state = await self.read_state()
        return state is not None and state.active == release

    async def give(self, kind: OrderKind, release: str, files: tuple[EngineFile, ...]) -> bool:
        """Give one order; True where the engine said that it was carried out."""
        order = Order(kind, release, self.fence(), files)
        result = await self.engine.order(order, self.timeout_seconds)
        succeeded = isinstance(result, Success)
        metrics.ORDERS.labels(kind.value, "ok" if succeeded else "failed").inc()
        if not succeeded:
            error = result.failure()
            LOG.warning("order.failed", kind=kind.value, release=release, error=error.message)
        return succeeded
