"""Manifests made from real files."""

import shutil
from dataclasses import dataclass
from pathlib import Path

from ..schema.manifest import Artifact
from ..weights.table import TABLE_FOLDER, Table, build_table


@dataclass(frozen=True, slots=True)
class Built:
    """A table that was made and the artifact that names it."""

    table: Table
    artifact: Artifact


def build_artifact(folder: Path, name: str, version: str, chunk_bytes: int = 0) -> Built:
    """Hash the files of a folder.

    Args:
      folder: Folder with the files of one version.
      name: Name of the model or adapter.
      version: Version label.
      chunk_bytes: Size of a chunk; 0 to derive it from the size.
    """
    table = build_table(folder, name, version, chunk_bytes)
    artifact = Artifact(
        name=name, version=version, table=table.digest.hex(), size_bytes=table.size_bytes
    )
    return Built(table, artifact)


def publish(built: Built, folder: Path, origin: Path) -> None:
    """Copy the files and the table into the folder that the origin serves.

    Args:
      built: What to publish.
      folder: Folder with the files.
      origin: Folder that the origin serves.
    """
    target = origin / built.table.folder
    if target.resolve() != folder.resolve():
        shutil.copytree(folder, target, dirs_exist_ok=True)
    tables = origin / TABLE_FOLDER
    tables.mkdir(parents=True, exist_ok=True)
    (tables / built.table.digest.hex()).write_bytes(built.table.encoded)
