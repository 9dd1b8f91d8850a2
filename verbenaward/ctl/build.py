"""Chunk tables and artifacts made from the files of a model or adapter."""

import shutil
from dataclasses import dataclass
from pathlib import Path

from ..schema.manifest import Artifact
from ..weights.chunk_table import TABLE_FOLDER, LoadedChunkTable, build_table


@dataclass(frozen=True, slots=True)
class BuiltArtifact:
    """A chunk table and the artifact that refers to it by digest."""

    table: LoadedChunkTable
    artifact: Artifact


def build_artifact(folder: Path, name: str, version: str, chunk_bytes: int = 0) -> BuiltArtifact:
    """Hash the files of a folder in chunks.

    Args:
      folder: Folder with the files of one version.
      name: Name of the model or adapter.
      version: Version label.
      chunk_bytes: Chunk size; 0 to derive it from the total size.
    """
    table = build_table(folder, name, version, chunk_bytes)
    artifact = Artifact(
        name=name, version=version, table=table.digest.hex(), size_bytes=table.size_bytes
    )
    return BuiltArtifact(table, artifact)


def publish(built: BuiltArtifact, folder: Path, origin: Path) -> None:
    """Copy the files and their chunk table into the folder that the origin serves.

    Args:
      built: What to publish.
      folder: Folder with the files; not copied if it is already the origin's.
      origin: Folder that the origin serves.
    """
    target = origin / built.table.folder
    if target.resolve() != folder.resolve():
        shutil.copytree(folder, target, dirs_exist_ok=True)
    tables = origin / TABLE_FOLDER
    tables.mkdir(parents=True, exist_ok=True)
    (tables / built.table.digest.hex()).write_bytes(built.table.encoded)
