"""Steps on what an entry process knows of cold backends."""

import json
import math
from unittest import mock

from behave import given, then, when
from multidict import CIMultiDict, CIMultiDictProxy
from returns.result import Failure

from tests.direct_fakes import NOW
from verbenaward.direct.limit_grants import LimitGrants, report_of
from verbenaward.placement import warm_up
from verbenaward.placement.backend_notices import IncarnationNotices
from verbenaward.placement.fleet import Fleet
from verbenaward.platform.declarations import parse_backend, parse_configuration
from verbenaward.platform.key_value import KeyValueEntry
from verbenaward.platform.names import BACKEND_PREFIX, CONFIGURATION_KEY, EVACUATION_PREFIX
from verbenaward.platform.request_headers import BackendNotice, read_backend_notice
from verbenaward.replica.store_replica import StoreReplica

BACKEND = {
    "service": "engines",
    "address": "h:1",
    "zone": "zone-a",
    "slots": 12,
    "state": "ready",
    "born": 1,
}


def configuration_entry(fields, version=1):
    service = {"name": "engines", **fields}
    body = {"version": version, "routes": [], "services": [service]}
    return KeyValueEntry(CONFIGURATION_KEY, json.dumps(body).encode(), version)


def registration_entry(fields, identity="e-0", learned_after=NOW):
    value = json.dumps({**BACKEND, **fields}).encode()
    return KeyValueEntry(BACKEND_PREFIX + identity, value, 1, learned_after)


def start_fleet(context, rate):
    context.now = NOW
    context.fleet = Fleet(StoreReplica(), NOW)
    context.fleet.apply_item(configuration_entry({"cold_start_s": 3, "cold_per_s": rate}), NOW)


def notices(context):
    return context.fleet.backends["e-0"].notices


@when("a configuration declares a service with {fields}")
def declare_service(context, fields):
    context.parsed = parse_configuration(configuration_entry(json.loads(fields)))


@then("the configuration takes {rate:g} a second for {seconds:g} s")
def service_declared(context, rate, seconds):
    (service,) = context.parsed.unwrap().services
    assert (service.cold_per_second, service.cold_start_seconds) == (rate, seconds), service


@when("a backend registers with {fields}")
def register_with(context, fields):
    # The fields are not decoded here, as some are not valid for the decoder.
    added = fields.removeprefix("{")
    value = json.dumps(BACKEND).removesuffix("}") + (f", {added}" if added != "}" else "}")
    context.parsed = parse_backend(KeyValueEntry(BACKEND_PREFIX + "e-0", value.encode(), 1))


@then("the registration is cold for {seconds:g} s")
def registered_cold(context, seconds):
    assert context.parsed.unwrap().cold_seconds == seconds, context.parsed


@then("the configuration is malformed")
@then("the registration is malformed")
def is_malformed(context):
    assert isinstance(context.parsed, Failure), context.parsed


@when('an answer with status {status:d} says "{header}" of the cold start')
def answer_says(context, status, header):
    headers = CIMultiDictProxy(CIMultiDict({"X-Cold-Start-Ms": header}))
    context.notice = read_backend_notice(status, headers)


@when('an answer with status {status:d} says "" of the cold start')
def answer_says_nothing(context, status):
    context.notice = read_backend_notice(status, CIMultiDictProxy(CIMultiDict()))


@then("it is read as cold for {seconds:g} s")
def read_as_cold(context, seconds):
    assert context.notice.cold_seconds == seconds, context.notice


@given("a cold backend of a service that takes {rate:g} a second")
def cold_backend(context, rate):
    start_fleet(context, rate)
    context.fleet.apply_item(registration_entry({"cold_remaining_ms": 3000}), NOW)


@given("a backend that a process found registered as cold when it started")
def found_cold(context):
    start_fleet(context, 26)
    entry = registration_entry({"cold_remaining_ms": 3000}, learned_after=-math.inf)
    context.fleet.apply_item(entry, NOW)


@given("two zones with a warm backend each, of a service that takes {rate:g} a second")
def two_zones(context, rate):
    start_fleet(context, rate)
    for index, zone in enumerate(("zone-a", "zone-b")):
        fields = {"zone": zone, "address": f"h:{index + 1}"}
        context.fleet.apply_item(registration_entry(fields, f"e-{index}"), NOW)


@when("its answer names a limit of {limit:g} a second")
def answer_limits(context, limit):
    context.now += 0.01
    view = context.fleet.backends["e-0"]
    notice = BackendNotice(False, 0.0, limit)
    context.fleet.record_notice(view, notice, context.now, context.now, 0.0)


@when("a configuration declares {rate:g} requests a second while cold")
def declares_rate(context, rate):
    context.version = getattr(context, "version", 1) + 1
    entry = configuration_entry({"cold_per_s": rate}, context.version)
    context.fleet.apply_item(entry, context.now)


@when("it registers again without a cold time")
def registers_again(context):
    context.fleet.apply_item(registration_entry({}), context.now)


@when("the owner grants no send for {seconds:g} s")
def grants_none(context, seconds):
    notices(context).limited_until = context.now + seconds


@when('the evacuation of zone "{zone}" begins and ends')
def evacuation_ends(context, zone):
    for revision, value in ((5, b"{}"), (6, b"")):
        entry = KeyValueEntry(EVACUATION_PREFIX + zone, value, revision)
        context.fleet.apply_item(entry, context.now)


@then("at most {limit:g} requests a second are allowed")
def allowed(context, limit):
    assert notices(context).limit_per_second(context.now) == limit
    assert context.fleet.has_limited("engines", context.now)


@then("{seconds:g} s later at most {limit:g} requests a second are allowed")
def allowed_later(context, seconds, limit):
    assert notices(context).limit_per_second(context.now + seconds) == limit


@then("no limit on requests applies")
def none_applies(context):
    assert not context.fleet.has_limited("engines", context.now)


@then("it may be used again {seconds:g} s after it registered")
def used_after(context, seconds):
    assert not notices(context).admits(NOW + seconds - 0.01)
    assert notices(context).admits(NOW + seconds)


@then('the backends that are warming up are "{names}"')
def warming(context, names):
    warming_later(context, 0.0, names)


@then('{seconds:g} s later the backends that are warming up are "{names}"')
def warming_later(context, seconds, names):
    at = context.now + seconds
    views = context.fleet.backends.items()
    found = [name for name, view in views if view.notices.warm_up.is_active(at)]
    assert " ".join(found) == names, found


@then('{seconds:g} s later the backends that are warming up are ""')
def none_warming_later(context, seconds):
    warming_later(context, seconds, "")


@then("its questions do not say that the backend is cold")
def not_told(context):
    assert report_of(notices(context), context.now).cold_ms == 0


@when("a process whose machine started later reports the warm-up only")
def reports_warm_up(context):
    elsewhere = 1.0
    other = IncarnationNotices(notices(context).name)
    other.warm_up.record_cold(2.0, elsewhere)
    grants = LimitGrants(context.fleet.notices, None)
    grants.record_reports((report_of(other, elsewhere),), context.now + 1.5)
    context.now += 1.5


@then("one warm-up is in progress, and {seconds:g} s later none")
def logged(context, seconds):
    fleet = context.fleet
    with mock.patch.object(warm_up, "LOG") as log:
        assert [fleet.log_warm_ups(context.now) for _ in range(2)] == [1, 1]
        assert [fleet.log_warm_ups(context.now + seconds) for _ in range(2)] == [0, 0]
    events = [call.args[0] for call in log.info.call_args_list]
    assert events == ["backend.warming-up", "backend.warm"], events
