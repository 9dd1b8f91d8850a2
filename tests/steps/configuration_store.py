import asyncio
import dataclasses

from behave import given, then, when
from hypothesis import given as examples
from hypothesis import strategies as st

from tests.fakes import FakeKeyValues, KeyValueWorld, virtual_loop
from verbenaward import metrics
from verbenaward.configuration.follower import ConfigurationFollower
from verbenaward.configuration.store import (
    ApplyOutcome,
    Head,
    Proposal,
    accepted_chain,
    apply,
    candidate_of,
    discard_proposal,
    record_in_history,
    unaccepted_proposals,
)
from verbenaward.data import EMPTY_CONFIGURATION
from verbenaward.schema.manifest import Manifest, Workspace

# What happens to the writes of one operator, in order: "" is answered, "before" is lost, "after"
# takes effect without an answer, and a number takes effect after so many seconds, unanswered.
WRITE_FAULTS = st.lists(st.sampled_from(["", "", "before", "after", 0.5]), max_size=6)


def manifest_named(name):
    return Manifest(format=1, releases=[], workspaces=[Workspace(name=name)])


@then("in random races the chain holds every accepted change and none that got a conflict")
def races(context):
    @examples(st.lists(WRITE_FAULTS, min_size=2, max_size=5))
    def run(faults_by_operator):
        with virtual_loop() as loop:
            loop.run_until_complete(race(faults_by_operator))

    run()


async def race(faults_by_operator):
    world = KeyValueWorld()

    async def apply_change(index, faults):
        service = FakeKeyValues(world)
        service.lose = list(faults)
        proposal = Proposal(manifest_named(f"w{index}"), f"o{index}", "", f"write-{index}")
        return await apply(service, proposal, 0.0)

    results = await asyncio.gather(*(apply_change(*item) for item in enumerate(faults_by_operator)))
    await asyncio.sleep(2.0)
    chain = (await accepted_chain(FakeKeyValues(world))).unwrap()
    chained = {item.write_id for item in chain if item.revision}
    for index, applied in enumerate(results):
        if applied.outcome is ApplyOutcome.ACCEPTED:
            assert f"write-{index}" in chained
        if applied.outcome is ApplyOutcome.CONFLICT:
            assert f"write-{index}" not in chained
    assert [item.revision for item in chain] == sorted(
        (item.revision for item in chain), reverse=True
    )


@given("an empty key-value service")
def empty_store(context):
    context.service = FakeKeyValues(KeyValueWorld())


@when("the same manifest is applied twice")
def apply_twice(context):
    async def run():
        for write_id in ("a", "b"):
            proposal = Proposal(manifest_named("w"), "op", "", write_id)
            context.applied = await apply(context.service, proposal, 0.0)
        return (await accepted_chain(context.service)).unwrap()

    context.chain = context.loop.run_until_complete(run())


@then("the second apply is unchanged and one revision exists")
def check_unchanged(context):
    assert context.applied.outcome is ApplyOutcome.UNCHANGED
    assert [item.revision for item in context.chain] == [1]


@when("a pipeline dies after it has recorded its change")
def pipeline_dies(context):
    proposal = Proposal(manifest_named("w"), "pipeline", "", "half")
    context.candidate = candidate_of(proposal, EMPTY_CONFIGURATION, 0.0)
    context.loop.run_until_complete(record_in_history(context.service, context.candidate))


@then("the change is listed as unfinished")
def check_listed(context):
    listed = context.loop.run_until_complete(unaccepted_proposals(context.service)).unwrap()
    assert [item.write_id for item in listed] == ["half"]


@then("it is no longer listed after it was discarded")
def check_discarded(context):
    context.loop.run_until_complete(discard_proposal(context.service, context.candidate))
    assert context.loop.run_until_complete(unaccepted_proposals(context.service)).unwrap() == ()


@when("three revisions are accepted and offered in any order, with gaps and older heads")
def offer_all(context):
    revisions = [
        dataclasses.replace(EMPTY_CONFIGURATION, revision=number, write_id=f"w{number}")
        for number in range(4)
    ]

    @examples(st.lists(st.tuples(st.integers(0, 3), st.booleans()), max_size=12))
    def run(offers):
        follower = ConfigurationFollower()
        seen = [0]
        for number, is_head in offers:
            if is_head:
                follower.apply_head(Head(revisions[number], number))
            else:
                follower.offer(revisions[number], 0.0, "test")
            seen.append(follower.configuration.revision)
        assert seen == sorted(seen)
        assert seen[-1] == max([0, *(number for number, _ in offers)])

    context.run = run


@then("the revision in force of a process never decreases")
def check_never_decreases(context):
    context.run()


@when("a process is offered another document with the revision in force")
def contradict(context):
    context.follower = ConfigurationFollower()
    context.refused = metrics.sample_sum("verbenaward_configuration_refused_total")
    for write_id in ("first", "second"):
        document = dataclasses.replace(EMPTY_CONFIGURATION, revision=1, write_id=write_id)
        context.follower.offer(document, 0.0, "test")


@then("it keeps its own and counts the refusal")
def check_kept(context):
    assert context.follower.configuration.write_id == "first"
    assert metrics.sample_sum("verbenaward_configuration_refused_total") == context.refused + 1


@given("6 entry processes, of which the 3 that watch the service are turned away by it")
def watchers_turned_away(context):
    virtual = virtual_loop()
    context.virtual_loop = virtual.__enter__()
    context.add_cleanup(lambda: virtual.__exit__(None, None, None))
    context.world = KeyValueWorld()
    context.followers = [ConfigurationFollower() for _ in range(6)]
    context.following = []

    async def start():
        for index, follower in enumerate(context.followers):
            service = FakeKeyValues(context.world)
            watches = index < 3
            following = follower.follow(service, lambda watches=watches: watches)
            context.following.append(asyncio.ensure_future(following))
            follower.listeners.append(tell_others(context.followers))
            await asyncio.sleep(0.1)
            service.cut = watches

    context.virtual_loop.run_until_complete(start())


def tell_others(followers):
    def tell(configuration):
        for follower in followers:
            follower.offer(configuration, 0.0, "peer")

    return tell


@when("a change is accepted")
def accept_change(context):
    proposal = Proposal(manifest_named("w"), "op", "", "write")
    service = FakeKeyValues(context.world)
    context.virtual_loop.run_until_complete(apply(service, proposal, 0.0))


@then("every process has it in force within {seconds:g} s")
def in_force_within(context, seconds):
    context.virtual_loop.run_until_complete(asyncio.sleep(seconds))
    revisions = [follower.configuration.revision for follower in context.followers]
    assert revisions == [1] * len(revisions), revisions
