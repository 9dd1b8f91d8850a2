"""Benches by name, and what they share."""

import json
import resource
from collections.abc import Awaitable, Callable, Sequence
from typing import Any

from verbenaward.registry import Registry

Bench = Callable[[Sequence[str]], Awaitable[dict[str, Any]]]
BENCHES: Registry[Bench] = Registry("bench")
FILES_WANTED = 65_536


def raise_file_limit() -> None:
    """Allow as many open connections as the machine lets this process have."""
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(FILES_WANTED, hard), hard))


def print_result(result: dict[str, Any], as_json: bool) -> None:
    """Print a result, as one JSON line where that is wanted."""
    if as_json:
        print(json.dumps(result))
        return
    for name, value in result.items():
        print(f"{name:28} {value}")
