"""verbenactl: commands for operators and the build pipeline.

Exit status: 0 done; 1 failed; 2 bad input; 3 conflict with another change; 4 unknown
whether the change was accepted; 5 the service or process does not answer.
"""

from pathlib import Path
from typing import Annotated

import typer

from ..configuration.manifest import load_manifest
from ..configuration.settings import load_settings
from .build import build_artifact, publish
from .commands_config import config_commands
from .commands_logs import explain_command, logs_commands
from .commands_release import apply_command, release_commands
from .commands_status import drain_command, status_command
from .options import JsonOption
from .output import fail, fail_with_faults, print_json

application = typer.Typer(
    help="Operate verbenaward: releases, configuration, status and drain.",
    epilog="Exit status: 0 done, 1 failed, 2 bad input, 3 conflict, 4 unknown, 5 unreachable.",
    no_args_is_help=True,
)
application.add_typer(release_commands, name="release")
application.add_typer(config_commands, name="config")
application.add_typer(logs_commands, name="logs")
application.command("apply")(apply_command)
application.command("status")(status_command)
application.command("drain")(drain_command)
application.command("explain")(explain_command)


@application.command("manifest")
def manifest_command(
    folder: Annotated[Path, typer.Argument(help="Folder with the files of one version.")],
    name: Annotated[str, typer.Option(help="Name of the model or adapter.")],
    version: Annotated[str, typer.Option(help="Version label.")],
    role: Annotated[str, typer.Option(help="Role whose VMs serve the release.")],
    origin: Annotated[
        Path | None, typer.Option(help="Folder that the origin serves; files are copied there.")
    ] = None,
    chunk_bytes: Annotated[int, typer.Option(help="Chunk size in bytes; 0 to derive it.")] = 0,
) -> None:
    """Make a manifest with one release from the files of a folder."""
    if not folder.is_dir():
        fail(f"{folder} is not a folder", "pass the folder that holds the model files", 2)
    built = build_artifact(folder, name, version, chunk_bytes)
    if origin is not None:
        publish(built, folder, origin)
    release = {"role": role, "model": built.artifact}
    print_json({"format": 1, "releases": [release]})


@application.command("check")
def check_command(
    file: Annotated[Path, typer.Argument(help="Manifest or settings file.")],
    settings: Annotated[bool, typer.Option("--settings", help="The file holds settings.")] = False,
    as_json: JsonOption = False,
) -> None:
    """Report every fault in a manifest or settings file."""
    faults = load_settings(file).faults if settings else load_manifest(file).faults
    if as_json:
        print_json({"file": str(file), "faults": faults})
        raise typer.Exit(2 if faults else 0)
    if faults:
        fail_with_faults(faults)
    typer.echo(f"{file}: no faults")


def run_from_command_line() -> None:
    """Run verbenactl; the console script calls this."""
    application()


if __name__ == "__main__":
    run_from_command_line()
