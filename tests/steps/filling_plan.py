"""Steps on when engines load and who asks whom for chunks."""

from collections import Counter

from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import strategies as st

from tests.direct_fakes import NOW
from verbenaward.direct.runs import chunk_order, holder_order, run_name
from verbenaward.filling.fetching import RECOVERY, SLOW_RATIO, ChunkFetcher
from verbenaward.filling.plan import (
    IN_TIME_SHARE,
    Overtaken,
    Swap,
    goes_on,
    load_delay_seconds,
    turn_order,
)


@when("turns are dealt to any number of engines")
def turns(context):
    zone_lists = st.lists(st.sampled_from(["a", "b", "c"]), min_size=1, max_size=60)

    @for_all(zone_lists, st.floats(0.0, 10.0), st.none() | st.floats(0.0, 8.0))
    def check(zone_list, staging, newer_after):
        newer = None if newer_after is None else NOW + newer_after
        swap = Swap(NOW, newer, staging, 8.0)
        assert NOW <= swap.first_turn_at <= swap.first_turn_at + swap.window_seconds < NOW + 8.0
        zones = {f"10.0.0.{index}:80": zone for index, zone in enumerate(zone_list)}
        delays = [load_delay_seconds(address, zones, 2.0) for address in zones]
        assert len(set(delays)) == len(zones)
        assert min(delays) == 0.0 and max(delays) < 2.0

    context.check = check


@when("engines of three zones are put in the order of their turns")
def order_by_zone(context):
    context.zones = {f"10.0.{index % 3}.{index}:80": f"zone-{index % 3}" for index in range(12)}
    context.order = turn_order(context.zones)


@then("any three in a row are of different zones")
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
        holder_order(controls, "zone-a", {}, run_name("model", 2, order[0]))[0]
        for order in context.orders
    )
    context.chunks = chunks


@then("each fetches every chunk once")
def every_chunk(context):
    assert all(sorted(order) == list(range(context.chunks)) for order in context.orders)


@then("no entry process is asked by more than {count:d} of them for their first chunk")
def spread_over(context, count):
    assert max(context.asked.values()) <= count, context.asked


@then("all begin within the window and not two at the same time")
def turns_kept(context):
    context.check()


@when("a newer version is named at any time while the older one is staged")
def overtaken(context):
    context.cases = [
        (share / 10, [goes_on(Overtaken(share / 10, 0.0, 4.5, 8.0, rank), 0.0) for rank in (0, 1)])
        for share in range(11)
    ]


@then("some engine goes on")
def some_go_on(context):
    assert all(any(decided) for _, decided in context.cases)


@then("all go on where both can be staged in time")
def all_go_on(context):
    for share, decided in context.cases:
        in_time = (1 - share) * 4.5 + 4.5 <= IN_TIME_SHARE * 8.0
        assert all(decided) == in_time, (share, decided)


@given("chunks that are fetched over a link of a quarter of its rate")
def narrow_link(context):
    context.fetcher = ChunkFetcher(None, None, None, None)
    context.shares = []
    for _ in range(300):
        share = context.fetcher.share
        took = max(1.0, share / 0.25)  # as the link gives no more than a quarter
        context.fetcher.note_body(1.0, took, share)
        context.shares.append(context.fetcher.share)


@then("on the whole no more than that is asked for, and the full rate once it is back")
def as_the_link_allows(context):
    settled = context.shares[20:]
    assert sum(settled) / len(settled) <= 0.25, settled
    assert max(settled) <= 0.25 * SLOW_RATIO * RECOVERY, settled
    assert min(context.shares) > 0.1, context.shares
    for _ in range(48):  # the chunks of one version
        context.fetcher.note_body(1.0, 1.0, context.fetcher.share)
    assert context.fetcher.share == 1.0
