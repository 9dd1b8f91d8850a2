"""Declared state: one manifest file, or a folder of manifests that are merged."""

from pathlib import Path

import msgspec

from ..configuration.documents import Checked
from ..configuration.manifest import load_manifest, manifest_faults
from ..data import Fault
from ..schema.manifest import Manifest

SUFFIXES = (".json", ".jsonc", ".json5")


def load_declarations(path: Path) -> Checked[Manifest]:
    """Read one manifest file, or merge all manifests of a folder.

    Args:
      path: File or folder.

    Returns:
      The manifest, or all faults of all files.
    """
    if not path.is_dir():
        return load_manifest(path)
    files = sorted(item for item in path.rglob("*") if item.suffix in SUFFIXES)
    if not files:
        return Checked(None, (Fault(str(path), "", f"contains no {', '.join(SUFFIXES)} file"),))
    checked = [load_manifest(item) for item in files]
    faults = tuple(fault for item in checked for fault in item.faults)
    if faults:
        return Checked(None, faults)
    merged = merge([item.value for item in checked if item.value is not None])
    faults = manifest_faults(str(path), msgspec.to_builtins(merged))
    return Checked(None if faults else merged, faults)


def merge(manifests: list[Manifest]) -> Manifest:
    """Return one manifest with the items of all manifests; duplicates are kept."""
    return Manifest(
        format=1,
        releases=[item for manifest in manifests for item in manifest.releases],
        services=[item for manifest in manifests for item in manifest.services],
        workspaces=[item for manifest in manifests for item in manifest.workspaces],
    )


def overlay(accepted: Manifest, declared: Manifest) -> Manifest:
    """Return the accepted manifest with the declared items added, or replacing their namesakes."""
    roles = {item.role for item in declared.releases}
    services = {item.name for item in declared.services}
    workspaces = {item.name for item in declared.workspaces}
    kept = Manifest(
        format=1,
        releases=[item for item in accepted.releases if item.role not in roles],
        services=[item for item in accepted.services if item.name not in services],
        workspaces=[item for item in accepted.workspaces if item.name not in workspaces],
    )
    return sorted_by_name(merge([kept, declared]))


def sorted_by_name(manifest: Manifest) -> Manifest:
    """Return a manifest with releases sorted by role, services and workspaces by name."""
    return Manifest(
        format=1,
        releases=sorted(manifest.releases, key=lambda item: item.role),
        services=sorted(manifest.services, key=lambda item: item.name),
        workspaces=sorted(manifest.workspaces, key=lambda item: item.name),
    )
