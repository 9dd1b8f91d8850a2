"""What the entry and the endpoint role have in common: sessions, the store, metrics."""

import aiohttp
from aiohttp import web

from .platform.key_value import ADAPTERS, LeasingService
from .schema.settings import Settings
from .sockets import careful_socket


def platform_session() -> aiohttp.ClientSession:
    """Return the HTTP client for the store, the origin and other processes."""
    connector = aiohttp.TCPConnector(limit=0, socket_factory=careful_socket, keepalive_timeout=10)
    return aiohttp.ClientSession(connector=connector)


def leasing_store(settings: Settings, session: aiohttp.ClientSession) -> LeasingService:
    """Return the store with leases that the settings name.

    Raises:
      ValueError: The adapter has no leases.
    """
    adapter = ADAPTERS.find(settings.platform.key_value_adapter)
    store = adapter(session, settings.platform.key_value)
    if not isinstance(store, LeasingService):
        raise ValueError("the adapter of the key-value service has no leases")
    return store


async def answer_metrics(request: web.Request) -> web.Response:
    """Answer the metrics of the process."""
    from prometheus_client import CONTENT_TYPE_LATEST, generate_latest

    return web.Response(body=generate_latest(), headers={"Content-Type": CONTENT_TYPE_LATEST})
