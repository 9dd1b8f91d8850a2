"""A daemon of the direct mode as a real process, at the stand-in of the users' platform."""

import asyncio
import contextlib
import dataclasses
import json
import os
import signal
import sys
import tempfile
from pathlib import Path

from standins.platform import ZONES, PlatformStandIn, free_address
from verbenaward.schema.settings import DirectSettings

READY_SECONDS = 10.0
SIGNAL_SECONDS = 0.2
"""Time after which a signal has been handled."""


class DaemonProcess:
    """A process of the direct mode that runs beside the event loop of a test."""

    def __init__(self, platform: PlatformStandIn, role: str = "entry", **direct) -> None:
        self.folder = tempfile.TemporaryDirectory()
        self.log_file = Path(self.folder.name) / "entry.log"
        self.settings_file = Path(self.folder.name) / "entry.json"
        self.listen = f"{platform.next_host()}:{platform.control_port}"
        addresses = {name: free_address() for name in ("front", "readiness", "directory")}
        self.direct = DirectSettings(zones=ZONES, pulse_bytes_per_second=100_000, **addresses)
        self.direct = dataclasses.replace(self.direct, **direct)
        shown = {name: getattr(self.direct, name) for name in (*addresses, "zones", *direct)}
        settings = {
            "format": 1,
            "role": role,
            "vm": f"{role}-real",
            "region": ZONES["zone-a"],
            "zone": "zone-a",
            "listen": self.listen,
            "platform": {
                "key_value": f"http://{platform.store_address}",
                "key_value_adapter": "leased",
            },
            "direct": {"pulse_bytes_per_second": 100_000, **shown},
        }
        self.settings_file.write_text(json.dumps(settings))
        self.process = None

    async def start(self) -> None:
        """Start the process, without waiting until it is ready."""
        with self.log_file.open("ab") as log:
            command = (sys.executable, "-m", "verbenaward.daemon", str(self.settings_file))
            self.process = await asyncio.create_subprocess_exec(*command, stderr=log)

    async def start_with_signal(self, number: signal.Signals) -> None:
        """Start the process and send it a signal while it waits for its settings."""
        text = self.settings_file.read_text()
        sound = self.settings_file.with_suffix(".sound")
        self.settings_file.rename(sound)
        os.mkfifo(self.settings_file)
        await self.start()
        async with asyncio.timeout(READY_SECONDS):
            pipe = await asyncio.to_thread(self.settings_file.open, "w")
        sound.replace(self.settings_file)
        self.send(number)
        await asyncio.sleep(SIGNAL_SECONDS)
        # A process that the signal has ended reads nothing.
        with contextlib.suppress(BrokenPipeError), pipe:
            pipe.write(text)

    async def wait_until_ready(self) -> None:
        """Wait until the process says that it is ready."""
        host, _, port = self.direct.readiness.rpartition(":")
        async with asyncio.timeout(READY_SECONDS):
            while True:
                with contextlib.suppress(OSError):
                    reader, writer = await asyncio.open_connection(host, int(port))
                    writer.write(b"GET /readyz HTTP/1.0\r\n\r\n")
                    answer = await reader.read()
                    writer.close()
                    if answer.split(b" ")[1:2] == [b"200"]:
                        return
                await asyncio.sleep(0.05)

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        self.process.send_signal(number)

    async def end(self) -> int:
        """Wait until the process has ended by itself, and return its exit status."""
        async with asyncio.timeout(self.direct.grace_seconds + READY_SECONDS):
            return await self.process.wait()

    async def close(self) -> None:
        """Kill the process if it still runs, and remove its files."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()
        self.folder.cleanup()

    def lines(self) -> list[dict]:
        """Return the log lines so far."""
        text = self.log_file.read_text()
        assert all(line.startswith("{") for line in text.splitlines()), text
        return [json.loads(line) for line in text.splitlines()]
