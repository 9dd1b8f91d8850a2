"""Steps on what an entry process knows of cold backends."""

import math
from unittest import mock

from behave import given, then
from multidict import CIMultiDict, CIMultiDictProxy
from returns.result import Failure

from tests.direct_fakes import NOW
from verbenaward.direct.limit_grants import LimitGrants, report_of
from verbenaward.placement import warm_up
from verbenaward.placement.backend_notices import IncarnationNotices
from verbenaward.placement.fleet import Fleet
from verbenaward.platform.declarations import parse_backend, parse_configuration
from verbenaward.platform.key_value import KeyValueEntry
from verbenaward.platform.names import EVACUATION_PREFIX
from verbenaward.platform.request_headers import read_backend_notice
from verbenaward.replica.store_replica import StoreReplica

BACKEND = '"born": 1, "service": "s", "address": "h:1", "zone": "z", "slots": 1, "state": "ready"'


def configuration_of(text):
    service = f'{{"name": "s", "cold_start_s": 3{text}}}'
    body = f'{{"version": 1, "routes": [], "services": [{service}]}}'
    return KeyValueEntry("op/config", body.encode(), 1)


def registration_of(text, learned_after=NOW):
    return KeyValueEntry("servers/e-0", f"{{{BACKEND}{text}}}".encode(), 1, learned_after)


@then("the value {value} in the {document:w} is read as {outcome}")
def is_read_as(context, value, document, outcome):
    if document == "answer":
        headers = CIMultiDictProxy(CIMultiDict({"X-Cold-Start-Ms": value}))
        assert read_backend_notice(421, headers).cold_seconds == 0
        assert read_backend_notice(200, headers).cold_seconds == float(outcome)
        return
    field = {"service": "cold_per_s", "registration": "cold_remaining_ms"}[document]
    text = "" if value == "missing" else f', "{field}": {value}'
    if document == "service":
        parsed = parse_configuration(configuration_of(text))
        found = parsed.map(lambda item: item.services[0].cold_per_second)
    else:
        parsed = parse_backend(registration_of(text))
        found = parsed.map(lambda item: item.cold_seconds)
    if outcome == "malformed":
        assert isinstance(found, Failure), found
    else:
        assert found.unwrap() == float(outcome), found


def fleet_with(learned_after):
    fleet = Fleet(StoreReplica(), NOW)
    fleet.apply_item(configuration_of(', "cold_per_s": 26'), NOW)
    fleet.apply_item(registration_of(', "cold_remaining_ms": 3000', learned_after), NOW)
    return fleet, fleet.backends["e-0"].notices


@given("a backend registered as cold for 3 s, of a service that takes 26 a second")
def cold_backend(context):
    context.fleet, context.notices = fleet_with(NOW)


@then("it takes 10 a second if it names a limit of 10, whatever a process without limits reports")
def takes_less(context):
    context.notices.limit.record_answer(10, NOW, NOW)
    other = IncarnationNotices(context.notices.name)
    other.warm_up.record_cold(1.0, 1.0)
    # The machine of that process started one second before, after the limit was named.
    report = report_of(other, 1.0)
    LimitGrants(context.fleet.notices, None).record_reports((report,), NOW + 1.5)
    assert context.notices.limit_per_second(NOW + 1.5) == 10


@then("it takes 26 a second from 0 s on, 40 from 3 s on, if it names 40 and registers as warm")
def takes_more(context):
    context.notices.limit.record_answer(40, NOW + 1.6, NOW + 1.6)
    context.fleet.apply_item(registration_of(""), NOW + 1.6)
    assert [context.notices.limit_per_second(NOW + at) for at in (0, 2.9, 3)] == [26, 26, 40]


@then("a refused grant does not outlast the warm-up, which is logged once")
def not_outlasted(context):
    context.notices.limit.record_answer(math.inf, NOW + 2, NOW + 2)
    context.notices.limited_until = NOW + 9
    assert not context.notices.admits(NOW + 2.9) and context.notices.admits(NOW + 3)
    with mock.patch.object(warm_up, "LOG") as log:
        assert [context.fleet.log_warm_ups(NOW + at) for at in (2, 2.9, 3, 4)] == [1, 1, 0, 0]
    events = [call.args[0] for call in log.info.call_args_list]
    assert events == ["backend.warming-up", "backend.warm"], events


@then("a process that finds it so at its start keeps to the rate, and does not tell the owner")
def found_at_start(context):
    assert report_of(context.notices, NOW).cold_ms == 3000
    _, found = fleet_with(-math.inf)
    assert found.limit_per_second(NOW) == 26 and report_of(found, NOW).cold_ms == 0


@then("the end of an evacuation of its zone begins a warm-up, that of another zone does not")
def zones_return(context):
    for zone, expected in (("other", math.inf), ("z", 26)):
        for revision, value in ((5, b"{}"), (6, b"")):
            entry = KeyValueEntry(EVACUATION_PREFIX + zone, value, revision)
            context.fleet.apply_item(entry, NOW + 2)
        assert context.notices.limit_per_second(NOW + 4.9) == expected


@then("a configuration without a rate, or with 0, ends the limit")
def no_rate(context):
    for text, is_limited in (
        ("", False),
        (', "cold_per_s": 9', True),
        (', "cold_per_s": 0', False),
    ):
        context.fleet.apply_item(configuration_of(text), NOW + 2)
        assert context.fleet.has_limited("s", NOW + 2) == is_limited, text
