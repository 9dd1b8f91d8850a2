"""Steps of a scripted session with real processes, whose transcript must equal a golden file.

The random part of loopback addresses and the times of acceptance are replaced by placeholders.
Set VERBENAWARD_WRITE_GOLDEN=1 to regenerate the file.
"""

import asyncio
import json
import os
import re
import sys
import tempfile
from pathlib import Path

from behave import given, then, when

from bench.cluster import Cluster, ClusterPlan
from bench.models import make_version, manifest_of
from bench.operations import wait_until_routed, wait_until_served, wait_until_slots_held
from verbenaward.configuration.manifest import canonical

GOLDEN = Path(__file__).resolve().parent.parent / "session" / "golden"
REPLACEMENTS = (
    (re.compile(r"127\.\d+\.(\d+\.\d+)"), r"127.N.\1"),
    (re.compile(r"\d{4}-\d\d-\d\d \d\d:\d\d:\d\d"), "DATE"),
)
SHOWN_HEADERS = ("X-Verdict", "X-Reason", "X-Request-Id", "X-Release", "Retry-After")


@given("a running system of two entry, three engine and one service VMs")
def start_system(context):
    context.folder = tempfile.TemporaryDirectory()
    origin = Path(context.folder.name)
    context.versions = [make_version(origin, f"v{index}", 200_000, index) for index in (1, 2)]
    plan = ClusterPlan(
        entries=2,
        engines=3,
        services=1,
        origin_folder=origin,
        entry={"read_seconds": 1.0},
        log_level="critical",
    )

    async def run():
        context.cluster = Cluster(plan)
        await context.cluster.start()

    context.add_cleanup(lambda: context.loop.run_until_complete(context.cluster.stop()))
    context.loop.run_until_complete(run())


@when("an operator and callers run the scripted session")
def run_session(context):
    context.transcript = []
    context.loop.run_until_complete(Session(context).run())


@then('the transcript equals the golden file "{name}" byte for byte')
def compare_transcript(context, name):
    text = "\n".join(context.transcript) + "\n"
    for pattern, replacement in REPLACEMENTS:
        text = pattern.sub(replacement, text)
    path = GOLDEN / name
    if os.environ.get("VERBENAWARD_WRITE_GOLDEN"):
        path.parent.mkdir(exist_ok=True)
        path.write_text(text)
    assert text == path.read_text(), text


class Session:
    """Runs the commands and requests of the session and appends what they print to a transcript."""

    def __init__(self, context):
        self.cluster = context.cluster
        self.versions = context.versions
        self.transcript = context.transcript
        self.folder = Path(context.folder.name)
        self.entry = self.cluster.address_of("entry-0")

    async def run(self):
        first, second = self.versions
        await self.apply(first, 1)
        await self.release_status()
        await self.ctl("release", "plan", str(self.manifest_file(second)), *self.key_value())
        await self.requests()
        await self.reservations()
        await self.bad_input()
        await self.apply(second, 2)
        await self.ctl("release", "rollback", "1", *self.key_value(), "--author", "operator")
        await self.wait_until_active(first)
        await self.ctl("release", "history", *self.key_value())
        await self.ctl("release", "diff", "1", "2", *self.key_value())
        await self.drain()

    def key_value(self):
        return ("--key-value", self.cluster.key_value)

    def manifest_file(self, version):
        path = self.folder / f"{version.release.model.version}.json"
        path.write_bytes(canonical(manifest_of(version, {"hospital-norte": 3})))
        return path

    async def ctl(self, *arguments):
        command_line = " ".join(item.replace(str(self.folder), "") for item in arguments)
        self.transcript.append(f"$ verbenactl {command_line}")
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "verbenaward.ctl.main", *arguments,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
            env={**os.environ, "COLUMNS": "120", "TERM": "dumb", "NO_COLOR": "1"},
        )  # fmt: skip
        output, _ = await process.communicate()
        text = output.decode().replace(str(self.folder), "")
        self.transcript += [line.rstrip() for line in text.rstrip().splitlines()]
        self.transcript.append(f"exit {process.returncode}")

    async def apply(self, version, revision):
        path = str(self.manifest_file(version))
        entries = ("--entry", self.entry)
        await self.ctl("apply", "-f", path, *self.key_value(), *entries, "--author", "operator")
        await self.ctl("config", "wait", str(revision), "--entry", self.entry, "--timeout", "60")
        await self.wait_until_active(version)
        await self.ctl("status", *self.key_value(), "--entry", self.entry)

    async def wait_until_active(self, version):
        vms = self.cluster.engine_vms
        assert await wait_until_served(self.cluster, version.digest, vms, 60)
        assert await wait_until_routed(self.cluster, version.digest, len(vms), 60)
        assert await wait_until_slots_held(self.cluster, "reservation", 60)

    async def call(self, method, path, body=b"", **headers):
        self.transcript.append(f"> {method} {path} {headers or ''}".rstrip())
        values = {name.replace("_", "-"): value for name, value in headers.items()}
        async with self.cluster.session.request(
            method, f"http://{self.entry}{path}", data=body, headers=values
        ) as response:
            shown = {
                name: response.headers[name] for name in SHOWN_HEADERS if name in response.headers
            }
            self.transcript.append(f"< {response.status} {json.dumps(shown)}")
            text = (await response.read()).decode()
            self.transcript += [line for line in text.splitlines() if line]

    async def post_chat(self, request_id, **fields):
        message = {"role": "user", "content": "Which homes are free?"}
        body = {"model": "care-assistant", "max_tokens": 3, "messages": [message], **fields}
        await self.call(
            "POST", "/v1/chat/completions", json.dumps(body).encode(),
            X_Request_Id=request_id, X_Workspace="hospital-norte",
        )  # fmt: skip

    async def release_status(self):
        arguments = (*self.key_value(), "--entry", self.entry)
        await self.ctl("release", "status", *arguments)
        await self.ctl("release", "status", "--watch", *arguments)

    async def requests(self):
        await self.post_chat("question-1")
        await self.post_chat("question-2", stream=True)
        await self.post_chat("question-3", model="unknown-model")

    async def reservations(self):
        for attempt in ("reserve-1", "reserve-2"):
            await self.call(
                "POST", "/v1/services/reservations/beds", b"bed 7 for Ana",
                X_Request_Id=attempt, Idempotency_Key="bed-7",
            )  # fmt: skip
        ledger = await self.cluster.get_json(
            f"http://{self.cluster.backend_of('service-0')}/ledger"
        )
        self.transcript.append(f"the service ran {len(ledger['runs'])} reservation(s)")

    async def bad_input(self):
        path = "/v1/chat/completions"
        await self.call("POST", path, b"{", X_Request_Id="bad-1")
        await self.call("POST", path, b"{}", X_Request_Id="bad-2", X_Class="royal")
        await self.call("POST", path, b"{}", X_Request_Id="bad-3", X_Deadline_Ms="-1")
        await self.call("POST", path, b" " * 5_000_000, X_Request_Id="bad-4")
        await self.oversized_header(path)
        await self.slow_caller(path)
        await self.call("GET", "/v1/nothing", X_Request_Id="bad-6")
        await self.call("GET", path, X_Request_Id="bad-7")
        await self.call("POST", "/v1/services/none/x", b"", X_Request_Id="bad-5")
        bad = self.folder / "bad.json"
        bad.write_text('{\n "format": 1,\n "releases": [{"role": "a"}],\n "colour": "red"\n}')
        await self.ctl("check", str(bad))
        await self.ctl("release", "plan", str(self.folder / "missing.json"), *self.key_value())

    async def oversized_header(self, path):
        self.transcript.append(f"> POST {path} with a header of 40,000 bytes")
        async with self.cluster.session.post(
            f"http://{self.entry}{path}", data=b"{}", headers={"X-Workspace": "w" * 40_000}
        ) as response:
            text = await response.text()
            self.transcript.append(f"< {response.status} {'Traceback' not in text}")

    async def slow_caller(self, path):
        self.transcript.append(f"> POST {path} with 3 of 10 bytes, then silence")
        host, _, port = self.entry.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        lines = (f"POST {path} HTTP/1.1", "Host: x", "X-Request-Id: bad-8", "Content-Length: 10")
        writer.write("\r\n".join([*lines, "", "{ }"]).encode())
        answer = (await reader.readuntil(b"\r\n\r\n")).decode()
        writer.close()
        shown = [line for line in answer.splitlines() if line.startswith(("HTTP", "X-"))]
        self.transcript.append(f"< {', '.join(shown)}")

    async def drain(self):
        await self.ctl("drain", "engine-1", "--entry", self.entry)
        await self.ctl("drain", "entry-1", "--entry", self.entry)
        await self.wait_until_only_entry_is(self.entry)
        await self.call("GET", "/v1/addresses")
        await self.post_chat("question-4")
        await self.ctl("status", *self.key_value(), "--entry", self.entry)

    async def wait_until_only_entry_is(self, address):
        for _ in range(200):
            body = await self.cluster.get_json(f"http://{self.entry}/v1/addresses")
            if body["addresses"] == [address]:
                return
            await asyncio.sleep(0.05)
        raise AssertionError("/v1/addresses still lists the drained entry VM")
