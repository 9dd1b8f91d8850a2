"""Sections of the state broadcasts: one module for each kind of state that processes share."""

from . import (
    backend_state,
    crashes,
    limits,
    loads,
    peers,
    retries,
    store_position,
)

__all__ = ["backend_state", "crashes", "limits", "loads", "peers", "retries", "store_position"]
