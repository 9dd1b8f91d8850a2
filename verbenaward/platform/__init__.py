"""Ports to the services of the users' platform, and their adapters.

The users' platform is the platform on which a deployment runs: its key-value store, backends and
origin of weights.

The key-value adapters are imported here so that they register themselves under their names.
"""

from . import key_value_http, leased_store

__all__ = ["key_value_http", "leased_store"]
