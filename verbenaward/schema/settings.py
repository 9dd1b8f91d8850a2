"""Documents generated from schema/settings.schema.json."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Literal, TypeAlias

Address: TypeAlias = str


@dataclass(frozen=True)
class PlatformSettings:
    """
    Addresses of the platform's services, and the adapters for them.
    """

    key_value: str
    key_value_adapter: str = 'http'
    vm_list: str = ''
    origin: str = ''
    weight_store: str = ''


@dataclass(frozen=True)
class OnceSettings:
    """
    Times of the protocol that runs non-idempotent requests at most once.
    """

    patience_seconds: float = 12
    write_delay_seconds: float = 3
    renewal_seconds: float = 4
    resend_seconds: float = 600


@dataclass(frozen=True)
class EntrySettings:
    """
    Limits of an entry process. Ignored in direct mode.
    """

    policy: str = 'prefix-affinity'
    concurrency: int = 512
    queue: int = 2048
    max_body_bytes: int = 4194304
    read_seconds: float = 30
    default_deadline_seconds: float = 60
    address_ttl_seconds: float = 30
    retry_budget_ratio: float = 0.1


@dataclass(frozen=True)
class LinkSettings:
    """
    Rate limits of weight transfers. Ignored in direct mode.
    """

    upload_bytes_per_second: int = 0
    download_bytes_per_second: int = 0
    region_bytes_per_second: int = 0
    origin_bytes_per_second: int = 0
    origin_region: str = ''
    policy: str = 'auto'


@dataclass(frozen=True)
class DirectSettings:
    """
    Settings of the direct mode: entry processes send requests straight to backends, and endpoint processes only load weights into the engine on their VM.
    """

    front: Address = '0.0.0.0:0'
    readiness: Address = '0.0.0.0:0'
    directory: Address = '0.0.0.0:0'
    engine: Address = '0.0.0.0:0'
    service: str = ''
    link_megabits_per_second: float = 0
    zones: dict[str, str] = field(default_factory=dict)
    address_ttl_seconds: float = 2
    grace_seconds: float = 8
    version_seconds: float = 8
    retry_ratio: float = 0.2
    retry_extra: float = 30
    retry_window_seconds: float = 10
    pulse_bytes_per_second: int = 6000
    memory_megabytes: float = 0


@dataclass(frozen=True)
class MembershipSettings:
    """
    Times of the membership protocol. Ignored in direct mode.
    """

    heartbeat_seconds: float = 1.0
    suspect_seconds: float = 3.5
    gone_seconds: float = 15
    registrars: int = 3


@dataclass(frozen=True)
class EndpointSettings:
    """
    Backend of an endpoint process, and its limits. Ignored in direct mode.
    """

    serves: str
    backend: str
    kind: Literal['engine', 'service'] = 'engine'
    engine_adapter: str = 'openai-http'
    engine_checks_fence: bool = True
    order_timeout_seconds: float = 30
    concurrency: int = 8
    queue: int = 8
    memory_bytes: int = 0
    once: OnceSettings = field(default_factory=lambda: OnceSettings())


@dataclass(frozen=True)
class Settings:
    """
    Settings of one verbenaward daemon.
    """

    format: Literal[1]
    role: Literal['entry', 'endpoint']
    vm: str
    region: str
    zone: str
    listen: Address
    platform: PlatformSettings
    seeds: list[Address] = field(default_factory=list)
    endpoint: EndpointSettings | None = None
    entry: EntrySettings = field(default_factory=lambda: EntrySettings())
    links: LinkSettings = field(default_factory=lambda: LinkSettings())
    membership: MembershipSettings = field(default_factory=lambda: MembershipSettings())
    direct: DirectSettings | None = None
    connection_megabytes: float = 48
    shutdown_seconds: float = 60
