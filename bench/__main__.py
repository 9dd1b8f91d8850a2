"""Run one benchmark: `python -m bench NAME [options] --json`."""

import asyncio
import sys

from . import (
    ablate,
    budget_designs,
    config,
    direct_hop,
    drawn,
    footprint,
    once,
    policies,
    recover,
    requests,
    soak,
    spread,
    tokens,
    update,
)
from .registry import BENCHES, BROKEN, print_result, raise_file_limit

__all__ = [
    "ablate",
    "budget_designs",
    "config",
    "direct_hop",
    "drawn",
    "footprint",
    "once",
    "policies",
    "recover",
    "requests",
    "soak",
    "spread",
    "tokens",
    "update",
]


def main() -> None:
    """Run the benchmark named on the command line."""
    if len(sys.argv) < 2 or sys.argv[1].startswith("-"):
        print(f"usage: python -m bench NAME [options]; benchmarks: {', '.join(BENCHES.items)}")
        raise SystemExit(2)
    raise_file_limit()
    arguments = [item for item in sys.argv[2:] if item != "--json"]
    result = asyncio.run(BENCHES.find(sys.argv[1])(arguments))
    print_result(result, "--json" in sys.argv)
    if result.get(BROKEN):
        raise SystemExit(1)


if __name__ == "__main__":
    main()
