"""Commands that read the log files of daemons."""

import itertools
from pathlib import Path
from typing import Annotated

import typer

from . import options
from .log_analysis import (
    LogLine,
    event_text,
    find_log_faults,
    lines_of_request,
    outcome_cause,
    state_changes_during,
)
from .output import EXIT_BAD_INPUT, EXIT_FAILED, fail, fail_with_faults, print_json, print_table

MAXIMUM_FAULTS = 50
"""Faults that `logs check` reports before it stops reading."""
LogsArgument = Annotated[list[Path], typer.Argument(help="Log files of one or more processes.")]
logs_commands = typer.Typer(help="Read the log files of daemons.", no_args_is_help=True)


def explain_command(
    request: Annotated[str, typer.Argument(help="Request ID: the caller's ID of one attempt.")],
    logs: LogsArgument,
    around: Annotated[
        bool,
        typer.Option("--around", help="Also show state changes of the processes that handled it."),
    ] = False,
    as_json: options.JsonOption = False,
) -> None:
    """Show the log lines of one request and the reason for its outcome."""
    require_files(logs)
    request_lines = lines_of_request(logs, request)
    if not request_lines:
        fail(
            f"no log line has the request ID {request}",
            "pass the logs of all entry processes; lines of successes may be dropped under load",
            EXIT_FAILED,
        )
    state_changes = state_changes_during(logs, request_lines) if around else []
    shown = sorted([*request_lines, *state_changes], key=lambda line: line.at)
    if as_json:
        print_json(
            {"cause": outcome_cause(request_lines), "lines": [line.values for line in shown]}
        )
        return
    print_table(
        ("ms", "vm", "event", "what"), (table_row(line, request_lines[0]) for line in shown)
    )
    typer.echo(f"cause: {outcome_cause(request_lines)}")


def table_row(line: LogLine, first: LogLine) -> tuple[object, ...]:
    """Return the table cells of a line, with its time in ms since the first line."""
    since = (line.at - first.at).total_seconds() * 1000
    return f"{since:.1f}", line.vm, line.event, event_text(line)


@logs_commands.command("check")
def check_command(logs: LogsArgument, as_json: options.JsonOption = False) -> None:
    """Check that each log line can be parsed and has the fields of its event."""
    require_files(logs)
    faults = list(itertools.islice(find_log_faults(logs), MAXIMUM_FAULTS))
    if as_json:
        print_json({"faults": faults})
        raise typer.Exit(EXIT_BAD_INPUT if faults else 0)
    if faults:
        fail_with_faults(faults)
    typer.echo("no faults")


def require_files(logs: list[Path]) -> None:
    """Exit with an error if a file does not exist.

    Raises:
      typer.Exit: A file does not exist.
    """
    for file in logs:
        if not file.is_file():
            fail(f"{file} is not a file", "pass paths of log files", EXIT_BAD_INPUT)
