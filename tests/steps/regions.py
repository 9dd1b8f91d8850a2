"""Steps on the regions in which requests may be served."""

import json
from dataclasses import replace
from unittest import mock

import aiohttp
from behave import given, then, when

from standins.platform import CALLER_HOST
from tests.direct_fakes import NOW, ROUTE, fleet_of, placer_of, request_of
from tests.steps.platform_running import call, engines, plain, run, until
from verbenaward import clock
from verbenaward.data import WorkspaceDeclaration
from verbenaward.direct.addresses import addresses_for
from verbenaward.metrics import sample_sum
from verbenaward.placement.fleet import Fleet
from verbenaward.placement.regions import allowed_regions, regions_of_host
from verbenaward.platform.key_value import KeyValueEntry
from verbenaward.platform.request_headers import BackendNotice
from verbenaward.replica.store_replica import StoreReplica
from verbenaward.schema.messages import Pulse

ZONES = {f"zone-{name}": f"region-{name}" for name in "abc"}


def names_of(text):
    return frozenset() if text in ("-", "none") else frozenset(text.split(","))


def request_allowing(text):
    return replace(request_of(), regions=None if text == "any" else names_of(text))


@given('a route that allows the regions "{route}" and a workspace that allows "{workspace}"')
def route_and_workspace(context, route, workspace):
    context.route = replace(ROUTE, regions=names_of(route))
    context.workspace = WorkspaceDeclaration("one", (), None, names_of(workspace))


@then('a request of both may be served in "{regions}"')
def served_in(context, regions):
    found = allowed_regions(context.route, context.workspace)
    assert found == (None if regions == "any" else names_of(regions)), found


def offer_configuration(context, version, place, value):
    item = {"allowed_regions": value}
    route = {"name": "r", "hostname": "h", "path_prefix": "/", "kind": "streaming", "service": "s"}
    body = {
        "version": version,
        "routes": [{**route, **(item if place == "route" else {})}],
        "services": [{"name": "s"}],
        "tenants": [{"name": "one", **(item if place == "workspace" else {})}],
    }
    entry = KeyValueEntry("op/config", json.dumps(body).encode(), version)
    with mock.patch("verbenaward.placement.regions.LOG") as log:
        context.fleet.apply_item(entry, NOW)
    context.lines += log.warning.call_args_list


@given("a fleet with a configuration in force")
def fleet_with_configuration(context):
    context.fleet = Fleet(StoreReplica(), NOW)
    context.fleet.use_zones(ZONES)
    context.lines = []
    offer_configuration(context, 1, "route", ["region-a"])
    assert not context.lines


@when("a configuration comes whose {place} has the allowed regions {value}")
def configuration_comes(context, place, value):
    version = context.fleet.table.configuration.version + 1
    offer_configuration(context, version, place, json.loads(value))


@then("the configuration before stays in force")
def stays(context):
    (route,) = context.fleet.routes()
    assert context.fleet.table.configuration.version == 1
    assert route.regions == {"region-a"}, route.regions


@then("its route allows any region")
def any_region(context):
    (route,) = context.fleet.routes()
    assert context.fleet.table.configuration.version == 2
    assert allowed_regions(route, None) is None


@then('one line names the unknown region "{region}"')
def one_line(context, region):
    assert context.fleet.table.configuration.version == 3
    expected = mock.call("configuration.unknown-region", region=region)
    assert context.lines == [expected], context.lines


@given('engines in "{zones}"')
def engines_in(context, zones):
    names = zones.split(",")
    context.fleet = fleet_of(len(names))
    for zone, view in zip(names, context.fleet.backends.values(), strict=True):
        view.backend = replace(view.backend, zone=zone)
    context.placer = placer_of(context.fleet)
    context.placer.regions = ZONES


def views_in(context, zones):
    return [view for view in context.fleet.backends.values() if view.backend.zone in zones]


@given('many requests run in all zones but "{zones}"')
def load_all_but(context, zones):
    for view in context.fleet.backends.values():
        for _ in range(0 if view.backend.zone in zones.split(",") else 40):
            view.record_started(900)


@given('the engines in "{zone}" have asked for a pause of {seconds:g} s')
def pause_in(context, zone, seconds):
    for view in views_in(context, zone):
        context.fleet.record_notice(view, BackendNotice(False, seconds), NOW, NOW, 0.0)


@then('requests that allow "{regions}" are sent to "{zones}" only')
def sent_to(context, regions, zones):
    request = request_allowing(regions)
    chosen = [context.placer.choose(request, set(), NOW).view.backend.zone for _ in range(40)]
    assert set(chosen) <= set(zones.split(",")), set(chosen)


@then('a retry that allows "{regions}" is sent to "{zone}" after a failure there')
def retry_sent_to(context, regions, zone):
    (failed,) = views_in(context, zone)
    failed.record_unresponsive(NOW)
    choice = context.placer.choose(request_allowing(regions), {failed.backend.identity}, NOW)
    assert choice.view is failed, choice


@then('a request that allows "{regions}" is refused at once for "{reason}"')
def refused_at_once_for(context, regions, reason):
    assert context.placer.is_ruled_out(request_allowing(regions), NOW)
    refused_for(context, regions, reason)


@then('a request that allows "{regions}" is refused for "{reason}"')
def refused_for(context, regions, reason):
    request = request_allowing(regions)
    choice = context.placer.choose(request, set(), NOW)
    assert choice is None, choice
    refusal = context.placer.refusal(request, choice, NOW)
    assert (refusal.status, refusal.reason) == (503, reason), refusal
    assert refusal.retry_after_seconds > 0


@given('entry processes in "{zones}"')
def entry_processes_in(context, zones):
    context.pulses = [
        Pulse(vm=f"e-{index}", zone=zone, front=f"{zone}:{index}")
        for index, zone in enumerate(zones.split(","))
    ]


@then('callers in "{zone}" of a host that allows "{regions}" get the addresses in "{given_zones}"')
def addresses_in(context, zone, regions, given_zones):
    allowed = frozenset() if regions == "any" else names_of(regions)
    found = addresses_for(context.pulses, zone, ZONES, allowed)
    zones = sorted(address.partition(":")[0] for address in found)
    assert zones == given_zones.split(","), found


@given('a host with routes that allow "{first}" and "{second}"')
def host_with_routes(context, first, second):
    other = replace(ROUTE, host="other", regions=frozenset({"z"}))
    allowed = (names_of(first), names_of(second))
    context.routes = [other, *(replace(ROUTE, regions=regions) for regions in allowed)]


@then('its callers are sent to the regions "{regions}"')
def host_regions(context, regions):
    found = regions_of_host(context.routes, "H:80")
    assert found == names_of(regions), found


@given('the routes "{names}" allow only "{regions}"')
def routes_allow(context, names, regions):
    listed = sorted(names_of(regions))
    for name in names.split(","):
        context.platform.route_overrides[name] = {"allowed_regions": listed}
    write_and_wait(context)


@given('the workspace of the callers allows only "{regions}"')
def workspace_allows(context, regions):
    context.platform.workspace_fields = {"allowed_regions": sorted(names_of(regions))}
    write_and_wait(context)


def write_and_wait(context):
    context.platform.write_configuration()
    version = context.platform.configuration_version
    fleets = [role.fleet for role in context.platform.entries]
    assert run(
        context,
        until(lambda: all(fleet.table.configuration.version == version for fleet in fleets)),
    )


@when("{count:d} look-ups and {streams:d} streams are sent to each entry process")
def send_to_each(context, count, streams):
    context.answers = [
        call(context, f"{path}/{index}", f"{path}-{index}", entry=entry)
        for entry in range(len(context.platform.entries))
        for path, number in (("/look", count), ("/stream", streams))
        for index in range(number)
    ]


@then('only backends in "{zone}" have got requests')
def only_in(context, zone):
    backends = (*plain(context), *engines(context))
    used = {backend.zone for backend in backends if backend.arrivals}
    assert used == {zone}, used


@then('a look-up is refused at once for "{reason}", and the metric counts it')
def look_up_refused(context, reason):
    name = "verbenaward_refusals_without_backend_total"
    before = sample_sum(name, reason=reason)
    started = clock.now()
    status, headers, _ = call(context, "/look/x")
    # A wait for a backend would take an eighth of the target, 62 ms.
    assert clock.now() - started < 0.05, clock.now() - started
    assert (status, headers.get("X-Reason")) == (503, reason), (status, headers)
    assert headers["X-Verdict"] == "not-run" and float(headers["Retry-After"]) > 0
    assert sample_sum(name, reason=reason) == before + 1


@given("the engines break off every stream")
def break_streams(context):
    for backend in engines(context):
        backend.mode = "truncated-event"


@then("a caller in neither region is sent to the entry process in zone-b only")
def directory_answer(context):
    async def resolve(name):
        address = context.platform.entries[0].direct.directory
        url = f"http://{address}/resolve?name={name}&region=region-x&zone=zone-x"
        async with aiohttp.ClientSession() as session, session.get(url) as response:
            return (await response.json())["addresses"]

    first, second = (role.direct.front for role in context.platform.entries)
    assert run(context, resolve(CALLER_HOST)) == [second]
    assert sorted(run(context, resolve("other"))) == sorted([first, second])
