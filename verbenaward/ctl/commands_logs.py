"""Commands that read the logs of daemons."""

import itertools
from pathlib import Path
from typing import Annotated

import typer

from . import options
from .output import EXIT_BAD_INPUT, EXIT_FAILED, fail, fail_with_faults, print_json, print_table
from .stories import LogLine, beliefs_around, cause_of, line_faults, lines_of_request, sentence

MOST_FAULTS = 50
Logs = Annotated[list[Path], typer.Argument(help="Log files of any number of processes.")]
logs_commands = typer.Typer(help="Reads the logs of daemons.", no_args_is_help=True)


def explain_command(
    request: Annotated[str, typer.Argument(help="Id of the caller's attempt.")],
    logs: Logs,
    around: Annotated[
        bool, typer.Option("--around", help="Show what the processes came to believe meanwhile.")
    ] = False,
    as_json: options.JsonOption = False,
) -> None:
    """Tell the story of one request, and why it ended as it did."""
    check_files(logs)
    story = lines_of_request(logs, request)
    if not story:
        fail(
            f"no line names {request}",
            "give the logs of all entry processes; successes may be dropped under load",
            EXIT_FAILED,
        )
    beliefs = beliefs_around(logs, story) if around else []
    shown = sorted([*story, *beliefs], key=lambda line: line.at)
    if as_json:
        print_json({"cause": cause_of(story), "lines": [line.values for line in shown]})
        return
    print_table(("ms", "vm", "event", "what"), (row(line, story[0]) for line in shown))
    typer.echo(f"cause: {cause_of(story)}")


def row(line: LogLine, first: LogLine) -> tuple[object, ...]:
    """Return a line of the story as cells."""
    since = (line.at - first.at).total_seconds() * 1000
    return f"{since:.1f}", line.vm, line.event, sentence(line)


@logs_commands.command("check")
def check_command(logs: Logs, as_json: options.JsonOption = False) -> None:
    """Check that each line is whole and has the fields of its event."""
    check_files(logs)
    faults = list(itertools.islice(line_faults(logs), MOST_FAULTS))
    if as_json:
        print_json({"faults": faults})
        raise typer.Exit(EXIT_BAD_INPUT if faults else 0)
    if faults:
        fail_with_faults(faults)
    typer.echo("no faults")


def check_files(logs: list[Path]) -> None:
    """End with an error where a file is not there.

    Raises:
      typer.Exit: One is missing.
    """
    for file in logs:
        if not file.is_file():
            fail(f"{file} is not a file", "name log files", EXIT_BAD_INPUT)
