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
from ..configuration.store import Applied, Outcome, read_head
from ..data import Configuration
from ..platform.key_value import KeyValueService
from ..schema.manifest import Manifest
from . import options
from .apply import (
    Plan,
    apply_plan,
    drop,
    find_revision,
    list_history,
    list_unfinished,
    make_plan,
)
from .declarations import load_declarations
from .output import (
    CONSOLE,
    EXIT_CONFLICT,
    EXIT_FAILED,
    EXIT_UNKNOWN,
    EXIT_UNREACHABLE,
    fail,
    fail_with_faults,
    print_json,
    print_table,
)
from .platform import describe_revision, run_with_key_value
from .status import ZoneProgress, load_fleet, release_progress

BAR_CELLS = 24
WATCH_SECONDS = 0.5
HINT_SERVICE = "check --key-value, or wait until the platform's key-value service is back"

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
    plan = plan_of(file, key_value, prune)
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
    """Make a manifest the accepted configuration."""
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
    """Make the declarations of a file or folder the accepted configuration."""
    plan = plan_of(file, key_value, prune)
    print_changes(plan.changes)
    if dry_run:
        return

    async def work(service: KeyValueService) -> Applied:
        return await apply_plan(service, plan, author, commit, entry)

    finish(run_with_key_value(key_value, work), plan, f"verbenactl release plan {file}")


@release_commands.command("rollback")
def rollback_command(
    revision: RevisionArgument,
    key_value: options.KeyValueOption,
    entry: options.EntryOption = [],  # noqa: B006
    author: options.AuthorOption = "unknown",
) -> None:
    """Go back to an earlier revision, as a new one."""
    earlier = need(run_with_key_value(key_value, lambda service: find_revision(service, revision)))
    plan = need(
        run_with_key_value(key_value, lambda service: make_plan(service, earlier.manifest, True))
    )
    print_changes(plan.changes)
    commit = earlier.source_commit

    async def work(service: KeyValueService) -> Applied:
        return await apply_plan(service, plan, author, commit, entry)

    finish(run_with_key_value(key_value, work), plan, f"verbenactl release diff {revision}")


@release_commands.command("history")
def history_command(key_value: options.KeyValueOption, as_json: options.JsonOption = False) -> None:
    """List the accepted revisions, newest first."""
    chain = need(run_with_key_value(key_value, list_history))
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
    before = need(run_with_key_value(key_value, lambda service: find_revision(service, revision)))
    if other:
        after = need(run_with_key_value(key_value, lambda service: find_revision(service, other)))
    else:
        after = accepted_configuration(key_value)
    changes = differences(before.manifest, after.manifest)
    if as_json:
        print_json(changes)
        return
    print_changes(changes)


@release_commands.command("unfinished")
def unfinished_command(
    key_value: options.KeyValueOption,
    drop_id: Annotated[str, typer.Option("--drop", help="Id of a change to remove.")] = "",
    finish_id: Annotated[str, typer.Option("--finish", help="Id of a change to accept.")] = "",
    entry: options.EntryOption = [],  # noqa: B006
    as_json: options.JsonOption = False,
) -> None:
    """List, finish or remove changes that were begun and never accepted."""
    found = need(run_with_key_value(key_value, list_unfinished))
    if drop_id:
        need(run_with_key_value(key_value, lambda service: drop(service, drop_id)))
        typer.echo(f"removed {drop_id}")
    elif finish_id:
        finish_change(found, finish_id, key_value, entry)
    elif as_json:
        print_json(found)
    else:
        rows = ((item.write_id, item.revision, item.author) for item in found)
        print_table(("id", "revision", "author"), rows)


def finish_change(
    found: tuple[Configuration, ...], write_id: str, key_value: str, entries: list[str]
) -> None:
    """Accept a half-finished change on top of what is accepted now."""
    candidate = next((item for item in found if item.write_id == write_id), None)
    if candidate is None:
        fail(f"no half-finished change has the id {write_id}", "verbenactl release unfinished")
    manifest, author, commit = candidate.manifest, candidate.author, candidate.source_commit
    plan = need(run_with_key_value(key_value, lambda service: make_plan(service, manifest, True)))

    async def work(service: KeyValueService) -> Applied:
        applied = await apply_plan(service, plan, author, commit, entries)
        if applied.outcome in (Outcome.ACCEPTED, Outcome.UNCHANGED):
            await drop(service, write_id)
        return applied

    finish(run_with_key_value(key_value, work), plan, "verbenactl release unfinished")


@release_commands.command("status")
def release_status_command(
    key_value: options.KeyValueOption,
    entry: options.EntryOption,
    watch: Annotated[bool, typer.Option("--watch", help="Go on until all VMs serve it.")] = False,
    as_json: options.JsonOption = False,
) -> None:
    """Show how far each release is in every availability zone."""
    accepted = accepted_configuration(key_value)
    groups = read_groups(entry, accepted)
    if as_json:
        print_json(groups)
        return
    if not watch:
        CONSOLE.print(progress_table(groups))
        return
    with Live(progress_table(groups), console=CONSOLE) as live:
        while any(group.active < group.vms for group in groups):
            time.sleep(WATCH_SECONDS)
            groups = read_groups(entry, accepted)
            live.update(progress_table(groups))


def read_groups(entry: list[str], accepted: Configuration) -> tuple[ZoneProgress, ...]:
    """Return the progress of every release by availability zone."""

    async def work() -> tuple[ZoneProgress, ...]:
        return await release_progress(await load_fleet(entry), accepted)

    return uvloop.run(work())


def progress_table(groups: tuple[ZoneProgress, ...]) -> Table:
    """Return a table with one bar for each availability zone."""
    table = Table("role", "region", "zone", "held", "active", "progress", "behind", box=None)
    for group in groups:
        cells = round(group.share * BAR_CELLS)
        bar = "#" * cells + "." * (BAR_CELLS - cells)
        behind = "; ".join(group.stragglers[:2])
        held, active = f"{group.held}/{group.vms}", f"{group.active}/{group.vms}"
        table.add_row(group.role, group.region, group.zone, held, active, bar, behind)
    return table


def plan_of(file: Path, key_value: str, prune: bool) -> Plan:
    """Return the plan of a file or folder, or end with its faults."""
    checked = load_declarations(file)
    if checked.value is None:
        fail_with_faults(checked.faults)
    declared: Manifest = checked.value
    return need(run_with_key_value(key_value, lambda service: make_plan(service, declared, prune)))


def accepted_configuration(key_value: str) -> Configuration:
    """Return the accepted configuration, or end."""

    async def work(service: KeyValueService) -> Result[Configuration, str]:
        head = await read_head(service)
        return head.map(lambda item: item.configuration).alt(lambda error: error.message)

    return need(run_with_key_value(key_value, work))


def need(result: Result[Value, str]) -> Value:
    """Return the value of a result, or end with its error."""
    if isinstance(result, Success):
        value: Value = result.unwrap()
        return value
    fail(result.failure(), HINT_SERVICE, EXIT_UNREACHABLE)


def print_changes(changes: tuple[Change, ...]) -> None:
    """Print differences, one line each."""
    if not changes:
        typer.echo("nothing changes")
    for change in changes:
        mark = "~" if change.before and change.after else "+" if change.after else "-"
        arrow = (
            f"{change.before} -> {change.after}" if mark == "~" else change.before + change.after
        )
        typer.echo(f"{mark} {change.path}: {arrow}")


def finish(applied: Applied, plan: Plan, next_command: str) -> None:
    """Print how an apply ended."""
    if applied.outcome is Outcome.ACCEPTED:
        typer.echo(f"accepted: {describe_revision(applied.configuration)}")
    elif applied.outcome is Outcome.UNCHANGED:
        typer.echo(f"unchanged: {describe_revision(applied.configuration)}")
    elif applied.outcome is Outcome.CONFLICT:
        fail_with_conflict(applied, plan, next_command)
    elif applied.outcome is Outcome.UNKNOWN:
        fail(applied.message, "verbenactl release unfinished", EXIT_UNKNOWN)
    else:
        fail(applied.message, HINT_SERVICE, EXIT_FAILED)


def fail_with_conflict(applied: Applied, plan: Plan, next_command: str) -> NoReturn:
    """Print a three-way difference and what to type next."""
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
