"""Registry of the benchmarks, and the output of their results."""

import json
import resource
from collections.abc import Awaitable, Callable, Sequence
from typing import Any

from verbenaward.registry import Registry

Bench = Callable[[Sequence[str]], Awaitable[dict[str, Any]]]
BENCHES: Registry[Bench] = Registry("benchmark")
BROKEN = "broken"
"""Field of a result that lists what broke a verdict; the exit status is 1 unless it is empty."""
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
    print_fields(result, "")


def print_fields(fields: dict[str, Any], indent: str) -> None:
    """Print fields one a line; those of an inner table and the items of a list are indented."""
    for name, value in fields.items():
        if isinstance(value, dict) and value:
            print(f"{indent}{name}")
            print_fields(value, f"{indent}  ")
        elif isinstance(value, list) and value:
            print(f"{indent}{name}")
            for item in value:
                print(f"{indent}  {item}")
        else:
            print(f"{indent}{name:28} {value}")
