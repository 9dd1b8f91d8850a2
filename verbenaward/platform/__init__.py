"""Ports to the services of the platform, with adapters found by name."""

from . import key_value_http, leased_store

__all__ = ["key_value_http", "leased_store"]
