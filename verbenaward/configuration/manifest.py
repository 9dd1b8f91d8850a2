"""Manifests: checks, digests, look-ups and differences."""

from dataclasses import dataclass
from pathlib import Path
from typing import Any

import blake3
import msgspec

from ..data import Fault
from ..schema.manifest import Artifact, Manifest, Release, Service
from .documents import Checked, check_document, items_at, object_at, read_document


@dataclass(frozen=True, slots=True)
class Change:
    """One item that differs between two manifests; an empty text means that it is absent."""

    path: str
    before: str
    after: str


def load_manifest(path: Path) -> Checked[Manifest]:
    """Read and check a manifest file."""
    return read_document(path, "manifest", Manifest, manifest_faults)


def parse_manifest(source: str, payload: bytes) -> Checked[Manifest]:
    """Check the bytes of a manifest."""
    return check_document(source, payload, "manifest", Manifest, manifest_faults)


def manifest_faults(source: str, value: Any) -> tuple[Fault, ...]:
    """Return the faults that the schema cannot express, in unchecked JSON: names used twice."""
    releases, services = items_at(value, "releases"), items_at(value, "services")
    names_by_path = {
        "releases": [item.get("role") for item in releases],
        "services": [item.get("name") for item in services],
        "workspaces": [item.get("name") for item in items_at(value, "workspaces")],
        "models": [object_at(item, "model").get("name") for item in releases],
    }
    faults = []
    for path, names in names_by_path.items():
        texts = [name for name in names if isinstance(name, str)]
        for name in sorted({name for name in texts if texts.count(name) > 1}):
            faults.append(Fault(source, path, f"{name} is listed twice", "remove one of them"))
    for item in services:
        if isinstance(item.get("role"), str) and item["role"] in names_by_path["releases"]:
            message = f"role {item['role']} is served by both a release and a service"
            faults.append(Fault(source, f"services.{item.get('name')}", message))
    return tuple(faults)


def canonical(document: Any) -> bytes:
    """Return JSON with sorted keys, so that equal documents give equal bytes."""
    return msgspec.json.encode(document, order="sorted")


def digest_of(document: Any) -> str:
    """Return the BLAKE3 digest of a document's canonical form, in hexadecimal."""
    return blake3.blake3(canonical(document)).hexdigest()


def release_digest(release: Release) -> str:
    """Return the digest that identifies a release, computed from its declaration alone."""
    return digest_of(release)


def artifacts_of(release: Release) -> tuple[Artifact, ...]:
    """Return everything that is loaded for a release: its model and its adapters."""
    return (release.model, *release.adapters)


def release_of_role(manifest: Manifest, role: str) -> Release | None:
    """Return the release with this role, or None."""
    return next((item for item in manifest.releases if item.role == role), None)


def release_of_model(manifest: Manifest, model: str) -> Release | None:
    """Return the release with a model or adapter of this name, or None."""
    for release in manifest.releases:
        if any(artifact.name == model for artifact in artifacts_of(release)):
            return release
    return None


def service_of_name(manifest: Manifest, name: str) -> Service | None:
    """Return the service with this name, or None."""
    return next((item for item in manifest.services if item.name == name), None)


def differences(before: Manifest, after: Manifest) -> tuple[Change, ...]:
    """Return the items that differ between two manifests, sorted by path."""
    old, new = items_of(before), items_of(after)
    paths = sorted(old.keys() | new.keys())
    return tuple(
        Change(path, old.get(path, ""), new.get(path, ""))
        for path in paths
        if old.get(path) != new.get(path)
    )


def items_of(manifest: Manifest) -> dict[str, str]:
    """Return a line of text for each item of a manifest, by its path."""
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
