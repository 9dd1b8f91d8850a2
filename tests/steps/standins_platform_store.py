"""Steps on the stand-in of the platform's store, through the adapter."""

import aiohttp
from behave import given, then, when
from returns.result import Success

from standins.platform import PlatformStandIn
from verbenaward.platform.leased_store import Lease, LeasedStore, write_row


def use_store(context, work):
    async def run():
        async with aiohttp.ClientSession() as session:
            return await work(LeasedStore(session, f"http://{context.platform.store_address}"))

    return context.loop.run_until_complete(run())


def grant(context):
    return use_store(context, lambda store: store.grant_lease(6.0)).unwrap().id


@given("a store that has granted two leases")
def two_leases(context):
    context.platform = PlatformStandIn()
    context.add_cleanup(lambda: context.loop.run_until_complete(context.platform.stop()))
    context.loop.run_until_complete(context.platform.start())
    context.first, context.second = grant(context), grant(context)


@when("the first lease ends and another is granted")
def end_and_grant(context):
    async def end(store):
        store.leases["key"] = Lease(context.first, store.era)
        return await store.end_lease("key")

    use_store(context, end).unwrap()
    context.third = grant(context)


@then("its id is not that of the second")
def other_id(context):
    assert context.third != context.second, (context.first, context.second, context.third)


@when("a transaction writes one key without a lease and one under an unknown lease")
def write_under_unknown_lease(context):
    rows = [write_row("plain", b"1", 0), write_row("leased", b"2", context.second + 1)]
    transaction = {"precondition": [], "write": rows, "remove": []}
    context.committed = use_store(context, lambda store: store.commit(transaction))


@then("it is rejected with 404 and the store holds neither key")
def nothing_written(context):
    assert "404" in context.committed.failure().message, context.committed
    assert not context.platform.store.items, context.platform.store.items


@when("one client writes {count:d} keys that last {seconds:g} s")
def write_keys(context, count, seconds):
    before = context.platform.store.calls

    async def write(store):
        return [await store.write(f"key-{index}", b"1", 0, seconds) for index in range(count)]

    results = use_store(context, write)
    assert all(isinstance(item, Success) for item in results), results
    context.calls = context.platform.store.calls - before


@then("the store got {count:d} calls for them")
def count_calls(context, count):
    assert context.calls == count, context.calls
    assert len(context.platform.store.items) == count - 1


@when("the store forgets all leases, the client writes another key within two tries")
def write_after_loss(context):
    store_stand_in = context.platform.store

    async def write(store):
        await store.write("first", b"1", 0, 60.0)
        for lease in tuple(store_stand_in.leases):
            store_stand_in.drop_lease(lease)
        return [await store.write("second", b"1", 0, 60.0) for _ in range(2)]

    results = use_store(context, write)
    assert any(isinstance(item, Success) for item in results), results
    assert "second" in store_stand_in.items
