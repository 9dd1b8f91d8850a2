"""CPU time and memory of processes, as /proc reports them."""

import os
from pathlib import Path

TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


def cpu_seconds(pid: int) -> float:
    """Return the user and system CPU time of a process; 0 if it has ended."""
    try:
        fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    except OSError:
        return 0.0
    # utime and stime: fields 14 and 15 of proc(5), the first two of which are cut off above.
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND


def resident_mebibytes(pid: int) -> float:
    """Return the resident memory of a process; 0 if it has ended."""
    try:
        pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    except OSError:
        return 0.0
    return pages * PAGE_BYTES / 2**20


def peak_megabytes(pid: int) -> float:
    """Return the peak of the resident memory of a process; 0 if it has ended."""
    try:
        lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    except OSError:
        return 0.0
    peaks = [int(line.split()[1]) for line in lines if line.startswith("VmHWM:")]
    return peaks[0] * 1024 / 1e6 if peaks else 0.0
