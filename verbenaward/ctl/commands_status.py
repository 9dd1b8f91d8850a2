"""Commands that explain the state and drain VMs."""

from typing import Annotated

import aiohttp
import typer
import uvloop
from returns.result import Success

from ..configuration.store import read_head
from ..data import Configuration
from ..platform.key_value import KeyValueService
from . import options
from .output import EXIT_FAILED, EXIT_UNREACHABLE, fail, print_json, print_table
from .platform import post, with_key_values
from .status import Fleet, explain, load_fleet


def status_command(
    key_value: options.KeyValueOption,
    entry: options.EntryOption,
    as_json: options.JsonOption = False,
    members: Annotated[bool, typer.Option("--members", help="List all VMs.")] = False,
) -> None:
    """Say in plain sentences what is not as declared, and why."""
    fleet = uvloop.run(load_fleet(entry))
    accepted = accepted_or_none(key_value)
    sentences = explain(fleet, accepted)
    if as_json:
        print_json({"as_declared": not sentences, "findings": sentences, "members": fleet.members})
    else:
        print_status(fleet, accepted, sentences, members)
    raise typer.Exit(EXIT_FAILED if sentences else 0)


def print_status(
    fleet: Fleet, accepted: Configuration | None, sentences: list[str], members: bool
) -> None:
    """Print the findings, and the members where they are wanted."""
    revision = accepted.revision if accepted else "unknown"
    typer.echo(f"{len(fleet.members)} VMs, accepted revision {revision}")
    for sentence in sentences or ["Everything is as declared."]:
        typer.echo(sentence)
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
    """Return the accepted configuration, or None where the service does not answer."""

    async def work(service: KeyValueService) -> Configuration | None:
        head = await read_head(service)
        return head.unwrap().configuration if isinstance(head, Success) else None

    return with_key_values(key_value, work)


def drain_command(
    vm: Annotated[str, typer.Argument(help="VM to drain.")], entry: options.EntryOption
) -> None:
    """Drain a VM: no new work, running requests finish."""

    async def work() -> bool | None:
        fleet = await load_fleet(entry)
        member = next((item for item in fleet.members if item.vm == vm), None)
        if member is None:
            return None
        async with aiohttp.ClientSession() as session:
            return await post(session, member.address, "/admin/drain") is not None

    drained = uvloop.run(work())
    if drained is None:
        fail(f"no VM is named {vm}", "verbenactl status --members")
    if not drained:
        fail(f"the process on {vm} does not answer", "verbenactl status", EXIT_UNREACHABLE)
    typer.echo(
        f"{vm} takes no new work; end its process when you like: it finishes its requests first"
    )
