"""What a running process uses, and a lower limit on its descriptors."""

import asyncio
import contextlib
import resource
from pathlib import Path

SAMPLE_SECONDS = 0.05


def limit_descriptors(pid, count):
    """Set the limit of a process on open descriptors."""
    resource.prlimit(pid, resource.RLIMIT_NOFILE, (count, count))


def open_descriptors(pid):
    """Return how many descriptors a process has open."""
    return len(list(Path(f"/proc/{pid}/fd").iterdir()))


class DescriptorPeak:
    """Samples how many descriptors a process has open.

    Attributes:
      most: Most of all samples.
    """

    def __init__(self, pid):
        self.pid = pid
        self.most = 0

    async def sample(self):
        """Sample until cancelled, or until the process has ended."""
        with contextlib.suppress(FileNotFoundError):
            while True:
                self.most = max(self.most, open_descriptors(self.pid))
                await asyncio.sleep(SAMPLE_SECONDS)
