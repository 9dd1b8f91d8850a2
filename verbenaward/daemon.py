"""The daemon: one process with one role.

The command line is parsed with argparse, because the libraries of the command-line tool would
take more memory than all state of the process. All that is slow to import is imported when it is
used, after the signals are held.
"""

import argparse
import os
import sys
from pathlib import Path
from typing import TYPE_CHECKING, NoReturn

from .early_signals import hold_signals
from .garbage import hold_collection

if TYPE_CHECKING:
    from .data import Fault
    from .schema.settings import Settings

EXIT_BAD_SETTINGS = 2
SETTINGS_VARIABLE = "VERBENAWARD_BOOT"
"""Environment variable with the path of the settings file, used if the command line has none."""
LEVELS = ("debug", "info", "warning", "error", "critical")


def main(arguments: list[str]) -> int:
    """Run a daemon and return its exit status."""
    given = build_parser().parse_args(arguments)
    if not given.settings_file:
        build_parser().error(f"no settings file: give its path or set {SETTINGS_VARIABLE} to it")
    from .configuration.settings import load_settings

    path = Path(given.settings_file)
    checked = load_settings(path)
    if checked.value is None:
        sys.stderr.write(format_faults(path, checked.faults))
        return EXIT_BAD_SETTINGS
    run(checked.value, path, given.log_level)
    return 0


def build_parser() -> argparse.ArgumentParser:
    """Build the parser of the command line."""
    parser = argparse.ArgumentParser(prog="verbenaward", description="Run a verbenaward daemon.")
    default = os.environ.get(SETTINGS_VARIABLE, "")
    parser.add_argument(
        "settings_file",
        nargs="?",
        default=default,
        help=f"path of the settings, JSON with comments; default: the value of {SETTINGS_VARIABLE}",
    )
    parser.add_argument(
        "--log-level", choices=LEVELS, default="info", help="lowest level that is logged"
    )
    return parser


def format_faults(path: Path, faults: "tuple[Fault, ...]") -> str:
    """Format all faults of a settings file for the operator."""
    lines = [f"{path}: {len(faults)} fault(s); the daemon was not started"]
    for fault in faults:
        place = f"{fault.source}: {fault.path}" if fault.path else fault.source
        lines.append(f"  {place}: {fault.message}")
        if fault.hint:
            lines.append(f"      {fault.hint}")
    return "\n".join(lines) + "\n"


def run(settings: "Settings", settings_file: Path, log_level: str) -> None:
    """Run a daemon until a signal stops it.

    Only the modules that the settings need are imported, to save memory.

    Args:
      settings: Validated settings.
      settings_file: File that they were read from.
      log_level: Lowest level that is logged.
    """
    from .logs import configure_logs, route_library_logs

    configure_logs(log_level, vm=settings.vm, role=settings.role)
    route_library_logs()
    if settings.direct is not None:
        from .direct_service import run as run_direct

        run_direct(settings, settings_file, settings.direct.grace_seconds)
        return
    from .proxied_service import run as run_proxied

    run_proxied(settings)


def end(status: int) -> NoReturn:
    """End the process at once, with an exit status.

    All is closed by now. The interpreter would first take its modules and objects apart, which
    takes 0.2 s of the grace period, and more on a busy VM.
    """
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(status)


def run_from_command_line() -> None:
    """Run the daemon; entry point of the console script."""
    hold_signals()
    hold_collection()
    end(main(sys.argv[1:]))


if __name__ == "__main__":
    run_from_command_line()
