"""Configuration, backends and weights versions, as derived from the entries of the store."""

import dataclasses
import math
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from returns.result import Success

from ..data import Backend, HeldWeights, Route, TargetVersion
from ..logs import get_logger
from ..platform.declarations import parse_backend, parse_configuration, parse_target_version
from ..platform.key_value import KeyValueEntry
from ..platform.names import (
    BACKEND_PREFIX,
    CONFIGURATION_KEY,
    EVACUATION_PREFIX,
    VERSION_PREFIX,
)
from ..platform.request_headers import BackendNotice
from ..replica.store_replica import StoreReplica
from .backend_notices import NoticeBook, record_notice
from .backends import BackendView
from .evacuations import Evacuations
from .left_out import LeftOutRegistrations
from .regions import UnknownRegions
from .routes import RouteTable, route_table_of
from .warm_up import WarmUpLog, rate_while_cold

LOG = get_logger(__name__)
LAPSED_GRACE_SECONDS = 1.8
"""Time after the return of the store for which a backend stays in use whose registration lapsed in
the outage: the 2 s in which backends register again and those that leave get their last request,
less 0.2 s for sending it."""
ASSUMED_AGE_AT_START_SECONDS = 5.3
"""Assumed age of a target version that a process finds at its start."""
MAXIMUM_DELAY_AT_START_SECONDS = 2.7
"""Limit on the time after the start until such a version is required, as it may be due already."""
MILLISECONDS_PER_SECOND = 1000
KEPT_VERSIONS = 16
"""Target versions that are remembered for each model."""


@dataclass(frozen=True, slots=True)
class LearnedVersion:
    """A target version of weights, and when it may have been set.

    Attributes:
      target: The version.
      learned_at: When this process learned of it, monotonic; for a version found at the start, the
        same assumed time as `set_after`.
      set_after: Earliest time at which it can have been set, monotonic; assumed for a version found
        at the start.
      required_by: Limit on the time from which it is required, monotonic; infinite unless the
        version was found at the start.
    """

    target: TargetVersion
    learned_at: float
    set_after: float
    required_by: float = math.inf

    def required_from(self, version_seconds: float) -> float:
        """Return the time from which no request may start on older weights, monotonic."""
        return min(self.set_after + version_seconds, self.required_by)


class Fleet:
    """Configuration, backends and weights versions, as far as this process has learned them.

    Attributes:
      replica: Local replica of the key-value store.
      started_at: When the process started, monotonic.
      table: Routes in force; None before a configuration is known.
      backends: Backends by identity.
      by_service: Backends by service.
      left_out: Registrations that are not in use, as of an earlier incarnation.
      versions: Target versions of each model, the newest last.
      version_listeners: Called with the model and version of each target version that is set while
        this process runs.
      store_failed_at: When a call to the store last failed, monotonic; 0 for never.
      notices: What backends have said of themselves.
      evacuations: Availability zones whose backends get no requests.
      unknown_regions: Reports regions of configurations that the settings do not have.
      warm_up_log: Writes log lines about cold backends.
    """

    def __init__(self, replica: StoreReplica, started_at: float) -> None:
        self.replica = replica
        self.started_at = started_at
        self.table: RouteTable | None = None
        self.backends: dict[str, BackendView] = {}
        self.by_service: dict[str, list[BackendView]] = {}
        self.left_out = LeftOutRegistrations()
        self.versions: dict[str, list[LearnedVersion]] = {}
        self.version_listeners: list[Callable[[str, int], None]] = []
        self.store_failed_at = 0.0
        self.notices = NoticeBook()
        self.evacuations = Evacuations()
        # Backends of the zone may have become cold meanwhile.
        self.evacuations.return_listeners.append(self.start_warm_up)
        self.unknown_regions = UnknownRegions()
        self.warm_up_log = WarmUpLog()
        replica.listeners.append(self.apply_item)

    def apply_item(self, entry: KeyValueEntry, now: float) -> None:
        """Apply a changed item of the store.

        Args:
          entry: The item; an empty value means that it was deleted.
          now: Present time, monotonic, in seconds.
        """
        if entry.key == CONFIGURATION_KEY:
            self.apply_configuration(entry)
        elif entry.key.startswith(BACKEND_PREFIX):
            self.apply_registration(entry, now)
        elif entry.key.startswith(VERSION_PREFIX):
            self.apply_version(entry, now)
        elif entry.key.startswith(EVACUATION_PREFIX):
            self.evacuations.apply(entry, now)

    def use_zones(self, zones: Mapping[str, str]) -> None:
        """Use the settings' region of each availability zone."""
        self.unknown_regions.known = frozenset(zones.values())
        self.evacuations.known_zones = frozenset(zones)

    def apply_configuration(self, entry: KeyValueEntry) -> None:
        """Put a configuration in force; keep the last good one if it is malformed or older."""
        if not entry.value:
            return
        result = parse_configuration(entry)
        if not isinstance(result, Success):
            LOG.error("configuration.unreadable", fault=result.failure().message)
            return
        configuration = result.unwrap()
        known = self.table.configuration.version if self.table else 0
        if configuration.version < known:
            LOG.error("configuration.older", version=configuration.version, known=known)
            return
        self.table = route_table_of(configuration)
        for view in self.backends.values():
            self.apply_cold_rate(view)
        LOG.info("configuration.taken", version=configuration.version, revision=entry.revision)
        self.unknown_regions.report(configuration)

    def apply_registration(self, entry: KeyValueEntry, now: float) -> None:
        """Apply the registration of a backend, or its deletion."""
        identity = entry.key.removeprefix(BACKEND_PREFIX)
        self.left_out.forget(identity)
        if not entry.value:
            self.handle_deregistration(identity, now)
            return
        result = parse_backend(entry)
        if not isinstance(result, Success):
            LOG.warning("backend.unreadable", fault=result.failure().message, key=entry.key)
            self.remove(identity)
            return
        backend = result.unwrap()
        self.put(backend, now)
        view = self.backends.get(identity)
        if view is not None:
            warm_up = view.notices.warm_up
            warm_up.record_registration(backend.cold_seconds, entry.acknowledged_after, now)

    def apply_cold_rate(self, view: BackendView) -> None:
        """Apply the limit that the service of a backend declares for cold backends."""
        service = self.table.services.get(view.backend.service) if self.table else None
        declared = service.cold_per_second if service else 0.0
        view.notices.warm_up.per_second = rate_while_cold(declared)

    def start_warm_up(self, zone: str, now: float) -> None:
        """Count all backends of an availability zone as cold from now, for their service's time."""
        for view in self.backends.values():
            service = self.table.services.get(view.backend.service) if self.table else None
            if service is not None and view.backend.zone == zone:
                view.notices.warm_up.record_cold(service.cold_start_seconds, now)

    def log_warm_ups(self, now: float) -> int:
        """Log which warm-ups have begun or ended, and return how many are in progress."""
        warm_ups = {identity: view.notices.warm_up for identity, view in self.backends.items()}
        return self.warm_up_log.update(warm_ups, now)

    def put(self, backend: Backend, now: float) -> None:
        """Add or update a backend.

        Of several incarnations at one address, only the one that started last is kept. A
        registration without a start time is that of the last known incarnation.
        """
        if not backend.born_unix_ms:
            started = self.notices.last_start(backend.identity)
            backend = dataclasses.replace(backend, born_unix_ms=started)
        for view in self.others_at_address(backend):
            if view.backend.born_unix_ms > backend.born_unix_ms > 0:
                self.remove(backend.identity)
                self.left_out.record(backend)
                return
            if 0 < view.backend.born_unix_ms < backend.born_unix_ms:
                LOG.info("backend.gone", backend=view.backend.identity)
                self.remove(view.backend.identity)
        known = self.backends.get(backend.identity)
        if known is None or known.backend.born_unix_ms != backend.born_unix_ms:
            self.remove(backend.identity)
            known = self.backends[backend.identity] = BackendView(backend)
            known.notices = self.notices.of(backend)
            LOG.info(
                "backend.registered",
                backend=backend.identity,
                service=backend.service,
                revision=backend.revision,
            )
        elif backend.is_leaving and not known.backend.is_leaving:
            LOG.info("backend.leaving", backend=backend.identity, revision=backend.revision)
        backend = known.with_loaded(backend, now)
        if known.backend.weights != backend.weights:
            known.excluded_until = 0.0
        known.backend = backend
        known.lapsed_until = 0.0
        self.apply_cold_rate(known)
        self.rebuild_service_index()

    def others_at_address(self, backend: Backend) -> list[BackendView]:
        """Return the other known incarnations at the address of a backend."""
        return [
            view
            for view in self.backends.values()
            if view.backend.address == backend.address and view.backend.identity != backend.identity
        ]

    def record_misdirected(self, short_names: tuple[int, ...], now: float) -> None:
        """Exclude backends at whose addresses another entry process met another incarnation."""
        for view in self.backends.values() if short_names else ():
            if view.short_name in short_names and view.excluded_until <= now:
                view.record_misdirected(now)

    def record_notice(
        self,
        view: BackendView,
        notice: BackendNotice,
        sent_at: float,
        now: float,
        extension_share: float,
    ) -> None:
        """Record what a backend says of itself in an answer.

        Args:
          view: The backend.
          notice: What its answer says.
          sent_at: When the request was sent, monotonic.
          now: Present time, monotonic, in seconds.
          extension_share: Random number from 0 to 1 that spreads the ends of pauses.
        """
        notices = view.notices
        was_leaving, paused_until = notices.is_leaving, notices.paused_until
        record_notice(notices, notice, now, extension_share)
        if notices.is_leaving and not was_leaving:
            LOG.info("backend.announced-drain", backend=view.backend.identity)
        if notices.paused_until > max(now, paused_until):
            seconds = round(notices.paused_until - now, 3)
            LOG.info("backend.paused", backend=view.backend.identity, seconds=seconds)
        self.record_limit(view, notice, sent_at, now)

    def record_limit(
        self, view: BackendView, notice: BackendNotice, sent_at: float, now: float
    ) -> None:
        """Record whether an answer names a limit; a malformed one changes nothing.

        Args:
          view: The backend.
          notice: What its answer says.
          sent_at: When the request was sent, monotonic.
          now: Present time, monotonic, in seconds.
        """
        notices, identity = view.notices, view.backend.identity
        if notice.malformed_limit and not notices.has_malformed_limit:
            notices.has_malformed_limit = True
            LOG.warning("backend.limit-unreadable", backend=identity, limit=notice.malformed_limit)
        if notice.limit_per_second is None:
            return
        if notices.limit.record_answer(notice.limit_per_second, sent_at, now):
            log_limit(identity, notices.limit.per_second)

    def record_loading(self, address: str, seconds_until_load: float, now: float) -> None:
        """Record that a backend is about to load other weights and accepts no requests meanwhile.

        Args:
          address: Address of the backend.
          seconds_until_load: Time until it stops accepting requests; 0 if it has stopped.
          now: Present time, monotonic, in seconds.
        """
        for view in self.backends.values():
            if view.backend.address != address:
                continue
            if seconds_until_load:
                view.loading_starts_at = now + seconds_until_load
                continue
            view.record_loading(now)
            LOG.info("backend.loading", backend=view.backend.identity)

    def record_loaded(
        self, address: str, weights: HeldWeights, born_unix_ms: int, now: float
    ) -> None:
        """Record that a backend has loaded weights and accepts requests.

        Args:
          address: Address of the backend.
          weights: Weights that it holds.
          born_unix_ms: Start of the incarnation that holds them, in milliseconds since the epoch.
          now: Present time, monotonic, in seconds.
        """
        for view in self.backends.values():
            backend = view.backend
            if backend.address != address or backend.weights is None:
                continue
            if backend.born_unix_ms == born_unix_ms and view.record_loaded(weights, now):
                LOG.info("backend.loaded", backend=backend.identity, version=weights.version)

    def record_reported_requests(self, address: str, requests: int, now: float) -> None:
        """Record how many requests run or wait at a backend, as its endpoint process reports.

        Args:
          address: Address of the backend.
          requests: Requests of all entry processes.
          now: Present time, monotonic, in seconds.
        """
        for view in self.backends.values():
            if view.backend.address == address:
                view.record_reported_requests(requests, now)

    def handle_deregistration(self, identity: str, now: float) -> None:
        """Remove a backend whose registration ended.

        After an outage or a restore of the store it may have lapsed, and stays in use until
        `LAPSED_GRACE_SECONDS` after the store's return, as it may register again. One that leaves
        cannot be distinguished from it.
        """
        view = self.backends.get(identity)
        if view is None:
            return
        successor = self.left_out.successor_of(view.backend)
        if successor is not None:
            self.replace_ended(view.backend, successor, now)
            return
        in_use_until = self.store_returned_at() + LAPSED_GRACE_SECONDS
        if now < in_use_until:
            view.lapsed_until = in_use_until
            LOG.info("backend.lapsed", backend=identity)
            return
        LOG.info("backend.gone", backend=identity)
        self.remove(identity)

    def replace_ended(self, ended: Backend, successor: str, now: float) -> None:
        """Use the registration that was left out for one that has ended."""
        LOG.info("backend.gone", backend=ended.identity)
        self.remove(ended.identity)
        entry = self.replica.entries.get(BACKEND_PREFIX + successor)
        if entry is not None:
            self.apply_registration(entry, now)

    def store_returned_at(self) -> float:
        """Return when the store last returned from an outage or a copy, monotonic.

        It is minus infinity if it has done neither.
        """
        failed_at = self.store_failed_at if self.store_failed_at > 0 else -math.inf
        return max(failed_at, self.replica.restored_at)

    def remove(self, identity: str) -> None:
        """Remove a backend."""
        if self.backends.pop(identity, None) is not None:
            self.rebuild_service_index()

    def rebuild_service_index(self) -> None:
        """Rebuild `by_service`."""
        self.by_service = {}
        for view in self.backends.values():
            self.by_service.setdefault(view.backend.service, []).append(view)

    def apply_version(self, entry: KeyValueEntry, now: float) -> None:
        """Apply a target version of weights; one that is not newer is ignored."""
        if not entry.value:
            return
        result = parse_target_version(entry)
        if not isinstance(result, Success):
            LOG.warning("version.unreadable", fault=result.failure().message)
            return
        target = result.unwrap()
        known = self.versions.setdefault(target.model, [])
        if known and target.version <= known[-1].target.version:
            return
        learned = learned_version(target, entry.acknowledged_after, self.started_at, now)
        known.append(learned)
        del known[:-KEPT_VERSIONS]
        LOG.info(
            "target_version.set",
            model=target.model,
            version=target.version,
            revision=entry.revision,
            age_ms=round((now - learned.set_after) * MILLISECONDS_PER_SECOND),
        )
        for listener in self.version_listeners if self.replica.revision else ():
            listener(target.model, target.version)

    def usable(self, service: str, now: float) -> list[BackendView]:
        """Return the backends of a service that are neither leaving nor lapsed for too long.

        A backend that has asked for a pause, or whose limit is used up, is among them.
        """
        views = self.by_service.get(service, ())
        return [view for view in views if is_staying(view, now)]

    def is_in_use(self, view: BackendView, service: str, now: float) -> bool:
        """Return True if a backend that was among the usable ones of a service still is."""
        is_known = self.backends.get(view.backend.identity) is view
        return is_known and view.backend.service == service and is_staying(view, now)

    def seconds_until_available(
        self, service: str, now: float, may_use: Callable[[BackendView], bool] = lambda _: True
    ) -> float:
        """Return the time until a pause or a limit lets a backend of a service be used again.

        It is 0 if some backend has neither now, or if there is none.

        Args:
          service: Name of the service.
          now: Present time, monotonic, in seconds.
          may_use: Returns False for a backend that is not considered.
        """
        usable = self.usable(service, now)
        ends = [view.notices.available_at() for view in usable if may_use(view)]
        return max(0.0, min(ends, default=0.0) - now)

    def has_limited(
        self,
        service: str,
        now: float,
        may_use: Callable[[BackendView], bool] = lambda _: True,
    ) -> bool:
        """Return True if a backend of a service names a limit, or one applies as it is cold.

        Args:
          service: Name of the service.
          now: Present time, monotonic, in seconds.
          may_use: Returns False for a backend that is not considered.
        """
        views = self.by_service.get(service, ())
        return any(view.notices.is_limited(now) for view in views if may_use(view))

    def required_version(self, model: str, version_seconds: float, now: float) -> int:
        """Return the minimum version that a request must run on; 0 if any will do.

        Args:
          model: Model that the request names.
          version_seconds: Time after a target version is set from which nothing older may start.
          now: Present time, monotonic, in seconds.
        """
        learned = self.versions.get(model, ())
        due = [
            item.target.version for item in learned if now >= item.required_from(version_seconds)
        ]
        return max(due, default=0)

    def start_deadline(self, model: str, version: int, version_seconds: float) -> float:
        """Return the time until which requests may start on a version, monotonic.

        It is infinite for the newest version.

        Args:
          model: Name of the model.
          version: Version that a backend holds.
          version_seconds: Time after a target version is set from which nothing older may start.
        """
        newer = [item for item in self.versions.get(model, ()) if item.target.version > version]
        return min((item.required_from(version_seconds) for item in newer), default=math.inf)

    def newest_version(self, model: str) -> int:
        """Return the newest target version of a model; 0 if none is known."""
        learned = self.versions.get(model)
        return learned[-1].target.version if learned else 0

    def first_newer_version(self, model: str, version: int) -> LearnedVersion | None:
        """Return the version set first among those newer than a version; None for none."""
        newer = [item for item in self.versions.get(model, ()) if item.target.version > version]
        return min(newer, key=lambda item: item.set_after, default=None)

    def can_serve(self) -> bool:
        """Return True if a configuration and at least one backend are known."""
        return self.table is not None and bool(self.backends)

    def routes(self) -> tuple[Route, ...]:
        """Return the routes in force."""
        return self.table.configuration.routes if self.table else ()


def is_staying(view: BackendView, now: float) -> bool:
    """Return True if a backend is neither leaving nor lapsed for too long."""
    has_lapsed = bool(view.lapsed_until) and now >= view.lapsed_until
    return not (has_lapsed or view.backend.is_leaving or view.notices.is_leaving)


def log_limit(identity: str, per_second: float) -> None:
    """Log that the limit of a backend has changed."""
    if per_second < math.inf:
        LOG.info("backend.limited", backend=identity, per_second=per_second)
    else:
        LOG.info("backend.unlimited", backend=identity)


def learned_version(
    target: TargetVersion, acknowledged_after: float, started_at: float, now: float
) -> LearnedVersion:
    """Return a target version with the time from which its bound counts.

    Args:
      target: The version.
      acknowledged_after: Earliest time at which the store can have acknowledged it, monotonic;
        minus infinity for a version found at the start.
      started_at: When the process started, monotonic. The limit for a version found at the start
        counts from then, unless it was found so late that the limit has passed.
      now: Present time, monotonic, in seconds.
    """
    if acknowledged_after > -math.inf:
        return LearnedVersion(target, now, acknowledged_after)
    assumed = now - ASSUMED_AGE_AT_START_SECONDS
    required_by = started_at + MAXIMUM_DELAY_AT_START_SECONDS
    if required_by < now:
        required_by = now + MAXIMUM_DELAY_AT_START_SECONDS
    return LearnedVersion(target, assumed, assumed, required_by)
