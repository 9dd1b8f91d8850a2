"""Commands about the configuration in force."""

from typing import Annotated

import typer
import uvloop

from . import options
from .output import EXIT_FAILED, fail, fail_without_entries, print_json, print_table
from .status import load_fleet, revisions_in_force, wait_for_revision

config_commands = typer.Typer(
    help="Show the configuration in force, or wait for a revision.", no_args_is_help=True
)


@config_commands.command("wait")
def wait_command(
    revision: Annotated[int, typer.Argument(help="Revision to wait for.")],
    entry: options.EntryOption,
    timeout: options.TimeoutOption = 12.0,
    as_json: options.JsonOption = False,
) -> None:
    """Wait until a revision is in force on all VMs; list those that lag."""
    lagging = uvloop.run(wait_for_revision(entry, revision, timeout))
    if lagging is None:
        fail_without_entries()
    if as_json:
        print_json({"revision": revision, "lagging": lagging})
        raise typer.Exit(EXIT_FAILED if lagging else 0)
    if lagging:
        fail(f"revision {revision} is not in force on: {', '.join(lagging)}", "verbenactl status")
    typer.echo(f"revision {revision} is in force everywhere")


@config_commands.command("show")
def show_command(entry: options.EntryOption, as_json: options.JsonOption = False) -> None:
    """Show which revision is in force on each VM."""
    fleet = uvloop.run(load_fleet(entry))
    if not fleet.entries:
        fail_without_entries()
    revisions = revisions_in_force(fleet)
    if as_json:
        print_json(revisions)
        return
    print_table(("vm", "revision"), sorted(revisions.items()))
