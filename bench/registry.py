"""Registry of the benchmarks, and the output of their results."""

import json
import resource
from collections.abc import Awaitable, Callable, Sequence
from typing import Any

from verbenaward.registry import Registry

Bench = Callable[[Sequence[str]], Awaitable[dict[str, Any]]]
BENCHES: Registry[Bench] = Registry("benchmark")
WANTED_OPEN_FILES = 65_536


def raise_file_limit() -> None:
    """Raise the limit on open files to WANTED_OPEN_FILES, or as far as the hard limit allows."""
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(WANTED_OPEN_FILES, hard), hard))


def print_result(result: dict[str, Any], as_json: bool) -> None:
    """Print a result as a table, or as one line of JSON."""
    if as_json:
        print(json.dumps(result))
        return
    for name, value in result.items():
        print(f"{name:28} {value}")
