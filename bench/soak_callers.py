"""Callers of a soak: they ask the directory for addresses and send one request after another."""

import asyncio
import random
import re
from collections.abc import Callable, Sequence

import aiohttp

from review.harness import HOST, KEY, MODEL, ZONES, Daemon, is_whole
from verbenaward.http_client import send_once

from .soak_counting import Ending, RequestResult
from .soak_deployment import SoakDeployment
from .soak_traffic import SUBJECTS, PlannedRequest

ADDRESS_SECONDS = 2.0
"""How long a caller keeps the addresses of the directory (`address_ttl_seconds`)."""
CONNECT_SECONDS = 1.0
LONGEST_GAP_SECONDS = 3.2
"""A stream is left after a gap of max(2 s, 4 x target, 8 x gap target)."""
EVENT_PATTERN = re.compile(rb"id: \d+\n[^\n]*\n\n")


class Addresses:
    """Addresses that the directory has named to the callers of one zone."""

    def __init__(self, deployment: SoakDeployment, zone: str) -> None:
        self.deployment = deployment
        self.zone = zone
        self.named: list[Daemon] = []
        self.failed: set[str] = set()

    async def keep_fresh(self) -> None:
        """Ask again each ADDRESS_SECONDS, until cancelled; without an answer keep the old ones."""
        while True:
            named = await self.deployment.resolve(self.zone)
            if named:
                self.named = named
                self.failed.clear()
            await asyncio.sleep(ADDRESS_SECONDS if named else 0.2)

    def choose(self, rng: random.Random) -> Daemon | None:
        """Return an entry process, not one that has failed since the last answer if possible."""
        named: Sequence[Daemon] = self.deployment.used_entries or self.named
        usable = [entry for entry in named if entry.name not in self.failed]
        return rng.choice(usable or named) if named else None


class Callers:
    """All callers of a soak.

    Attributes:
      results: What they have seen, as the requests end.
      began_at: When the traffic began, since the record began.
    """

    def __init__(self, deployment: SoakDeployment, seed: int) -> None:
        self.deployment = deployment
        self.rng = random.Random(f"{seed} addresses")
        self.results: list[RequestResult] = []
        self.began_at = 0.0
        self.sending: set[asyncio.Task[None]] = set()
        self.kept, self.single = (
            aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(limit=0, force_close=is_single),
                middlewares=(send_once,),
                auto_decompress=False,
            )
            for is_single in (False, True)
        )

    def now(self) -> float:
        """Return the time since the traffic began, in seconds."""
        return self.deployment.record.now() - self.began_at

    async def run(
        self, requests: Sequence[PlannedRequest], on_begin: Callable[[], None] = lambda: None
    ) -> None:
        """Send requests from all zones in turn, and wait until the last one has ended.

        Args:
          requests: Requests in their order.
          on_begin: Called when the traffic begins.
        """
        addresses = [Addresses(self.deployment, zone) for zone in ZONES]
        refreshing = [self.deployment.background(item.keep_fresh()) for item in addresses]
        while not all(item.named for item in addresses):
            await asyncio.sleep(0.05)
        self.began_at = self.deployment.record.now()
        on_begin()
        for number, request in enumerate(requests):
            await asyncio.sleep(max(0.0, request.at - self.now()))
            known = addresses[number % len(addresses)]
            entry = known.choose(self.rng)
            if entry is not None:
                task = asyncio.create_task(self.send(request, known, entry))
                self.sending.add(task)
                task.add_done_callback(self.sending.discard)
        await asyncio.gather(*self.sending)
        for task in refreshing:
            task.cancel()

    async def send(self, request: PlannedRequest, addresses: Addresses, entry: Daemon) -> None:
        """Send one request and record what became of it."""
        attempt, path = request.attempt, request.path
        reader = AnswerReader(self, request)
        sent_at = self.now()
        self.deployment.record.write(
            "sent", id=attempt, path=path, to=entry.name, kept=request.is_kept
        )
        session = self.kept if request.is_kept else self.single
        ending, error = await reader.read(session, entry, headers_of(request))
        if ending is Ending.NO_CONNECTION:
            addresses.failed.add(entry.name)
        result = RequestResult(
            attempt=attempt,
            entry=entry.name,
            sent_at=sent_at,
            ended_at=self.now(),
            ending=ending,
            status=reader.status,
            reason=reader.reason or error,
            is_whole=reader.status == 200 and is_whole(path, attempt, bytes(reader.body)),
            event_times=tuple(reader.event_times),
            verdict=reader.verdict,
        )
        self.results.append(result)
        self.deployment.record.write(
            "answered", id=attempt, status=result.status, ending=ending.value,
            whole=result.is_whole, events=len(result.event_times), reason=result.reason,
        )  # fmt: skip

    async def close(self) -> None:
        """Close all connections."""
        for task in tuple(self.sending):
            task.cancel()
        await self.kept.close()
        await self.single.close()


def headers_of(request: PlannedRequest) -> dict[str, str]:
    """Return the headers of a request."""
    headers = {
        "Host": HOST,
        "X-Attempt-Id": request.attempt,
        "X-Deadline-Ms": str(request.load.deadline_ms),
        "Authorization": f"Bearer {KEY}",
    }
    if request.load.is_stream:
        # A deadly request comes again with the same prompt.
        rng = random.Random(request.path if request.is_deadly else request.attempt)
        part = f"{rng.randrange(SUBJECTS):08x}:40,{rng.randrange(2**32):08x}:560"
        headers |= {"X-Model": MODEL, "X-Token-Usage": "600,60", "X-Prompt-Prefix-Hash": part}
    return headers


class AnswerReader:
    """Reads the answer of one request.

    Attributes:
      status: Its status; 0 without an answer.
      reason: Its header X-Reason.
      verdict: Its header X-Verdict.
      body: What was received of its body.
      event_times: When its events were received, since the traffic began.
    """

    def __init__(self, callers: Callers, request: PlannedRequest) -> None:
        self.callers = callers
        self.request = request
        self.status = 0
        self.reason = ""
        self.verdict = ""
        self.body = bytearray()
        self.event_times: list[float] = []

    async def read(
        self, session: aiohttp.ClientSession, entry: Daemon, headers: dict[str, str]
    ) -> tuple[Ending, str]:
        """Send the request and read its answer; return how it ended, and the error."""
        load, url = self.request.load, f"http://{entry.front}{self.request.path}"
        timeout = aiohttp.ClientTimeout(load.deadline_ms / 1000, sock_connect=CONNECT_SECONDS)
        try:
            async with session.request(
                load.method,
                url,
                headers=headers,
                timeout=timeout,
                data=self.request.body or None,
            ) as answer:
                self.status = answer.status
                self.reason = answer.headers.get("X-Reason", "")
                self.verdict = answer.headers.get("X-Verdict", "")
                await self.read_body(answer)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            return Ending.NO_CONNECTION, type(error).__name__
        except TimeoutError as error:
            return Ending.ABANDONED, type(error).__name__
        except (aiohttp.ClientError, OSError) as error:
            return Ending.LOST, type(error).__name__
        return Ending.COMPLETE, ""

    async def read_body(self, answer: aiohttp.ClientResponse) -> None:
        """Read the body as it comes.

        Raises:
          TimeoutError: A gap between two events, or the whole answer, lasted too long.
          ClientError: The connection ended before the body did.
        """
        while True:
            limit = LONGEST_GAP_SECONDS if self.event_times else None
            data = await asyncio.wait_for(answer.content.readany(), limit)
            if not data:
                return
            self.body += data
            if self.request.load.is_stream:
                now = self.callers.now()
                new = len(EVENT_PATTERN.findall(self.body)) - len(self.event_times)
                self.event_times.extend([now] * new)
