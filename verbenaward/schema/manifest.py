"""Documents generated from schema/manifest.schema.json."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Literal, TypeAlias

Digest: TypeAlias = str


Name: TypeAlias = str


@dataclass(frozen=True)
class Artifact:
    """
    One version of a model or adapter, named by the digest of its chunk table.
    """

    name: Name
    version: Name
    table: Digest
    size_bytes: int


@dataclass(frozen=True)
class Service:
    """
    A plain service beside the engines.
    """

    name: Name
    role: Name
    idempotent_methods: list[Literal['GET', 'HEAD', 'PUT', 'DELETE', 'POST', 'PATCH']] = field(
        default_factory=lambda: ['GET', 'HEAD']
    )


@dataclass(frozen=True)
class Workspace:
    """
    A workspace: one customer.
    """

    name: Name
    weight: int = 1


@dataclass(frozen=True)
class Release:
    """
    A model with its adapters for the VMs of one role.
    """

    role: Name
    model: Artifact
    adapters: list[Artifact] = field(default_factory=list)


@dataclass(frozen=True)
class Manifest:
    """
    Desired state of the system: releases, services and workspaces.
    """

    format: Literal[1]
    releases: list[Release]
    services: list[Service] = field(default_factory=list)
    workspaces: list[Workspace] = field(default_factory=list)
