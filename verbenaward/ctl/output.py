"""Output of the command-line tool (text, tables, JSON) and its exit statuses."""

from collections.abc import Iterable, Sequence
from typing import Any, NoReturn

import msgspec
import typer
from rich.console import Console
from rich.table import Table

from ..data import Fault

EXIT_FAILED = 1
EXIT_BAD_INPUT = 2
EXIT_CONFLICT = 3
EXIT_UNKNOWN = 4
EXIT_UNREACHABLE = 5

CONSOLE = Console()
ERROR_CONSOLE = Console(stderr=True)


def print_json(value: Any) -> None:
    """Print a value as one JSON document."""
    text = msgspec.json.format(msgspec.json.encode(value), indent=2).decode()
    typer.echo(text)


def print_table(headings: Sequence[str], rows: Iterable[Sequence[object]]) -> None:
    """Print a table with a heading row and without borders."""
    table = Table(*headings, box=None, pad_edge=False)
    for row in rows:
        table.add_row(*(str(cell) for cell in row))
    CONSOLE.print(table)


def fail(message: str, hint: str = "", code: int = EXIT_FAILED) -> NoReturn:
    """Print an error, and a hint on what to do next, to standard error, and exit.

    Raises:
      typer.Exit: Always.
    """
    ERROR_CONSOLE.print(f"error: {message}", markup=False, highlight=False, soft_wrap=True)
    if hint:
        ERROR_CONSOLE.print(f"  next: {hint}", markup=False, highlight=False, soft_wrap=True)
    raise typer.Exit(code)


def fail_without_entries() -> NoReturn:
    """Exit because no entry process answers.

    Raises:
      typer.Exit: Always.
    """
    fail("no entry process answers", "check the addresses given with --entry", EXIT_UNREACHABLE)


def fail_with_faults(faults: Sequence[Fault]) -> NoReturn:
    """Print every fault of a document to standard error, and exit.

    Raises:
      typer.Exit: Always.
    """
    for line in fault_lines(faults):
        ERROR_CONSOLE.print(line, markup=False, highlight=False, soft_wrap=True)
    raise typer.Exit(EXIT_BAD_INPUT)


def fault_lines(faults: Sequence[Fault]) -> list[str]:
    """Return one line of text for each fault, and a second one for its hint."""
    lines = []
    for fault in faults:
        location = f"{fault.source}: {fault.path}" if fault.path else fault.source
        lines.append(f"{location}: {fault.message}")
        if fault.hint:
            lines.append(f"    {fault.hint}")
    return lines
