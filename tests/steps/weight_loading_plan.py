"""Steps on when engines load weights and which entry processes they fetch chunks from."""

import json
from collections import Counter
from dataclasses import replace

from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import strategies as st

from standins.platform import CHUNK_BYTES, CHUNKS
from tests.direct_fakes import NOW
from tests.steps.platform_running import engines, until
from verbenaward.distribution.chunk_runs import chunk_order, chunk_run_name, entry_order
from verbenaward.weight_loading.plan import (
    ASSUMED_STAGING_SHARE,
    BOTH_STAGED_SHARE,
    LAST_LOAD_SHARE,
    STALLED_SECONDS,
    LoadSchedule,
    StalledVersion,
    SupersededVersion,
    continues_staging,
    load_delay_seconds,
    load_order,
    returns_to_older,
)


@when("a service with any number of engines schedules a load")
def schedule_load(context):
    zone_lists = st.lists(st.sampled_from(["a", "b", "c"]), min_size=1, max_size=60)

    ages = st.floats(0.0, 12.0)

    @for_all(zone_lists, st.floats(0.0, 10.0), st.none() | st.floats(0.0, 8.0), ages)
    def check(zone_list, staging, newer_after, age):
        newer = None if newer_after is None else NOW + newer_after
        schedule = LoadSchedule(NOW, NOW - age, newer, staging, 8.0)
        assert (
            NOW - age
            <= schedule.first_load_at
            <= schedule.first_load_at + schedule.window_seconds
            < NOW - age + 8.0
        )
        earliest_staged_at = NOW + (staging or ASSUMED_STAGING_SHARE * 8.0)
        last_load_at = NOW - age + LAST_LOAD_SHARE * 8.0
        assert schedule.first_load_at == min(earliest_staged_at, last_load_at)
        zones = {f"10.0.0.{index}:80": zone for index, zone in enumerate(zone_list)}
        delays = [load_delay_seconds(address, zones, 2.0) for address in zones]
        assert len(set(delays)) == len(zones)
        assert min(delays) == 0.0 and max(delays) < 2.0

    context.check = check


@when("engines of three zones are put in their load order")
def order_by_zone(context):
    context.zones = {f"10.0.{index % 3}.{index}:80": f"zone-{index % 3}" for index in range(12)}
    context.order = load_order(context.zones)


@then("any three consecutive engines are in different zones")
def zones_differ(context):
    ordered = [context.zones[address] for address in context.order]
    assert sorted(context.order) == sorted(context.zones)
    assert all(len(set(ordered[index : index + 3])) == 3 for index in range(10)), ordered


@when("{count:d} endpoints of a region with {entries:d} entry processes fetch {chunks:d} chunks")
def fetch_in_order(context, count, entries, chunks):
    controls = {f"10.0.0.{index}:7700": "zone-a" for index in range(entries)}
    context.orders = [chunk_order(range(chunks), number, count) for number in range(count)]
    context.asked = Counter(
        entry_order(controls, "zone-a", {}, chunk_run_name("model", 2, order[0]))[0]
        for order in context.orders
    )
    context.chunks = chunks


@then("each fetches every chunk once")
def every_chunk(context):
    assert all(sorted(order) == list(range(context.chunks)) for order in context.orders)


@then("at most {count:d} of them request their first chunk from the same entry process")
def spread_over(context, count):
    assert max(context.asked.values()) <= count, context.asked


@when("{count:d} endpoints of a region fetch {chunks:d} chunks while the origin sends them")
def fetch_while_sent(context, count, chunks):
    """The origin sends a chunk in 2/3 of the time that an endpoint's link takes for it."""
    link_seconds, origin_seconds = 3.0, 2.0
    context.idle = []
    for rank in range(count):
        ends_at = idle = 0.0
        for index in chunk_order(range(chunks), rank, count):
            sent_at = (index + 1) * origin_seconds
            idle += max(0.0, sent_at - ends_at)
            ends_at = max(sent_at, ends_at) + link_seconds
        context.idle.append(idle / (chunks * link_seconds))


@then("no link is idle for more than {share:d} in 100 of the time that the chunks take on it")
def rarely_idle(context, share):
    assert max(context.idle) <= share / 100, max(context.idle)


@then("all begin within the window and no two at the same time")
def loads_are_spread(context):
    context.check()


@when("a newer target version is set at any time while the older one is staged")
def superseded(context):
    context.cases = [
        (
            share / 10,
            [
                continues_staging(SupersededVersion(share / 10, 0.0, 4.5, 8.0, rank), 0.0)
                for rank in (0, 1)
            ],
        )
        for share in range(11)
    ]


@then(
    "some engine continues staging if it is whole {seconds:g} second earlier than the newer version"
)
def some_continue(context, seconds):
    context.is_earlier = lambda share: share * 4.5 >= seconds
    assert all(any(decisions) for share, decisions in context.cases if context.is_earlier(share))


@then("none does otherwise")
def none_continues(context):
    others = [decisions for share, decisions in context.cases if not context.is_earlier(share)]
    assert others and not any(any(decisions) for decisions in others)


@then("all continue where both versions can be staged in time")
def all_continue(context):
    for share, decisions in context.cases:
        in_time = (1 - share) * 4.5 + 4.5 <= BOTH_STAGED_SHARE * 8.0
        assert all(decisions) == in_time, (share, decisions)


@given("they give version 2 up for version 3, whose chunks the origin refuses")
def give_up_version(context):
    set_two_versions(context)
    context.platform.origin.refused_versions.discard(2)


@given("they give version 2 up for version 3, which the origin has")
def give_up_for_present_version(context):
    set_two_versions(context)
    context.platform.origin.refused_versions.clear()


@then("no engine has loaded version {version:d}")
def not_loaded(context, version):
    assert not any(version in item.loaded_versions for item in engines(context))


def set_two_versions(context):
    """Set two versions whose chunks are refused; the engines give the first up for the second."""
    platform = context.platform
    origin, loaders = platform.origin, [role.engine_loader for role in platform.endpoints]
    for version in (2, 3):
        origin.add_version(version, CHUNKS, CHUNK_BYTES)
        origin.refused_versions.add(version)
    for loader in loaders:
        loader.direct = replace(loader.direct, version_seconds=8.0)
        loader.should_finish_staging = lambda current, newest: False

    def knows(version):
        return all(
            loader.digests is not None and loader.digests.weights.version == version
            for loader in loaders
        )

    for version in (2, 3):
        value = json.dumps({"model_name": "model", "version": version}).encode()
        platform.store.put("op/version/model", value)
        assert context.loop.run_until_complete(until(lambda number=version: knows(number)))


@when("the origin has version {version:d} again")
def origin_has(context, version):
    context.platform.origin.refused_versions.discard(version)


@then("they hold version {version:d} within {seconds:d} seconds")
def engines_hold(context, version, seconds):
    def held():
        return [item.version for item in engines(context)]

    assert context.loop.run_until_complete(
        until(lambda: held() == [version] * len(held()), seconds)
    ), held()


@when("an engine's newer version stalls, with any time left and any part of the older one missing")
def stalls(context):
    @for_all(st.floats(0.0, 10.0), st.floats(0.0, 10.0), st.floats(-5.0, 20.0))
    def check(stalled_seconds, remaining, left):
        stalled = StalledVersion(stalled_seconds, remaining, 1000.0 + left)
        context.property(stalled, returns_to_older(stalled, 1000.0))

    context.check = check


@then("it returns to the older one only if that serves before the newer one is required")
def returns_in_time(context):
    def is_in_time(stalled, returns):
        assert not returns or 1000.0 + stalled.older_remaining_seconds < stalled.required_from

    context.property = is_in_time
    context.check()


@then("never while chunks of the newer one arrive")
def not_while_arriving(context):
    def is_stalled(stalled, returns):
        assert not returns or stalled.stalled_seconds >= STALLED_SECONDS

    context.property = is_stalled
    context.check()


@given("the origin refuses chunks {first:d} to {last:d}")
def refuse_chunks(context, first, last):
    context.platform.origin.refused_indexes.update(range(first, last + 1))


@when("the origin refuses no chunks")
def refuse_none(context):
    context.platform.origin.refused_indexes.clear()


@then("the empty engine has chunks {first:d} to {last:d} staged within {seconds:d} seconds")
def staged_within(context, first, last, seconds):
    chunks = context.platform.origin.versions[1]

    def are_staged():
        staged = context.empty.staging.chunks
        return all(staged.get(index) == chunks[index] for index in range(first, last + 1))

    assert context.loop.run_until_complete(until(are_staged, seconds))


@given(
    "{count:d} engines that stage a version in {staging:g} s and are out of service for "
    "{outage:g} s to load it"
)
def staging_engines(context, count, staging, outage):
    context.zones = {f"h:{index:02}": f"zone-{index % 3}" for index in range(count)}
    context.staging, context.outage = staging, outage


@when("two versions are set {gap:g} s apart under a bound of {bound:g} s")
def two_versions(context, gap, bound):
    order = load_order(context.zones)
    context.loads = [rollout(context, address, order, gap, bound) for address in order]
    context.gap, context.bound = gap, bound


def rollout(context, address, order, gap, bound):
    """Return when an engine is ordered to load each version that it loads, by version."""
    staging = context.staging
    superseded = SupersededVersion(gap / staging, gap, staging, bound, order.index(address))
    # The schedule is that of the first version newer than the one held.
    if not continues_staging(superseded, gap):
        only = LoadSchedule(0.0, 0.0, None, staging, bound)
        return {3: delayed(context, address, only, gap + staging)}
    first = LoadSchedule(0.0, 0.0, gap, staging, bound)
    second = LoadSchedule(gap, gap, None, staging, bound)
    first_at = delayed(context, address, first, staging)
    return {2: first_at, 3: delayed(context, address, second, first_at + staging)}


def delayed(context, address, schedule, staged_at):
    delay = load_delay_seconds(address, context.zones, schedule.window_seconds)
    return max(staged_at, schedule.first_load_at + delay)


@then("at least {share:d} in 100 of the engines serve at any time")
def enough_serve(context, share):
    def serves(loads, at):
        if any(ordered <= at < ordered + context.outage for ordered in loads.values()):
            return False
        held = max((version for version, ordered in loads.items() if ordered < at), default=1)
        required = 1 + (at >= context.bound) + (at >= context.gap + context.bound)
        return held >= required

    times = [step / 20 for step in range(20 * 16)]
    serving = {at: sum(serves(loads, at) for loads in context.loads) for at in times}
    fewest = min(serving, key=serving.get)
    assert serving[fewest] >= share * len(context.loads) / 100, (fewest, serving[fewest])
