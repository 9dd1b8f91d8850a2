"""Steps on the order in which a process sends bodies, as decisions without a network."""

import asyncio
import math

from behave import then, when
from hypothesis import given as for_all
from hypothesis import strategies as st

from tests.direct_fakes import NOW
from verbenaward.distribution.upload_order import (
    LinkRate,
    PendingSlice,
    Receiver,
    least_urgent,
    next_slice,
    updated_rate,
)
from verbenaward.distribution.uploads import SLICE_BYTES, Upload, Uploads

SLICES = st.builds(
    PendingSlice,
    st.integers(0, 1000),
    st.sampled_from(Receiver),
    st.integers(0, 100),
    st.booleans(),
    st.integers(0, 64 * 1024),
)
LISTS = st.lists(SLICES, max_size=12, unique_by=lambda item: item.number)
RATES = st.floats(1e4, 1e8)


@when("bodies for any receivers wait, and the link carries any rate")
def bodies_wait(context):
    context.rate = lambda link: updated_rate(LinkRate(0.0, 0, True), int(link), True, 1.0)


@then(
    "no more than {seconds:g} s of the link or {least:d} KiB are under way, "
    "and {most:d} KiB to one receiver"
)
def few_under_way(context, seconds, least, most):
    @for_all(LISTS, RATES)
    def check(pending, link):
        rate, unsent = context.rate(link), {item.number: 0 for item in pending}
        for _ in range(200):
            waiting = [
                PendingSlice(item.number, item.receiver, 0, False, unsent[item.number])
                for item in pending
            ]
            chosen = next_slice(waiting, sum(unsent.values()), rate, Receiver.READER)
            if chosen is None:
                break
            unsent[chosen.number] += SLICE_BYTES
        assert sum(unsent.values()) <= max(least * 1024, seconds * link) + SLICE_BYTES
        assert max(unsent.values(), default=0) <= most * 1024

    check()


@then("a link that was never busy is not taken for a narrow one")
def idle_is_not_narrow(context):
    rate = updated_rate(LinkRate(0.0, 0), 1000, False, 1.0)
    assert math.isinf(rate.bytes_per_second)
    assert least_urgent(10**9, rate, Receiver.ENGINE) is Receiver.READER


@then("one that has begun goes first, then engines, and among them the one that lacks least")
def order_of_bodies(context):
    @for_all(LISTS, RATES)
    def check(pending, link):
        chosen = next_slice(pending, 0, context.rate(link), Receiver.READER)
        ready = [item for item in pending if item.unsent_bytes < 16 * 1024]
        assert (chosen is None) == (not ready)
        if chosen is None or (any(item.has_begun for item in ready) and chosen.has_begun):
            return
        assert not any(item.has_begun for item in ready)
        engines = [item for item in ready if item.receiver is Receiver.ENGINE]
        assert not engines or chosen.receiver is Receiver.ENGINE
        assert not engines or chosen.lacking == min(item.lacking for item in engines)

    check()


@then("bodies for others begin only if those that wait take less than {seconds:g} s")
def others_begin(context, seconds):
    @for_all(LISTS, RATES, st.integers(0, 10**7))
    def check(pending, link, waiting):
        rate = context.rate(link)
        least = least_urgent(waiting, rate, Receiver.ENGINE)
        chosen = next_slice(pending, 0, rate, least)
        if waiting > seconds * rate.bytes_per_second and chosen is not None:
            assert chosen.has_begun or chosen.receiver is Receiver.ENGINE

    check()


@when("a link carries a quarter of its rate for {seconds:d} s and then all of it")
def narrow_then_full(context, seconds):
    full, step, rate = 5e5, 0.005, LinkRate(0.0, 0)
    sent, unsent = 0, dict.fromkeys(range(6), 0.0)
    context.shares, context.most = [], 0.0
    for link in (full / 4, full):
        before = sent - sum(unsent.values())
        for _ in range(int(seconds / step)):
            free = link * step
            for number in unsent:
                taken = min(unsent[number], free)
                unsent[number], free = unsent[number] - taken, free - taken
            now = rate.measured_at if not sent else context.now + step
            context.now = now
            while True:
                under_way = sum(unsent.values())
                rate = updated_rate(rate, int(sent - under_way), under_way >= rate.limit_bytes, now)
                waiting = [
                    PendingSlice(number, Receiver.ENGINE, 0, True, int(held))
                    for number, held in unsent.items()
                ]
                chosen = next_slice(waiting, int(under_way), rate, Receiver.READER)
                if chosen is None:
                    break
                unsent[chosen.number] += SLICE_BYTES
                sent += SLICE_BYTES
            context.most = max(context.most, sum(unsent.values()) / max(0.1 * link, 32 * 1024))
        context.shares.append((sent - sum(unsent.values()) - before) / (link * seconds))


@then(
    "at least {part:d} in 10 of what it can carry are sent in both, "
    "with at most {seconds:g} s under way"
)
def link_is_used(context, part, seconds):
    assert min(context.shares) >= part / 10, context.shares
    assert context.most <= 1.0 + SLICE_BYTES / (32 * 1024), context.most


@when("a body for another region waits at a narrow link, and an engine got one {seconds:g} s ago")
def body_for_region(context, seconds):
    async def wait():
        context.uploads = Uploads()
        return Upload(None, 1, Receiver.REGION, remaining=49_152, turn=asyncio.Event())

    upload = context.loop.run_until_complete(wait())
    context.uploads.running.append(upload)
    context.pause = seconds


def next_after(context, pause):
    """Return the body that may begin at a pause after one for an engine."""
    uploads = context.uploads
    uploads.rate = LinkRate(NOW, 0, bytes_per_second=100_000.0)
    uploads.requested_at = {Receiver.REGION: NOW, Receiver.ENGINE: NOW - pause}
    return uploads.next_upload(NOW)


@then("it does not begin, but {seconds:g} s after the engine got one it does")
def begins_later(context, seconds):
    assert next_after(context, context.pause) is None
    assert next_after(context, seconds) is context.uploads.running[0]
