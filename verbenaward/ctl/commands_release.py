"""Commands that plan, apply and show releases."""

import time
from pathlib import Path
from typing import Annotated, NoReturn, TypeVar

import typer
import uvloop
from returns.result import Result, Success
from rich.live import Live
from rich.table import Table

from ..configuration.manifest import Change, differences
from ..configuration.store import ApplyOutcome, ApplyResult, read_head
from ..data import Configuration
from ..platform.key_value import KeyValueService
from ..schema.manifest import Manifest
from . import options
from .apply import (
    Plan,
    apply_plan,
    drop_proposal,
    find_revision,
    list_history,
    list_unfinished,
    make_plan,
)
from .clients import describe_revision, run_with_key_value
from .declarations import load_declarations
from .output import (
    CONSOLE,
    EXIT_CONFLICT,
    EXIT_FAILED,
    EXIT_UNKNOWN,
    EXIT_UNREACHABLE,
    fail,
    fail_with_faults,
    fail_without_entries,
    print_json,
    print_table,
)
from .status import ZoneProgress, load_fleet, release_progress

BAR_WIDTH = 24
"""Width of a progress bar, in characters."""
REFRESH_SECONDS = 0.5
"""Time between two refreshes of `release status --watch`."""
KEY_VALUE_HINT = (
    "check --key-value, or wait until the platform's key-value service is available again"
)

release_commands = typer.Typer(help="Plan, apply and show releases.", no_args_is_help=True)
Value = TypeVar("Value")
RevisionArgument = Annotated[int, typer.Argument(help="Accepted revision.")]
FileArgument = Annotated[Path, typer.Argument(help="Manifest, or folder of manifests.")]


@release_commands.command("plan")
def plan_command(
    file: FileArgument,
    key_value: options.KeyValueOption,
    prune: options.PruneOption = False,
    as_json: options.JsonOption = False,
) -> None:
    """Show what an apply would change."""
    plan = load_plan(file, key_value, prune)
    if as_json:
        print_json({"base_revision": plan.base.revision, "changes": plan.changes})
        return
    typer.echo(f"on top of {describe_revision(plan.base)}:")
    print_changes(plan.changes)


@release_commands.command("apply")
def release_apply_command(
    file: FileArgument,
    key_value: options.KeyValueOption,
    entry: options.EntryOption = [],  # noqa: B006
    author: options.AuthorOption = "unknown",
    commit: options.CommitOption = "",
    prune: options.PruneOption = False,
    dry_run: options.DryRunOption = False,
) -> None:
    """Make a manifest, or a folder of manifests, the accepted configuration."""
    apply_command(file, key_value, entry, author, commit, prune, dry_run)


def apply_command(
    file: options.DeclarationsOption,
    key_value: options.KeyValueOption,
    entry: options.EntryOption = [],  # noqa: B006
    author: options.AuthorOption = "unknown",
    commit: options.CommitOption = "",
    prune: options.PruneOption = False,
    dry_run: options.DryRunOption = False,
) -> None:
    """Make a manifest, or a folder of manifests, the accepted configuration."""
    plan = load_plan(file, key_value, prune)
    print_changes(plan.changes)
    if dry_run:
        return

    async def operation(service: KeyValueService) -> ApplyResult:
        return await apply_plan(service, plan, author, commit, entry)

    report_outcome(
        run_with_key_value(key_value, operation), plan, f"verbenactl release plan {file}"
    )


@release_commands.command("rollback")
def rollback_command(
    revision: RevisionArgument,
    key_value: options.KeyValueOption,
    entry: options.EntryOption = [],  # noqa: B006
    author: options.AuthorOption = "unknown",
) -> None:
    """Apply the manifest of an earlier revision as a new revision."""
    earlier = revision_or_exit(key_value, revision)
    plan = unwrap_or_exit(
        run_with_key_value(key_value, lambda service: make_plan(service, earlier.manifest, True))
    )
    print_changes(plan.changes)
    commit = earlier.source_commit

    async def operation(service: KeyValueService) -> ApplyResult:
        return await apply_plan(service, plan, author, commit, entry)

    report_outcome(
        run_with_key_value(key_value, operation), plan, f"verbenactl release diff {revision}"
    )


@release_commands.command("history")
def history_command(key_value: options.KeyValueOption, as_json: options.JsonOption = False) -> None:
    """List the accepted revisions, newest first."""
    chain = unwrap_or_exit(run_with_key_value(key_value, list_history))
    if as_json:
        print_json(chain)
        return
    print_table(
        ("revision", "accepted", "author", "commit", "digest"),
        (
            (
                item.revision,
                time.strftime("%Y-%m-%d %H:%M:%S", time.gmtime(item.accepted_unix)),
                item.author,
                item.source_commit[:12],
                item.digest[:12],
            )
            for item in chain
        ),
    )


@release_commands.command("diff")
def diff_command(
    revision: RevisionArgument,
    key_value: options.KeyValueOption,
    other: Annotated[int, typer.Argument(help="Second revision; 0 for the accepted one.")] = 0,
    as_json: options.JsonOption = False,
) -> None:
    """Show the differences between two revisions."""
    before = revision_or_exit(key_value, revision)
    after = revision_or_exit(key_value, other) if other else accepted_configuration(key_value)
    changes = differences(before.manifest, after.manifest)
    if as_json:
        print_json(changes)
        return
    print_changes(changes)


@release_commands.command("unfinished")
def unfinished_command(
    key_value: options.KeyValueOption,
    drop_id: Annotated[str, typer.Option("--drop", help="ID of a change to remove.")] = "",
    finish_id: Annotated[str, typer.Option("--finish", help="ID of a change to accept.")] = "",
    entry: options.EntryOption = [],  # noqa: B006
    as_json: options.JsonOption = False,
) -> None:
    """List, accept or remove changes that were recorded but never accepted."""
    found = unwrap_or_exit(run_with_key_value(key_value, list_unfinished))
    if drop_id:
        dropped = unwrap_or_exit(
            run_with_key_value(key_value, lambda service: drop_proposal(service, drop_id))
        )
        if not dropped:
            fail_with_unknown_change(drop_id)
        typer.echo(f"removed {drop_id}")
    elif finish_id:
        accept_unfinished(found, finish_id, key_value, entry)
    elif as_json:
        print_json(found)
    else:
        rows = ((item.write_id, item.revision, item.author) for item in found)
        print_table(("id", "revision", "author"), rows)


def accept_unfinished(
    found: tuple[Configuration, ...], write_id: str, key_value: str, entries: list[str]
) -> None:
    """Apply the manifest of an unfinished change on top of the accepted configuration."""
    candidate = next((item for item in found if item.write_id == write_id), None)
    if candidate is None:
        fail_with_unknown_change(write_id)
    manifest, author, commit = candidate.manifest, candidate.author, candidate.source_commit
    plan = unwrap_or_exit(
        run_with_key_value(key_value, lambda service: make_plan(service, manifest, True))
    )

    async def operation(service: KeyValueService) -> ApplyResult:
        applied = await apply_plan(service, plan, author, commit, entries)
        if applied.outcome in (ApplyOutcome.ACCEPTED, ApplyOutcome.UNCHANGED):
            await drop_proposal(service, write_id)
        return applied

    report_outcome(run_with_key_value(key_value, operation), plan, "verbenactl release unfinished")


@release_commands.command("status")
def release_status_command(
    key_value: options.KeyValueOption,
    entry: options.EntryOption,
    watch: Annotated[
        bool, typer.Option("--watch", help="Refresh until all VMs serve their release.")
    ] = False,
    as_json: options.JsonOption = False,
) -> None:
    """Show the progress of each release by availability zone."""
    accepted = accepted_configuration(key_value)
    groups = read_progress(entry, accepted)
    if as_json:
        print_json(groups)
        return
    if not watch:
        CONSOLE.print(progress_table(groups))
        return
    with Live(progress_table(groups), console=CONSOLE) as live:
        while any(group.active < group.vms for group in groups):
            time.sleep(REFRESH_SECONDS)
            groups = read_progress(entry, accepted)
            live.update(progress_table(groups))


def read_progress(entry: list[str], accepted: Configuration) -> tuple[ZoneProgress, ...]:
    """Return the progress of every release by availability zone."""

    async def operation() -> tuple[ZoneProgress, ...]:
        fleet = await load_fleet(entry)
        if not fleet.entries:
            fail_without_entries()
        return await release_progress(fleet, accepted)

    return uvloop.run(operation())


def progress_table(groups: tuple[ZoneProgress, ...]) -> Table:
    """Return a table with one progress bar for each availability zone."""
    table = Table("role", "region", "zone", "held", "active", "progress", "behind", box=None)
    for group in groups:
        done = round(group.share * BAR_WIDTH)
        bar = "#" * done + "." * (BAR_WIDTH - done)
        # The table names at most two VMs for each zone; --json lists all.
        behind = "; ".join(group.stragglers[:2])
        held, active = f"{group.held}/{group.vms}", f"{group.active}/{group.vms}"
        table.add_row(group.role, group.region, group.zone, held, active, bar, behind)
    return table


def load_plan(file: Path, key_value: str, prune: bool) -> Plan:
    """Return the plan of a file or folder, or exit with its faults."""
    checked = load_declarations(file)
    if checked.value is None:
        fail_with_faults(checked.faults)
    declared: Manifest = checked.value
    return unwrap_or_exit(
        run_with_key_value(key_value, lambda service: make_plan(service, declared, prune))
    )


def accepted_configuration(key_value: str) -> Configuration:
    """Return the accepted configuration, or exit if it cannot be read."""

    async def operation(service: KeyValueService) -> Result[Configuration, str]:
        head = await read_head(service)
        return head.map(lambda item: item.configuration).alt(lambda error: error.message)

    return unwrap_or_exit(run_with_key_value(key_value, operation))


def revision_or_exit(key_value: str, revision: int) -> Configuration:
    """Return the configuration of a revision, or exit if it was never accepted or is unreadable."""
    found = unwrap_or_exit(
        run_with_key_value(key_value, lambda service: find_revision(service, revision))
    )
    if found is None:
        fail(f"revision {revision} was never accepted", "verbenactl release history")
    return found


def fail_with_unknown_change(write_id: str) -> NoReturn:
    """Print that no unfinished change has an ID, and exit.

    Raises:
      typer.Exit: Always.
    """
    fail(f"no unfinished change has the ID {write_id}", "verbenactl release unfinished")


def unwrap_or_exit(result: Result[Value, str]) -> Value:
    """Return the value of a result, or exit with its error."""
    if isinstance(result, Success):
        value: Value = result.unwrap()
        return value
    fail(result.failure(), KEY_VALUE_HINT, EXIT_UNREACHABLE)


def print_changes(changes: tuple[Change, ...]) -> None:
    """Print one line for each difference: + added, - removed, ~ changed."""
    if not changes:
        typer.echo("no changes")
    for change in changes:
        mark = "~" if change.before and change.after else "+" if change.after else "-"
        values = (
            f"{change.before} -> {change.after}" if mark == "~" else change.before + change.after
        )
        typer.echo(f"{mark} {change.path}: {values}")


def report_outcome(applied: ApplyResult, plan: Plan, next_command: str) -> None:
    """Print the outcome of an apply; exit with an error unless it was accepted or unchanged.

    Args:
      applied: Result of the apply.
      plan: Plan that was applied.
      next_command: Command to suggest after a conflict.
    """
    if applied.outcome is ApplyOutcome.ACCEPTED:
        typer.echo(f"accepted: {describe_revision(applied.configuration)}")
    elif applied.outcome is ApplyOutcome.UNCHANGED:
        typer.echo(f"unchanged: {describe_revision(applied.configuration)}")
    elif applied.outcome is ApplyOutcome.CONFLICT:
        fail_with_conflict(applied, plan, next_command)
    elif applied.outcome is ApplyOutcome.UNKNOWN:
        fail(applied.message, "verbenactl release unfinished", EXIT_UNKNOWN)
    else:
        fail(applied.message, KEY_VALUE_HINT, EXIT_FAILED)


def fail_with_conflict(applied: ApplyResult, plan: Plan, next_command: str) -> NoReturn:
    """Print how the plan and the change accepted first differ from their common base, and exit."""
    theirs = {
        item.path: item for item in differences(plan.base.manifest, applied.configuration.manifest)
    }
    typer.echo(f"{describe_revision(applied.configuration)} was accepted first")
    for change in plan.changes:
        other = theirs.pop(change.path, None)
        if other is None:
            typer.echo(f"  only yours   {change.path}: {change.after or 'removed'}")
        elif other.after == change.after:
            typer.echo(f"  both alike   {change.path}: {change.after or 'removed'}")
        else:
            ours_text, theirs_text = change.after or "removed", other.after or "removed"
            typer.echo(f"  both differ  {change.path}: yours {ours_text}, theirs {theirs_text}")
    for path, other in theirs.items():
        typer.echo(f"  only theirs  {path}: {other.after or 'removed'}")
    fail("another change was accepted first", next_command, EXIT_CONFLICT)
