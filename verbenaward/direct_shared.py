"""HTTP client, store and metrics handler that both roles of the direct mode use."""

import aiohttp
from aiohttp import web

from .answer_protocol import AnswerConnector
from .http_client import send_writes_once
from .platform.key_value import ADAPTERS, LeasingService
from .schema.settings import Settings
from .sockets import keepalive_socket


def platform_session() -> aiohttp.ClientSession:
    """Return an HTTP client for the store, the origin of weights and other processes."""
    # Idle connections stay open for 10 s.
    connector = AnswerConnector(limit=0, socket_factory=keepalive_socket, keepalive_timeout=10)
    return aiohttp.ClientSession(connector=connector, middlewares=(send_writes_once,))


def leasing_store(settings: Settings, session: aiohttp.ClientSession) -> LeasingService:
    """Build the adapter for the store that the settings name.

    Raises:
      ValueError: The adapter does not support leases.
    """
    adapter = ADAPTERS.find(settings.platform.key_value_adapter)
    store = adapter(session, settings.platform.key_value)
    if not isinstance(store, LeasingService):
        raise ValueError("the adapter of the key-value service does not support leases")
    return store


async def serve_metrics(request: web.Request) -> web.Response:
    """Answer with the metrics of the process in the Prometheus text format."""
    from prometheus_client import CONTENT_TYPE_LATEST, generate_latest

    return web.Response(body=generate_latest(), headers={"Content-Type": CONTENT_TYPE_LATEST})
