"""Options that several commands share."""

from pathlib import Path
from typing import Annotated

import typer

KeyValueOption = Annotated[
    str,
    typer.Option(
        "--key-value", envvar="VERBENAWARD_KEY_VALUE", help="URL of the key-value service."
    ),
]
EntryOption = Annotated[
    list[str],
    typer.Option(
        "--entry", envvar="VERBENAWARD_ENTRIES", help="Address of an entry process; repeatable."
    ),
]
JsonOption = Annotated[bool, typer.Option("--json", help="Print the output as one JSON document.")]
AuthorOption = Annotated[str, typer.Option("--author", envvar="USER", help="Author of the change.")]
CommitOption = Annotated[
    str,
    typer.Option("--commit", envvar="VERBENAWARD_COMMIT", help="Commit of the declarations."),
]
PruneOption = Annotated[
    bool, typer.Option("--prune", help="Remove accepted items that are not declared.")
]
DryRunOption = Annotated[
    bool, typer.Option("--dry-run", help="Show the changes without applying them.")
]
TimeoutOption = Annotated[float, typer.Option("--timeout", help="Longest wait, in seconds.")]
DeclarationsOption = Annotated[
    Path, typer.Option("-f", "--file", help="Manifest, or folder of manifests.")
]
