import dataclasses

from behave import given, then, when
from hypothesis import given as examples
from hypothesis import strategies as st

from tests.fakes import virtual_loop
from verbenaward.membership.directory import Directory
from verbenaward.membership.own_record import OwnRecord
from verbenaward.membership.registrar import Registrar
from verbenaward.requests.endpoints import EndpointViews
from verbenaward.schema.messages import Heartbeat, Member, MemberKind, MemberStatus
from verbenaward.schema.settings import (
    EndpointSettings,
    MembershipSettings,
    PlatformSettings,
    Settings,
)

RECORDS = st.builds(
    Member,
    vm=st.sampled_from(["a", "b", "c"]),
    kind=st.just(MemberKind.ENDPOINT),
    address=st.just(""),
    incarnation=st.integers(1, 3),
    version=st.integers(1, 3),
    status=st.sampled_from([MemberStatus.ALIVE, MemberStatus.SUSPECT]),
).map(lambda item: dataclasses.replace(item, address=f"10.0.0.{ord(item.vm)}:1"))


def settings_of(vm, role):
    return Settings(
        format=1,
        role=role,
        vm=vm,
        region="r",
        zone="z",
        listen="10.0.0.1:1" if role == "entry" else "10.0.0.2:1",
        platform=PlatformSettings(key_value="http://10.0.0.9"),
        endpoint=EndpointSettings(serves="assistant", backend="http://x") if vm == "e" else None,
    )


@then("random records in random orders give equal directories and equal summaries")
def check_orders(context):
    @examples(st.lists(RECORDS, max_size=12), st.randoms(use_true_random=False))
    def run(records, rng):
        shuffled = list(records)
        rng.shuffle(shuffled)
        directories = [Directory("x"), Directory("x")]
        for directory, order in zip(directories, (records, shuffled), strict=True):
            for record in order:
                directory.merge(record, 0.0)
        first, second = directories
        assert first.members == second.members
        assert first.summary() == second.summary()
        assert first.differing_records(second.summary()) == ()

    run()


@when("a new VM takes the address of an old one")
def reuse_address(context):
    context.directory = Directory("x")
    old = Member("old", MemberKind.ENDPOINT, "assistant", "r", "z", "10.0.0.5:1", 10, 1)
    context.directory.merge(old, 0.0)
    context.directory.merge(dataclasses.replace(old, vm="new", incarnation=20), 1.0)


@then("the old VM is gone and the new one gets requests")
def check_address_reused(context):
    assert context.directory.members["old"].status is MemberStatus.GONE
    assert [item.vm for item in context.directory.endpoints_of("assistant")] == ["new"]


@given("an entry process that receives heartbeats of one endpoint process")
def entry_and_endpoint(context):
    virtual = virtual_loop()
    context.virtual = virtual.__enter__()
    context.add_cleanup(lambda: virtual.__exit__(None, None, None))
    context.entry = OwnRecord(settings_of("entry", "entry"), 100.0)
    context.endpoint = OwnRecord(settings_of("e", "endpoint"), 100.0)
    context.directory = Directory("entry")
    context.registrar = Registrar(context.directory, context.entry, MembershipSettings(), fetch)
    context.directory.merge(context.entry.member, 0.0)
    send_heartbeat(context)
    sweep_for(context, 1.0)


async def fetch(address, revision):
    """Replaces the fetch of a newer configuration, which no scenario here needs."""


def send_heartbeat(context):
    message = Heartbeat(context.endpoint.member)
    return context.virtual.run_until_complete(context.registrar.handle_heartbeat(message))


def sweep_for(context, seconds):
    for _ in range(int(seconds / 0.5)):
        context.virtual.clock.now += 0.5
        context.registrar.sweep(context.virtual.clock.now)


@when("the endpoint process sends no heartbeat for {seconds:d} seconds")
def no_heartbeat(context, seconds):
    sweep_for(context, seconds)


@then("it is suspect and gets no requests")
def check_suspect(context):
    assert context.directory.members["e"].status is MemberStatus.SUSPECT
    assert context.directory.endpoints_of("assistant") == []


@when("it sends a heartbeat and gets its suspect status in the reply")
def refute(context):
    context.endpoint.refute(send_heartbeat(context))


@then("its next heartbeat makes it alive again")
def check_alive_again(context):
    send_heartbeat(context)
    assert [item.vm for item in context.directory.endpoints_of("assistant")] == ["e"]


@when("the entry process is paused for {seconds:d} seconds")
def pause_entry(context, seconds):
    context.virtual.clock.now += seconds
    context.registrar.sweep(context.virtual.clock.now)


@then("the endpoint process is still alive")
def check_alive(context):
    send_heartbeat(context)
    sweep_for(context, 1.0)
    assert context.directory.members["e"].status is MemberStatus.ALIVE


@when("a process with a lower incarnation starts on the same VM")
def restart_with_lower_incarnation(context):
    context.endpoint = OwnRecord(settings_of("e", "endpoint"), 50.0)
    context.endpoint.refute(send_heartbeat(context))
    send_heartbeat(context)


@then("it raises its incarnation and its record is taken over")
def check_known(context):
    known = context.directory.members["e"]
    assert known.incarnation == context.endpoint.member.incarnation


@when("{count:d} endpoint VMs join, are marked as gone and their tombstones expire")
def replace_many(context, count):
    context.views = EndpointViews(context.directory)
    for index in range(count):
        member = dataclasses.replace(
            context.endpoint.member,
            vm=f"vm-{index}",
            address=f"10.1.{index // 250}.{index % 250}:1",
        )
        context.virtual.run_until_complete(context.registrar.handle_heartbeat(Heartbeat(member)))
        sweep_for(context, 0.5)
        context.directory.mark(member.vm, MemberStatus.GONE, context.virtual.clock.now)
    context.virtual.clock.now += 1000.0
    sweep_for(context, 1.0)


@then("nothing is kept about any of them")
def check_nothing_kept(context):
    registrar, directory = context.registrar, context.directory
    tables = [
        registrar.revisions,
        registrar.responsible_for,
        registrar.responsible_since,
        registrar.suspect_since,
        directory.members,
        directory.change_sequences,
        directory.last_heartbeat_at,
        directory.bucket_of,
        directory.gone_at,
        context.views.views,
    ]
    assert all(len(table) <= 2 for table in tables), [len(table) for table in tables]
