"""Steps on when engines load weights and which entry processes they fetch chunks from."""

from collections import Counter

from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import strategies as st

from tests.direct_fakes import NOW
from verbenaward.direct.chunk_runs import chunk_order, chunk_run_name, entry_order
from verbenaward.weight_loading.fetching import INCREASE_FACTOR, SLOW_RATIO, ChunkFetcher
from verbenaward.weight_loading.plan import (
    ASSUMED_STAGING_SHARE,
    BOTH_STAGED_SHARE,
    LAST_LOAD_SHARE,
    LoadSchedule,
    SupersededVersion,
    continues_staging,
    load_delay_seconds,
    load_order,
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
    context.orders = [
        chunk_order(range(chunks), f"side-zone-a-{number}") for number in range(count)
    ]
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


@then("some engine continues staging")
def some_continue(context):
    assert all(any(decisions) for _, decisions in context.cases)


@then("all continue where both versions can be staged in time")
def all_continue(context):
    for share, decisions in context.cases:
        in_time = (1 - share) * 4.5 + 4.5 <= BOTH_STAGED_SHARE * 8.0
        assert all(decisions) == in_time, (share, decisions)


@given("chunks fetched over a link at a quarter of its configured rate")
def narrow_link(context):
    context.fetcher = ChunkFetcher(None, None, None, None)
    context.shares = []
    for _ in range(300):
        share = context.fetcher.share
        took = max(1.0, share / 0.25)  # the link delivers at most a quarter
        context.fetcher.update_share(1.0, took, share)
        context.shares.append(context.fetcher.share)


@then("on average no more than that is requested, and the full rate once the link has it again")
def check_requested_share(context):
    settled = context.shares[20:]
    assert sum(settled) / len(settled) <= 0.25, settled
    assert max(settled) <= 0.25 * SLOW_RATIO * INCREASE_FACTOR, settled
    assert min(context.shares) > 0.1, context.shares
    for _ in range(48):  # the chunks of one version
        context.fetcher.update_share(1.0, 1.0, context.fetcher.share)
    assert context.fetcher.share == 1.0
