"""Manifests: checks, digests and differences."""

from dataclasses import dataclass
from pathlib import Path
from typing import Any

import blake3
import msgspec

from ..data import Fault
from ..schema.manifest import Artifact, Manifest, Release, Service
from .documents import Checked, check_document, read_document


@dataclass(frozen=True, slots=True)
class Change:
    """One difference between two manifests; an empty text says that the item is absent."""

    path: str
    before: str
    after: str


def load_manifest(path: Path) -> Checked[Manifest]:
    """Read and check a manifest file."""
    return with_manifest_faults(str(path), read_document(path, "manifest", Manifest))


def parse_manifest(source: str, payload: bytes) -> Checked[Manifest]:
    """Check the bytes of a manifest."""
    checked = check_document(source, payload, "manifest", Manifest)
    return with_manifest_faults(source, checked)


def with_manifest_faults(source: str, checked: Checked[Manifest]) -> Checked[Manifest]:
    """Add the faults that the schema cannot express."""
    if checked.value is None:
        return checked
    faults = manifest_faults(source, checked.value)
    return Checked(None if faults else checked.value, faults)


def manifest_faults(source: str, manifest: Manifest) -> tuple[Fault, ...]:
    """Return faults of names that stand twice."""
    faults = []
    named = {
        "releases": [release.role for release in manifest.releases],
        "services": [service.name for service in manifest.services],
        "workspaces": [workspace.name for workspace in manifest.workspaces],
        "models": [release.model.name for release in manifest.releases],
    }
    for path, names in named.items():
        for name in sorted({name for name in names if names.count(name) > 1}):
            faults.append(Fault(source, path, f"{name} stands twice", "remove one of them"))
    roles = {release.role for release in manifest.releases}
    for service in manifest.services:
        if service.role in roles:
            message = f"role {service.role} has a release and a service"
            faults.append(Fault(source, f"services.{service.name}", message))
    return tuple(faults)


def canonical(document: Any) -> bytes:
    """Return the same bytes for documents that say the same."""
    return msgspec.json.encode(document, order="sorted")


def digest_of(document: Any) -> str:
    """Return the BLAKE3 digest of a document, in hexadecimal."""
    return blake3.blake3(canonical(document)).hexdigest()


def release_digest(release: Release) -> str:
    """Return the digest that names a release; it reads no weights."""
    return digest_of(release)


def artifacts_of(release: Release) -> tuple[Artifact, ...]:
    """Return the model and the adapters of a release."""
    return (release.model, *release.adapters)


def release_of_role(manifest: Manifest, role: str) -> Release | None:
    """Return the release of a role, or None."""
    return next((item for item in manifest.releases if item.role == role), None)


def release_of_model(manifest: Manifest, model: str) -> Release | None:
    """Return the release that serves a model or adapter of a name, or None."""
    for release in manifest.releases:
        if any(artifact.name == model for artifact in artifacts_of(release)):
            return release
    return None


def service_of_name(manifest: Manifest, name: str) -> Service | None:
    """Return the service of a name, or None."""
    return next((item for item in manifest.services if item.name == name), None)


def differences(before: Manifest, after: Manifest) -> tuple[Change, ...]:
    """Return what changes between two manifests, item by item."""
    old, new = items_of(before), items_of(after)
    paths = sorted(old.keys() | new.keys())
    return tuple(
        Change(path, old.get(path, ""), new.get(path, ""))
        for path in paths
        if old.get(path) != new.get(path)
    )


def items_of(manifest: Manifest) -> dict[str, str]:
    """Return one line of text for each item of a manifest, by path."""
    items = {}
    for release in manifest.releases:
        for artifact in artifacts_of(release):
            path = f"releases/{release.role}/{artifact.name}"
            items[path] = f"{artifact.version} {artifact.table[:12]} {artifact.size_bytes} bytes"
    for service in manifest.services:
        methods = ",".join(service.idempotent_methods)
        items[f"services/{service.name}"] = f"role {service.role}, idempotent {methods}"
    for workspace in manifest.workspaces:
        items[f"workspaces/{workspace.name}"] = f"weight {workspace.weight}"
    return items
