"""Steps on keys that a process keeps alive in the leased store."""

import asyncio

from behave import then, when
from returns.result import Failure, Success

from tests.steps.standins_platform_store import use_store
from verbenaward.platform.key_value import KeyValueError, KeyValueFailure

KEY = "registration"
TTL_SECONDS = 0.8
RENEWAL_SECONDS = 0.2


class LateWrites:
    """Carries out the first transaction of a store late, without an answer."""

    def __init__(self, store, seconds):
        self.commit = store.commit
        self.seconds = seconds
        self.late = None
        store.commit = self.first

    async def first(self, transaction):
        if self.late is not None:
            return await self.commit(transaction)
        self.late = asyncio.ensure_future(self.carry_out(transaction))
        return Failure(KeyValueError(KeyValueFailure.UNKNOWN, "no answer"))

    async def carry_out(self, transaction):
        await asyncio.sleep(self.seconds)
        return await self.commit(transaction)


async def keep_alive(store):
    return await store.keep_alive(KEY, b"1", TTL_SECONDS)


@when("the first write of a registration is carried out {seconds:g} s late, without an answer")
def late_write(context, seconds):
    context.seconds = seconds


@when("the registration is kept alive meanwhile, for three times its time to live")
def kept_alive(context):
    async def keep(store):
        writes = LateWrites(store, context.seconds)
        assert isinstance(await keep_alive(store), Failure)
        context.missing = 0
        for _ in range(round(3 * TTL_SECONDS / RENEWAL_SECONDS)):
            assert isinstance(await keep_alive(store), Success)
            await asyncio.sleep(RENEWAL_SECONDS)
            context.missing += (await store.read(KEY)).unwrap() is None
        await writes.late

    use_store(context, keep)


@when("the registration is ended before that")
def ended_before(context):
    async def end(store):
        writes = LateWrites(store, context.seconds)
        await keep_alive(store)
        await store.end_lease(KEY)
        await writes.late
        context.entry = (await store.read(KEY)).unwrap()

    use_store(context, end)


@then("the store still holds it")
def still_held(context):
    assert context.missing == 0, context.missing


@then("the store does not hold it")
def not_held(context):
    assert context.entry is None, context.entry
