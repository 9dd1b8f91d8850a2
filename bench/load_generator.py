"""Callers that look up addresses, send requests and check every answer."""

import asyncio
import hashlib
import json
import random
import time
import uuid
from collections import Counter
from dataclasses import dataclass, field
from typing import Any

import aiohttp

from standins.engine import generated_tokens

from .models import MODEL, SERVICE

CALL_TIMEOUT_SECONDS = 30.0


@dataclass(slots=True)
class Tally:
    """Outcomes of the requests of callers.

    Attributes:
      latencies: Seconds from the first attempt to the end of each complete answer.
      first_tokens: Seconds to the first token of each stream.
      answered: Complete and correct answers.
      sent: Requests, each counted once however often it was resent.
      refused: Refusals by verdict and reason.
      not_run_ids: Request ids that were reported as not run.
      not_run_keys: Idempotency keys whose last verdict was not-run.
      lost: Requests with neither a complete answer nor a verdict.
      crossed: Answers that belong to another request.
      cut_off: Streams that ended early.
      partial: Answers of an engine that served unknown weights.
      late: Complete answers after the deadline.
      finished: Monotonic times of the complete answers.
      by_workspace: Complete answers by workspace.
      lost_reasons: Attempts that ended without a verdict, by error or status.
    """

    latencies: list[float] = field(default_factory=list)
    first_tokens: list[float] = field(default_factory=list)
    answered: int = 0
    sent: int = 0
    refused: Counter[str] = field(default_factory=Counter)
    not_run_ids: set[str] = field(default_factory=set)
    not_run_keys: set[str] = field(default_factory=set)
    lost: int = 0
    crossed: int = 0
    cut_off: int = 0
    partial: int = 0
    late: int = 0
    finished: list[float] = field(default_factory=list)
    by_workspace: Counter[str] = field(default_factory=Counter)
    lost_reasons: Counter[str] = field(default_factory=Counter)


@dataclass(slots=True)
class Caller:
    """Sends requests and checks the answers.

    Attributes:
      session: HTTP client.
      entries: Entry processes to get the list of addresses from.
      served: Digests of the weights that engines may serve.
      tally: Outcomes of all requests.
      deadline_seconds: Deadline of each request.
      addresses: Entry addresses from the last lookup.
      addresses_until: Monotonic time at which they expire.
      rng: Source of all random choices.
    """

    session: aiohttp.ClientSession
    entries: list[str]
    served: set[str]
    tally: Tally = field(default_factory=Tally)
    deadline_seconds: float = 20.0
    addresses: list[str] = field(default_factory=list)
    addresses_until: float = 0.0
    rng: random.Random = field(default_factory=random.Random)

    async def address(self) -> str:
        """Return the entry address to use, after a new lookup if the last one has expired."""
        now = time.monotonic()
        if now >= self.addresses_until or not self.addresses:
            await self.look_up_addresses(now)
        return self.rng.choice(self.addresses or self.entries)

    async def look_up_addresses(self, now: float) -> None:
        """Look up addresses at the entry processes in random order until one answers."""
        self.addresses_until = now + 0.5
        for entry in self.rng.sample(self.entries, len(self.entries)):
            try:
                async with self.session.get(
                    f"http://{entry}/v1/addresses", timeout=aiohttp.ClientTimeout(total=2)
                ) as response:
                    body = json.loads(await response.read())
            except (aiohttp.ClientError, asyncio.TimeoutError, ValueError, OSError):
                continue
            self.addresses = body["addresses"]
            self.addresses_until = now + float(body["ttl_seconds"])
            return

    async def send_prompt(
        self,
        prompt: str,
        tokens: int = 4,
        stream: bool = False,
        workspace: str = "w0",
        resends: int = 3,
    ) -> str:
        """Send a prompt, with a retry after a failed connection, and return the outcome."""
        body = json.dumps(
            {
                "model": MODEL,
                "stream": stream,
                "max_tokens": tokens,
                "messages": [{"role": "user", "content": prompt}],
            }
        ).encode()
        self.tally.sent += 1
        started = time.monotonic()
        outcome = "lost"
        for _ in range(resends + 1):
            outcome = await self.attempt_prompt(body, prompt, tokens, stream, workspace, started)
            if outcome not in ("no-connection", "resend"):
                break
            await asyncio.sleep(0.05)
        self.count_outcome(outcome, workspace, time.monotonic() - started)
        return outcome

    async def send_prompt_untallied(self, prompt: str, stream: bool) -> str:
        """Send a prompt once, through a random entry process, without counting its outcome."""
        message = {"role": "user", "content": prompt}
        document = {"model": MODEL, "max_tokens": 1, "stream": stream, "messages": [message]}
        body = json.dumps(document).encode()
        return await self.attempt_prompt(body, prompt, 1, stream, "w0", time.monotonic())

    async def attempt_prompt(
        self, body: bytes, prompt: str, tokens: int, stream: bool, workspace: str, started: float
    ) -> str:
        """Send a prompt once and return the outcome of this attempt."""
        address = await self.address()
        request_id = uuid.uuid4().hex
        headers = {
            "X-Workspace": workspace,
            "X-Request-Id": request_id,
            "X-Deadline-Ms": str(int(self.deadline_seconds * 1000)),
            "Content-Type": "application/json",
        }
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_SECONDS)
        opened = False
        try:
            async with self.session.post(
                f"http://{address}/v1/chat/completions", data=body, headers=headers, timeout=timeout
            ) as response:
                opened = True
                verdict = response.headers.get("X-Verdict", "")
                if verdict != "ran":
                    await response.read()
                    return self.record_refusal(response, verdict, request_id)
                if stream:
                    return await self.check_stream(response, prompt, tokens, started)
                return self.check_complete_answer(
                    json.loads(await response.read()), prompt, tokens, request_id
                )
        except aiohttp.ClientConnectorError:
            self.addresses_until = 0.0
            return "no-connection"
        except (aiohttp.ClientError, asyncio.TimeoutError, ValueError, OSError) as error:
            self.addresses_until = 0.0
            self.tally.lost_reasons[f"{type(error).__name__} opened={opened}"] += 1
            return "cut-off" if opened and stream else "lost"

    def record_refusal(
        self, response: aiohttp.ClientResponse, verdict: str, request_id: str
    ) -> str:
        """Record a refusal and return its outcome: refused, or lost if it has no verdict."""
        if verdict == "not-run":
            self.tally.not_run_ids.add(request_id)
        reason = response.headers.get("X-Reason", "")
        if not verdict:
            self.tally.lost_reasons[f"status {response.status}"] += 1
            return "lost"
        return f"refused {verdict} {reason}"

    def check_complete_answer(self, answer: Any, prompt: str, tokens: int, request_id: str) -> str:
        """Check a non-streamed answer against its request and return the outcome."""
        text = answer["choices"][0]["message"]["content"]
        if answer["id"] != f"chatcmpl-{request_id}" or text != "".join(
            generated_tokens(prompt, tokens)
        ):
            return "crossed"
        return "answered" if answer["system_fingerprint"] in self.served else "partial"

    async def check_stream(
        self, response: aiohttp.ClientResponse, prompt: str, tokens: int, started: float
    ) -> str:
        """Read a stream to its end, check it and return the outcome."""
        words: list[str] = []
        fingerprints: set[str] = set()
        complete = False
        async for line in response.content:
            if line.startswith(b"data: [DONE]"):
                complete = True
            elif line.startswith(b"data: "):
                if not words:
                    self.tally.first_tokens.append(time.monotonic() - started)
                event = json.loads(line[6:])
                words.append(event["choices"][0]["delta"]["content"])
                fingerprints.add(event["system_fingerprint"])
        if not complete:
            return "cut-off"
        if words != generated_tokens(prompt, tokens):
            return "crossed"
        return "answered" if len(fingerprints) == 1 and fingerprints <= self.served else "partial"

    async def reserve(
        self, key: str, text: str, workspace: str = "w0", resends: int = 3, force_resends: int = 0
    ) -> str:
        """Make a reservation under an idempotency key, resending it; return the outcome."""
        self.tally.sent += 1
        started = time.monotonic()
        outcome = "lost"
        repeats = 0
        for _ in range(resends + force_resends + 1):
            outcome = await self.attempt_reservation(key, text, workspace)
            if outcome == "answered" and repeats < force_resends:
                repeats += 1
                continue
            if outcome == "answered" or outcome.startswith("refused may-have-run claimed"):
                break
            await asyncio.sleep(0.1)
        self.count_outcome(outcome, workspace, time.monotonic() - started)
        if outcome.startswith("refused not-run"):
            self.tally.not_run_keys.add(key)
        return outcome

    async def attempt_reservation(self, key: str, text: str, workspace: str) -> str:
        """Send a reservation once and return the outcome of this attempt."""
        address = await self.address()
        headers = {
            "X-Workspace": workspace,
            "Idempotency-Key": key,
            "X-Deadline-Ms": str(int(self.deadline_seconds * 1000)),
        }
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_SECONDS)
        body = text.encode()
        try:
            async with self.session.post(
                f"http://{address}/v1/services/{SERVICE}/beds",
                data=body,
                headers=headers,
                timeout=timeout,
            ) as response:
                payload = await response.read()
                verdict = response.headers.get("X-Verdict", "")
                if verdict != "ran":
                    reason = response.headers.get("X-Reason", "")
                    return f"refused {verdict or 'none'} {reason}"
                answer = json.loads(payload)
                expected = hashlib.sha256(body).hexdigest()
                return "answered" if answer["confirmed"] == expected else "crossed"
        except (aiohttp.ClientError, asyncio.TimeoutError, ValueError, OSError):
            self.addresses_until = 0.0
            return "lost"

    def count_outcome(self, outcome: str, workspace: str, seconds: float) -> None:
        """Count the outcome of a request in the tally."""
        tally = self.tally
        if outcome == "answered":
            tally.answered += 1
            tally.latencies.append(seconds)
            tally.finished.append(time.monotonic())
            tally.by_workspace[workspace] += 1
            tally.late += seconds > self.deadline_seconds
        elif outcome == "crossed":
            tally.crossed += 1
        elif outcome == "partial":
            tally.partial += 1
        elif outcome == "cut-off":
            tally.cut_off += 1
        elif outcome.startswith("refused"):
            tally.refused[outcome.removeprefix("refused ")] += 1
        else:
            tally.lost += 1


async def generate_load(
    caller: Caller,
    rate: float,
    seconds: float,
    tokens: int = 4,
    stream_share: float = 0.25,
    stop: asyncio.Event | None = None,
) -> None:
    """Send prompts at a constant rate, whether or not earlier ones were answered."""
    tasks: set[asyncio.Task[str]] = set()
    started = time.monotonic()
    count = int(rate * seconds)
    for index in range(count):
        await asyncio.sleep(max(0.0, started + index / rate - time.monotonic()))
        if stop is not None and stop.is_set():
            break
        stream = caller.rng.random() < stream_share
        prompt = f"session {index % 50}: question {index}"
        task = asyncio.create_task(caller.send_prompt(prompt, tokens, stream, f"w{index % 5}"))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
    await asyncio.gather(*tasks)
