"""The daemon: one process with one role."""

import sys
from pathlib import Path
from typing import Annotated

import typer

from .configuration.settings import load_settings
from .data import Fault
from .logs import configure_logs
from .schema.settings import Settings

EXIT_BAD_SETTINGS = 2

application = typer.Typer(add_completion=False)


@application.command()
def main(
    settings_file: Annotated[
        Path, typer.Argument(help="Settings: JSON with comments.", envvar="VERBENAWARD_BOOT")
    ],
    log_level: Annotated[str, typer.Option(help="Lowest level that is logged.")] = "info",
) -> None:
    """Run a verbenaward daemon."""
    checked = load_settings(settings_file)
    if checked.value is None:
        sys.stderr.write(faults_page(settings_file, checked.faults))
        raise typer.Exit(EXIT_BAD_SETTINGS)
    run(checked.value, log_level)


def faults_page(path: Path, faults: tuple[Fault, ...]) -> str:
    """Return all faults of a file as one page of text."""
    lines = [f"{path}: {len(faults)} fault(s); the daemon was not started"]
    for fault in faults:
        place = f"{fault.source}: {fault.path}" if fault.path else fault.source
        lines.append(f"  {place}: {fault.message}")
        if fault.hint:
            lines.append(f"      {fault.hint}")
    return "\n".join(lines) + "\n"


def run(settings: Settings, log_level: str) -> None:
    """Run a daemon until it is told to end; only what its role needs is imported.

    Args:
      settings: Checked settings.
      log_level: Lowest level that is logged.
    """
    configure_logs(log_level)
    if settings.direct is not None:
        from .direct.service import run as run_direct

        run_direct(settings, settings.direct.grace_seconds)
        return
    from .service import run as run_before_backends

    run_before_backends(settings)


def run_from_command_line() -> None:
    """Entry point of the program."""
    application()


if __name__ == "__main__":
    run_from_command_line()
