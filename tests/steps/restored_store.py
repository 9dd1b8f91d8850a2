"""Steps on a store that comes back from a copy, on the stand-in of the users' platform."""

import asyncio
import json

import aiohttp
from behave import given, then, when

from standins.platform import API_KEY
from tests.steps.platform_running import call, plain, revoke, run, until
from verbenaward import clock
from verbenaward.platform.names import BACKEND_PREFIX, DIGESTS_PREFIX, ENTRY_PREFIX

POLL_SECONDS = 0.05


@given("a copy of the store")
def copy_store(context):
    context.copy = context.platform.store.copy()


@given("a store that tells no era")
def no_era(context):
    context.platform.store.era = 0


@when("the store comes back from the copy")
def restore(context):
    context.platform.store.restore(context.copy)
    run(context, asyncio.sleep(0.2))


@when("{count:d} changes are made that will be lost")
def lost_changes(context, count):
    for index in range(count):
        context.platform.store.put(f"op/other/{index}", b"1")
    store, roles = context.platform.store, context.platform.entries
    # A process that has just started may write the opening of the retry budget meanwhile.
    assert run(
        context, until(lambda: all(role.replica.revision == store.revision for role in roles))
    )


@when("the operator writes the configuration again without the key")
def write_without_key(context):
    revoke(context)


@when("the operator writes the configuration again with the key")
def write_with_key(context):
    context.platform.api_keys = [API_KEY]
    context.platform.write_configuration()


@when("the store comes back from the copy with the key revoked and {count:d} more changes")
def restore_and_pass(context, count):
    store = context.platform.store
    store.restore(context.copy)
    revoke(context)
    for index in range(count):
        store.put(f"op/later/{index}", b"1")
    run(context, asyncio.sleep(0.2))


@when("the store comes back from the copy and grants {count:d} leases to others")
def restore_and_grant(context, count):
    store = context.platform.store
    store.restore(context.copy)

    async def grant_all():
        async with aiohttp.ClientSession() as session:
            for index in range(count):
                url = f"http://{context.platform.store_address}/kv-lease"
                async with session.post(url, json={"ttl_ms": 60_000}) as response:
                    lease = (await response.json())["lease_id"]
                store.put(f"other/{index}", b"1", lease)

    run(context, grant_all())


def is_refused(context, entry):
    return call(context, "/look/x", entry=entry)[0] == 401


@then("both refuse the key for {seconds:g} s")
def refuse_for(context, seconds):
    until_time = clock.now() + seconds
    while clock.now() < until_time:
        for entry in range(len(context.platform.entries)):
            assert is_refused(context, entry), f"entry {entry} accepts the key"
        run(context, asyncio.sleep(POLL_SECONDS))


@then("both accept the key within {seconds:d} seconds")
def accept_within(context, seconds):
    until_time = clock.now() + seconds
    entries = range(len(context.platform.entries))
    while any(is_refused(context, entry) for entry in entries):
        assert clock.now() < until_time
        run(context, asyncio.sleep(POLL_SECONDS))


def are_registered(context):
    keys = {ENTRY_PREFIX + role.settings.listen for role in context.platform.entries}
    return keys <= set(context.platform.store.items)


@then("both entry processes are registered within {seconds:d} second")
def registered_within(context, seconds):
    assert run(context, until(lambda: are_registered(context), seconds))


@then("they stay registered for {seconds:d} seconds")
def stay_registered(context, seconds):
    until_time = clock.now() + seconds
    while clock.now() < until_time:
        context.platform.store.expire()
        assert are_registered(context)
        run(context, asyncio.sleep(POLL_SECONDS))


def used(context):
    """Return the identities of the plain backends that the first entry process uses."""
    fleet = context.platform.entries[0].fleet
    return {view.backend.identity for view in fleet.usable("plain", clock.now())}


def wait_for_use(context, identity, is_used):
    assert run(context, until(lambda: (identity in used(context)) == is_used))


@when("a backend drains")
def drain_backend(context):
    context.chosen = plain(context)[0]
    context.platform.register(context.chosen, "draining")
    wait_for_use(context, context.chosen.identity, False)


@when("a backend drains and leaves")
def drain_and_leave(context):
    drain_backend(context)
    end_registration(context)


@when("the registration of a backend ends")
def lapse(context):
    context.chosen = plain(context)[0]
    end_registration(context)


def end_registration(context):
    context.platform.store.remove(BACKEND_PREFIX + context.chosen.identity)
    backends = context.platform.entries[0].fleet.backends
    assert run(context, until(lambda: context.chosen.identity not in backends))


@when("another plain backend registers")
def another_registers(context):
    context.chosen = run(context, context.platform.add_backend("p-3", "plain"))
    wait_for_use(context, "p-3", True)


@when("that backend registers again")
def registers_again(context):
    context.platform.register(context.chosen)


@then("the process does not use the backend for {seconds:g} s")
def unused_for(context, seconds):
    check_use(context, seconds, False)


@then("the process uses that backend for {seconds:g} s")
def used_for(context, seconds):
    check_use(context, seconds, True)


def check_use(context, seconds, is_used):
    until_time = clock.now() + seconds
    while clock.now() < until_time:
        assert (context.chosen.identity in used(context)) == is_used
        run(context, asyncio.sleep(POLL_SECONDS))


@then("the process has stopped using that backend after {seconds:g} s")
def unused_after(context, seconds):
    run(context, asyncio.sleep(seconds))
    assert context.chosen.identity not in used(context)


@then("the process uses that backend after {seconds:g} s")
def used_after(context, seconds):
    assert context.chosen.identity not in used(context)
    run(context, asyncio.sleep(seconds))
    assert context.chosen.identity in used(context)


@when("another entry process starts")
def start_another(context):
    async def start():
        role = await context.platform.add_entry("zone-b")
        assert await until(role.is_ready)

    run(context, start())


@when("the second process hears nothing while the key is revoked and the store is restored")
def cut_off_meanwhile(context):
    role = context.platform.entries[1]
    receive, url = role.exchange.receive, role.follower.store.url
    role.exchange.receive = lambda payload, origin, now: None
    role.follower.store.url = "http://127.0.0.1:9"
    run(context, asyncio.sleep(0.7))
    revoke(context)
    assert run(context, until(lambda: is_in_force(context, 0)))
    context.platform.store.restore(context.copy)
    run(context, asyncio.sleep(0.5))
    assert not is_in_force(context, 1)
    role.exchange.receive, role.follower.store.url = receive, url


def is_in_force(context, entry):
    """Return True if an entry process has the last configuration that was written."""
    table = context.platform.entries[entry].fleet.table
    return table.configuration.version == context.platform.configuration_version


@when("a target version is set")
def set_version(context):
    value = json.dumps({"model_name": "model", "version": 2}).encode()
    context.platform.store.put("op/version/model", value)
    versions = context.platform.entries[0].fleet.versions
    assert run(context, until(lambda: bool(versions.get("model"))))
    context.learned = versions["model"][-1]


@then("the process keeps the version and its time for {seconds:g} s")
def keeps_version(context, seconds):
    until_time = clock.now() + seconds
    while clock.now() < until_time:
        assert context.platform.entries[0].fleet.versions["model"] == [context.learned]
        run(context, asyncio.sleep(POLL_SECONDS))


def has_digests(context):
    return any(key.startswith(DIGESTS_PREFIX) for key in context.platform.store.items)


@given("the digests of the held version are in the store")
def digests_stored(context):
    assert run(context, until(lambda: has_digests(context)))


@then("the digests of the held version are in the store within {seconds:d} s")
def digests_again(context, seconds):
    assert not any(key.startswith(DIGESTS_PREFIX) for key in context.copy.items)
    assert run(context, until(lambda: has_digests(context), seconds))
