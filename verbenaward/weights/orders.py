"""Orders to the engine of this VM: sent one at a time, each confirmed by reading its state."""

import asyncio
from collections.abc import Callable

from returns.result import Success

from .. import clock, metrics
from ..logs import get_logger
from ..platform.engine import Engine, EngineFile, EngineState, Order, OrderKind

LOG = get_logger(__name__)
RETRY_SECONDS = 0.3


class EngineOrders:
    """Sends orders to the engine until its state shows that they were carried out.

    Attributes:
      engine: Port to the engine.
      checks_fence: True if the engine rejects orders with an older fencing token.
      timeout_seconds: Time limit of one order.
      fence: Returns the current fencing token.
      not_before: Time before which no order is sent, monotonic. Without fencing, an order of
        an earlier process may still run in the engine until then.
      state: State that the engine last reported; None while unknown.
      lock: Held while a release is activated, so that orders never overlap.
      on_state: Called with every new state, None included.
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
        """Request the engine's state and record it; None if the request fails."""
        result = await self.engine.state()
        self.set_state(result.unwrap() if isinstance(result, Success) else None)
        return self.state

    def set_state(self, state: EngineState | None) -> None:
        """Record the engine's state and pass it to the callback."""
        self.state = state
        self.on_state(state)

    async def activate(self, release: str, files: tuple[EngineFile, ...]) -> None:
        """Make the engine serve a release; returns once its state confirms it."""
        async with self.lock:
            await asyncio.sleep(max(0.0, self.not_before - clock.now()))
            while not await self.try_activate(release, files):
                await asyncio.sleep(RETRY_SECONDS)

    async def try_activate(self, release: str, files: tuple[EngineFile, ...]) -> bool:
        """Send the orders once; True if the engine serves the release afterwards."""
        state = await self.read_state()
        if state is None:
            return False
        if state.active == release:
            return True
        if release not in state.loaded and not await self.send(OrderKind.LOAD, release, files):
            return False
        # Until the state is read again, it is unknown which release the engine serves.
        self.set_state(None)
        await self.send(OrderKind.ACTIVATE, release, ())
        state = await self.read_state()
        return state is not None and state.active == release

    async def send(self, kind: OrderKind, release: str, files: tuple[EngineFile, ...]) -> bool:
        """Send one order; True if the engine confirmed it."""
        order = Order(kind, release, self.fence(), files)
        result = await self.engine.order(order, self.timeout_seconds)
        succeeded = isinstance(result, Success)
        metrics.ORDERS.labels(kind.value, "ok" if succeeded else "failed").inc()
        if not succeeded:
            error = result.failure()
            LOG.warning("order.failed", kind=kind.value, release=release, error=error.message)
        return succeeded
