"""Model files for benchmarks, and the digests that engines must serve."""

import random
from dataclasses import dataclass
from pathlib import Path

from blake3 import blake3

from verbenaward.configuration.manifest import release_digest
from verbenaward.ctl.build import build_artifact, publish
from verbenaward.schema.manifest import Manifest, Release, Service, Workspace
from verbenaward.weights.chunk_table import LoadedChunkTable

MODEL = "care-assistant"
ROLE = "assistant"
SERVICE = "reservations"
SERVICE_ROLE = "reservation"
SPANS = 50


@dataclass(frozen=True, slots=True)
class ModelVersion:
    """A published version of the model.

    Attributes:
      release: Its entry in a manifest.
      digest: Digest of the release.
      served_digest: Digest that an engine reports when it serves exactly these files.
      table: Its chunk table.
    """

    release: Release
    digest: str
    served_digest: str
    table: LoadedChunkTable


def make_version(
    origin: Path, version: str, size: int, seed: int, base: Path | None = None, changed: float = 0.0
) -> ModelVersion:
    """Create the files of one version and publish them in the origin's folder.

    Args:
      origin: Folder that the origin serves.
      version: Version label.
      size: Size in bytes.
      seed: Seed of the contents.
      base: Folder of an earlier version to start from; None for new contents.
      changed: Share of the bytes that differ from the base, in spans of 1/50 of the model.
    """
    rng = random.Random(seed)
    folder = origin / MODEL / version
    folder.mkdir(parents=True)
    body = (
        bytearray((base / "weights.bin").read_bytes()) if base else bytearray(rng.randbytes(size))
    )
    for span in rng.sample(range(SPANS), round(changed * SPANS)):
        start, stop = size * span // SPANS, size * (span + 1) // SPANS
        body[start:stop] = rng.randbytes(stop - start)
    (folder / "weights.bin").write_bytes(body)
    (folder / "config.json").write_text(f'{{"version": "{version}"}}')
    built = build_artifact(folder, MODEL, version)
    publish(built, folder, origin)
    release = Release(role=ROLE, model=built.artifact)
    return ModelVersion(release, release_digest(release), served_digest(folder), built.table)


def served_digest(folder: Path) -> str:
    """Return the digest that an engine computes over the files of a version."""
    digest = blake3()
    for path in sorted(folder.iterdir()):
        digest.update(f"{MODEL}/{path.name}\n".encode())
        digest.update(path.read_bytes())
    return digest.hexdigest()


def manifest_of(version: ModelVersion, workspaces: dict[str, int] | None = None) -> Manifest:
    """Return a manifest with one release and one plain service."""
    shares = workspaces or {}
    return Manifest(
        format=1,
        releases=[version.release],
        services=[Service(name=SERVICE, role=SERVICE_ROLE)],
        workspaces=[Workspace(name=name, weight=weight) for name, weight in shares.items()],
    )
