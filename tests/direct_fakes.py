"""Requests, fleets and entry processes without a network, for steps on the direct mode."""

import time

from multidict import CIMultiDict, CIMultiDictProxy

from verbenaward.data import Backend, EngineProfile, HeldWeights, Route, RouteKind
from verbenaward.direct.budget import SharedRetryBudget
from verbenaward.direct.crash_tracker import CrashTracker
from verbenaward.direct.group_membership import GroupMembership
from verbenaward.direct.state_exchange import StateExchange
from verbenaward.placement.fleet import Fleet
from verbenaward.placement.placer import Placer
from verbenaward.placement.request_types import Request
from verbenaward.platform.request_headers import CallerHeaders
from verbenaward.replica.store_replica import StoreReplica
from verbenaward.schema.settings import DirectSettings, PlatformSettings, Settings

NOW = 1000.0
ENGINE = EngineProfile(16, 0.00887, 0.00004, 19100.0, 2048, 5, 977.0, 94.0, ("model",), 48, 49152)
ROUTE = Route("r", "h", "/", RouteKind.STREAMING, (), 6.0, 0.5, 0.4, 1, 2, False, True)


def request_of(prompt=900, answer=100, hint=0):
    parsed = CallerHeaders("a", 6.0, "", "model", prompt, answer, "", hint)
    headers = CIMultiDictProxy(CIMultiDict())
    return Request(
        headers, parsed, "POST", "/", b"", ROUTE, "engines", ENGINE, "one", 1, NOW, NOW + 6, b"f"
    )


def fleet_of(count, version=1):
    fleet = Fleet(StoreReplica(), NOW)
    for index in range(count):
        held = (HeldWeights("model", version),)
        backend = Backend(
            f"e-{index}", "engines", f"h:{index + 1}", "zone-a", 16, False, held, 0, 1
        )
        fleet.put(backend, NOW)
    return fleet


def placer_of(fleet):
    return Placer(fleet, "zone-a", {"zone-a": "region-a"}, 8.0)


def exchange_of(vm, zone, port, store_answered_at, zones=None):
    settings = Settings(
        1,
        "entry",
        vm,
        zone,
        zone,
        f"127.0.0.1:{port}",
        PlatformSettings("http://h", "leased"),
        direct=DirectSettings(front=f"127.0.0.1:{port + 100}", zones=zones or {}),
    )
    replica = StoreReplica()
    replica.current_at = store_answered_at
    exchange = StateExchange(
        settings,
        replica,
        Fleet(replica, store_answered_at),
        CrashTracker(),
        SharedRetryBudget(0.2, 100.0, 10.0, incarnation=time.time_ns()),
        lambda: True,
        lambda *_: None,
        lambda: False,
    )
    exchange.crashes.is_appointed = exchange.peers.is_appointed
    exchange.crashes.on_news = exchange.request_full_broadcast
    return exchange


def membership_of(exchange):
    return GroupMembership(exchange.settings, exchange.fleet, exchange.peers)
