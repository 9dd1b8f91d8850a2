"""The daemon: one process with one role.

Its one argument is read with the standard library: the command line tool's libraries would cost
each process more memory than all of its state.
"""

import argparse
import os
import sys
from pathlib import Path

from .configuration.settings import load_settings
from .data import Fault
from .logs import configure_logs
from .schema.settings import Settings

EXIT_BAD_SETTINGS = 2
SETTINGS_VARIABLE = "VERBENAWARD_BOOT"
"""Environment variable that names the settings where the command line does not."""
LEVELS = ("debug", "info", "warning", "error", "critical")


def main(arguments: list[str]) -> int:
    """Run a daemon and return its exit status."""
    given = parser().parse_args(arguments)
    if not given.settings_file:
        parser().error(f"name the settings, or set {SETTINGS_VARIABLE}")
    path = Path(given.settings_file)
    checked = load_settings(path)
    if checked.value is None:
        sys.stderr.write(faults_page(path, checked.faults))
        return EXIT_BAD_SETTINGS
    run(checked.value, path, given.log_level)
    return 0


def parser() -> argparse.ArgumentParser:
    """Return the parser of the command line."""
    made = argparse.ArgumentParser(prog="verbenaward", description="Run a verbenaward daemon.")
    default = os.environ.get(SETTINGS_VARIABLE, "")
    made.add_argument("settings_file", nargs="?", default=default, help="JSON with comments")
    made.add_argument("--log-level", choices=LEVELS, default="info", help="lowest level logged")
    return made


def faults_page(path: Path, faults: tuple[Fault, ...]) -> str:
    """Return all faults of a file as one page of text."""
    lines = [f"{path}: {len(faults)} fault(s); the daemon was not started"]
    for fault in faults:
        place = f"{fault.source}: {fault.path}" if fault.path else fault.source
        lines.append(f"  {place}: {fault.message}")
        if fault.hint:
            lines.append(f"      {fault.hint}")
    return "\n".join(lines) + "\n"


def run(settings: Settings, settings_file: Path, log_level: str) -> None:
    """Run a daemon until it is told to end; only what its role needs is imported.

    Args:
      settings: Checked settings.
      settings_file: Where they came from.
      log_level: Lowest level that is logged.
    """
    configure_logs(log_level)
    if settings.direct is not None:
        from .direct_service import run as run_direct

        run_direct(settings, settings_file, settings.direct.grace_seconds)
        return
    from .service import run as run_before_backends

    run_before_backends(settings)


def run_from_command_line() -> None:
    """Entry point of the program."""
    sys.exit(main(sys.argv[1:]))


if __name__ == "__main__":
    run_from_command_line()
