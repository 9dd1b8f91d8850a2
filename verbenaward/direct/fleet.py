"""The state that an entry process derives from the items of the store."""

import math
from collections.abc import Callable
from dataclasses import dataclass

from returns.result import Success

from ..data import Backend, NamedVersion, Route
from ..knowledge.items import ItemView
from ..logs import get_logger
from ..platform.declarations import backend_of, configuration_of, named_version_of
from ..platform.key_value import KeyValueEntry
from ..platform.names import BACKEND_PREFIX, CONFIGURATION_KEY, VERSION_PREFIX
from .backends import BackendView
from .routes import RouteTable, table_of

LOG = get_logger(__name__)
LAPSE_SECONDS = 2.0
"""Time for which a backend stays in use whose registration lapsed in an outage of the store."""
OUTAGE_MEMORY_SECONDS = 3.0
START_AGE_SECONDS = 5.3
"""Age that a version is held to have which a new process finds; when it was named is unknown."""
START_DUE_SECONDS = 2.7
"""Time after which such a version binds, however long the bound: it may be due already."""
KEPT_VERSIONS = 16


@dataclass(frozen=True, slots=True)
class HeardVersion:
    """A named version of weights.

    Attributes:
      named: The version.
      heard_at: When it was heard, or is held to have been, monotonic.
      binds_at: When it binds at the latest, monotonic; never for one that was heard at once.
    """

    named: NamedVersion
    heard_at: float
    binds_at: float = math.inf

    def due_at(self, bound_seconds: float) -> float:
        """Return the time from which nothing older may begin, monotonic."""
        return min(self.heard_at + bound_seconds, self.binds_at)


class Fleet:
    """Configuration, backends and versions of weights, as this process believes them.

    Attributes:
      view: Items of the store.
      table: Routes in force; None before a configuration is known.
      backends: Views by identity.
      by_service: Views by service.
      versions: Named versions of each model, the newest last.
      version_listeners: Called with each version that is named while this process runs.
      store_lost_at: When a call to the store last failed; 0 for never.
    """

    def __init__(self, view: ItemView) -> None:
        self.view = view
        self.table: RouteTable | None = None
        self.backends: dict[str, BackendView] = {}
        self.by_service: dict[str, list[BackendView]] = {}
        self.versions: dict[str, list[HeardVersion]] = {}
        self.version_listeners: list[Callable[[str, int], None]] = []
        self.store_lost_at = 0.0
        view.listeners.append(self.take)

    def take(self, entry: KeyValueEntry, now: float) -> None:
        """Take a changed item of the store.

        Args:
          entry: The item; deleted where its value is empty.
          now: Present time, monotonic, in seconds.
        """
        if entry.key == CONFIGURATION_KEY:
            self.take_configuration(entry)
        elif entry.key.startswith(BACKEND_PREFIX):
            self.take_backend(entry, now)
        elif entry.key.startswith(VERSION_PREFIX):
            self.take_version(entry, now)

    def take_configuration(self, entry: KeyValueEntry) -> None:
        """Put a configuration in force; keep the last good one where it cannot be read."""
        if not entry.value:
            return
        result = configuration_of(entry)
        if not isinstance(result, Success):
            LOG.error("configuration.unreadable", fault=result.failure().message)
            return
        configuration = result.unwrap()
        known = self.table.configuration.version if self.table else 0
        if configuration.version < known:
            LOG.error("configuration.older", version=configuration.version, known=known)
            return
        self.table = table_of(configuration)
        LOG.info("configuration.taken", version=configuration.version, revision=entry.version)

    def take_backend(self, entry: KeyValueEntry, now: float) -> None:
        """Take the registration of a backend, or its end."""
        identity = entry.key.removeprefix(BACKEND_PREFIX)
        if not entry.value:
            self.end_backend(identity, now)
            return
        result = backend_of(entry)
        if not isinstance(result, Success):
            LOG.warning("backend.unreadable", fault=result.failure().message, key=entry.key)
            self.drop(identity)
            return
        self.put(result.unwrap(), now)

    def put(self, backend: Backend, now: float) -> None:
        """Take a readable registration; one whose address has a later incarnation names nobody."""
        for view in self.at_address(backend):
            if view.backend.born_unix_ms > backend.born_unix_ms > 0:
                self.drop(backend.identity)
                return
            if 0 < view.backend.born_unix_ms < backend.born_unix_ms:
                LOG.info("backend.gone", backend=view.backend.identity)
                self.drop(view.backend.identity)
        known = self.backends.get(backend.identity)
        if known is None or known.backend.born_unix_ms != backend.born_unix_ms:
            self.drop(backend.identity)
            known = self.backends[backend.identity] = BackendView(backend)
            LOG.info(
                "backend.heard",
                backend=backend.identity,
                service=backend.service,
                revision=backend.revision,
            )
        elif backend.is_leaving and not known.backend.is_leaving:
            LOG.info("backend.leaving", backend=backend.identity, revision=backend.revision)
        if known.backend.weights != backend.weights:
            known.loading_until = 0.0
        known.backend = backend
        known.gone_at = 0.0
        self.arrange()

    def at_address(self, backend: Backend) -> list[BackendView]:
        """Return the other incarnations that are known at the address of a backend."""
        return [
            view
            for view in self.backends.values()
            if view.backend.address == backend.address and view.backend.identity != backend.identity
        ]

    def note_misdirected(self, short_names: tuple[int, ...], now: float) -> None:
        """Take what another entry process found: these backends are not what they were."""
        for view in self.backends.values() if short_names else ():
            if view.short_name in short_names and view.loading_until <= now:
                view.note_misdirected(now)

    def note_loading(self, address: str, in_seconds: float, now: float) -> None:
        """Note that a backend will take nothing until it holds other weights.

        Args:
          address: Where it listens.
          in_seconds: Time until it begins; 0 where it takes nothing from now on.
          now: Present time, monotonic, in seconds.
        """
        for view in self.backends.values():
            if view.backend.address != address:
                continue
            if in_seconds:
                view.loads_at = now + in_seconds
                continue
            view.note_loading(now)
            LOG.info("backend.loading", backend=view.backend.identity)

    def end_backend(self, identity: str, now: float) -> None:
        """Take the end of a registration; one that may be back after an outage stays a while."""
        view = self.backends.get(identity)
        if view is None:
            return
        if now - self.store_lost_at < OUTAGE_MEMORY_SECONDS and self.store_lost_at:
            view.gone_at = now
            LOG.info("backend.lapsed", backend=identity)
            return
        LOG.info("backend.gone", backend=identity)
        self.drop(identity)

    def drop(self, identity: str) -> None:
        """Forget a backend."""
        if self.backends.pop(identity, None) is not None:
            self.arrange()

    def arrange(self) -> None:
        """Sort the backends by service."""
        self.by_service = {}
        for view in self.backends.values():
            self.by_service.setdefault(view.backend.service, []).append(view)

    def take_version(self, entry: KeyValueEntry, now: float) -> None:
        """Take a named version of weights."""
        if not entry.value:
            return
        result = named_version_of(entry)
        if not isinstance(result, Success):
            LOG.warning("version.unreadable", fault=result.failure().message)
            return
        named = result.unwrap()
        known = self.versions.setdefault(named.model, [])
        if known and named.version <= known[-1].named.version:
            return
        if self.view.revision:
            known.append(HeardVersion(named, now))
        else:
            known.append(HeardVersion(named, now - START_AGE_SECONDS, now + START_DUE_SECONDS))
        del known[:-KEPT_VERSIONS]
        LOG.info("version.named", model=named.model, version=named.version)
        for listener in self.version_listeners if self.view.revision else ():
            listener(named.model, named.version)

    def usable(self, service: str, now: float) -> list[BackendView]:
        """Return the backends of a service that may get new work."""
        found = []
        for view in self.by_service.get(service, ()):
            if view.gone_at and now - view.gone_at > LAPSE_SECONDS:
                continue
            if not view.backend.is_leaving:
                found.append(view)
        return found

    def required_version(self, model: str, bound_seconds: float, now: float) -> int:
        """Return the version that a request must run on; 0 where any will do.

        Args:
          model: Model that the request names.
          bound_seconds: Time after its naming from which nothing older may begin.
          now: Present time, monotonic, in seconds.
        """
        named = self.versions.get(model, ())
        due = [item.named.version for item in named if now >= item.due_at(bound_seconds)]
        return max(due, default=0)

    def outdated_at(self, model: str, version: int, bound_seconds: float) -> float:
        """Return the time from which a version may not begin any more; never for the newest.

        Args:
          model: Name of the model.
          version: Version that a backend holds.
          bound_seconds: Time after its naming from which nothing older may begin.
        """
        newer = [item for item in self.versions.get(model, ()) if item.named.version > version]
        return min((item.due_at(bound_seconds) for item in newer), default=math.inf)

    def newest_version(self, model: str) -> int:
        """Return the newest named version of a model; 0 for none."""
        named = self.versions.get(model)
        return named[-1].named.version if named else 0

    def first_above(self, model: str, version: int) -> HeardVersion | None:
        """Return the named version that was heard first among those above a version."""
        newer = [item for item in self.versions.get(model, ()) if item.named.version > version]
        return min(newer, key=lambda item: item.heard_at, default=None)

    def is_loaded(self) -> bool:
        """Return True where requests can be served: routes and a backend are known."""
        return self.table is not None and bool(self.backends)

    def routes(self) -> tuple[Route, ...]:
        """Return the routes in force."""
        return self.table.configuration.routes if self.table else ()
