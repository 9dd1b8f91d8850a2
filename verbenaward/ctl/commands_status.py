"""Commands that show the state of all VMs and drain one."""

from typing import Annotated

import aiohttp
import typer
import uvloop
from returns.result import Success

from ..answer_protocol import AnswerConnector
from ..configuration.store import read_head
from ..data import Configuration
from ..platform.key_value import KeyValueService
from . import options
from .clients import post, run_with_key_value
from .output import (
    EXIT_FAILED,
    EXIT_UNREACHABLE,
    fail,
    fail_without_entries,
    print_json,
    print_table,
)
from .status import FleetStatus, all_findings, load_fleet


def status_command(
    key_value: options.KeyValueOption,
    entry: options.EntryOption,
    as_json: options.JsonOption = False,
    members: Annotated[bool, typer.Option("--members", help="List all VMs.")] = False,
) -> None:
    """List what differs from the declared state, and why."""
    fleet = uvloop.run(load_fleet(entry))
    accepted = accepted_or_none(key_value)
    findings = all_findings(fleet, accepted)
    if as_json:
        print_json({"as_declared": not findings, "findings": findings, "members": fleet.members})
    else:
        print_status(fleet, accepted, findings, members)
    raise typer.Exit(EXIT_FAILED if findings else 0)


def print_status(
    fleet: FleetStatus, accepted: Configuration | None, findings: list[str], members: bool
) -> None:
    """Print the findings, and a table of all VMs with --members."""
    revision = accepted.revision if accepted else "unknown"
    typer.echo(f"{len(fleet.members)} VMs, accepted revision {revision}")
    for finding in findings or ["Everything is as declared."]:
        typer.echo(finding)
    if members:
        print_table(
            ("vm", "kind", "role", "region", "zone", "address", "status", "release"),
            (
                (
                    item.vm,
                    item.kind,
                    item.role,
                    item.region,
                    item.zone,
                    item.address,
                    item.status,
                    item.release[:12],
                )
                for item in fleet.members
            ),
        )


def accepted_or_none(key_value: str) -> Configuration | None:
    """Return the accepted configuration, or None if the service does not answer."""

    async def operation(service: KeyValueService) -> Configuration | None:
        head = await read_head(service)
        return head.unwrap().configuration if isinstance(head, Success) else None

    return run_with_key_value(key_value, operation)


def drain_command(
    vm: Annotated[str, typer.Argument(help="VM to drain.")], entry: options.EntryOption
) -> None:
    """Drain a VM: it takes no new work and finishes its running requests."""

    async def operation() -> bool | None:
        fleet = await load_fleet(entry)
        if not fleet.entries:
            fail_without_entries()
        member = next((item for item in fleet.members if item.vm == vm), None)
        if member is None:
            return None
        async with aiohttp.ClientSession(connector=AnswerConnector()) as session:
            return await post(session, member.address, "/admin/drain") is not None

    drained = uvloop.run(operation())
    if drained is None:
        fail(f"no VM is named {vm}", "verbenactl status --members")
    if not drained:
        fail(f"the process on {vm} does not answer", "verbenactl status", EXIT_UNREACHABLE)
    typer.echo(
        f"{vm} takes no new work; its process may be stopped now: it finishes its requests first"
    )
