"""Steps on odd values of other writers in the proxied mode."""

import msgspec
from behave import given, then, when
from returns.result import Failure, Success

from tests.steps.configuration_store import manifest_named
from tests.steps.requests_at_most_once import KEYS, OnceMachine, holder_of_key
from verbenaward.configuration.follower import ConfigurationFollower
from verbenaward.configuration.store import (
    HEAD_KEY,
    HISTORY_PREFIX,
    ApplyOutcome,
    Proposal,
    apply,
    encode_configuration,
    read_head,
    unaccepted_proposals,
)
from verbenaward.data import EMPTY_CONFIGURATION, Verdict
from verbenaward.requests.claims import claim_name
from verbenaward.requests.slots import SlotHolder, SlotTable, encode_table, slot_of
from verbenaward.schema.messages import ConfigurationOffer

DEPTH = 5000


def nested(sound):
    """Return a sound value with an unknown field that is nested deeply."""
    return b'{"unknown":' + b"[" * DEPTH + b"]" * DEPTH + b"," + sound.removeprefix(b"{")


def odd_value(odd, sound):
    values = {
        "nested 5000 deep": nested(sound),
        "not JSON": sound[:-1],
        "not UTF-8": sound.replace(b'":', b'\xff":', 1),
        "of another type": b"[7]",
        "without its fields": b"{}",
        "cut short": encode_table(SlotTable((SlotHolder(),))),
    }
    return values[odd]


@when("the head and an entry of the history are {odd}")
def odd_head(context, odd):
    context.odd = odd_value(odd, encode_configuration(EMPTY_CONFIGURATION))
    for key in (HEAD_KEY, f"{HISTORY_PREFIX}00000000-odd"):
        context.service.world.change(key, context.odd)


@then("reading the head fails with a message, and a process that is offered it keeps its own")
def head_unreadable(context):
    read = context.loop.run_until_complete(read_head(context.service))
    assert isinstance(read, Failure) and read.failure().message, read
    follower = ConfigurationFollower()
    follower.apply_offer(ConfigurationOffer(revision=1, document=context.odd), "test")
    assert follower.configuration == EMPTY_CONFIGURATION


@then("a change is accepted once the head is sound again")
def change_accepted(context):
    del context.service.world.stored[HEAD_KEY]
    proposal = Proposal(manifest_named("w"), "op", "", "sound")
    context.service.lose = ["", "after"]
    applied = context.loop.run_until_complete(apply(context.service, proposal, 0.0))
    assert applied.outcome is ApplyOutcome.ACCEPTED, applied
    unaccepted = context.loop.run_until_complete(unaccepted_proposals(context.service))
    assert unaccepted == Success(())


@given("three processes that hold the slots")
def holding(context):
    context.machine = OnceMachine()
    context.add_cleanup(context.machine.teardown)
    context.holder = holder_of_key(context.machine)


def running_tasks(context):
    return [not task.done() for item in context.machine.processes.values() for task in item.tasks]


@when("their slot table is {odd} for {seconds:d} s")
def odd_table(context, odd, seconds):
    world, key = context.machine.world, context.holder.keeper.table_key
    context.odd = odd_value(odd, world.stored[key].value)
    world.change(key, context.odd)
    context.machine.advance(seconds)
    assert world.stored[key].value == context.odd


@then("no task of them has ended, and the holder of a key runs it")
def holder_runs(context):
    assert all(running_tasks(context))
    answer = context.machine.loop.run_until_complete(context.holder.send(KEYS[0]))
    assert isinstance(answer, Success) and context.machine.ledger == [KEYS[0]], answer


@when(
    "the claim of a key and the renewal of its holder are {odd}, and the holder is asked to run it"
)
def odd_claim(context, odd):
    world, keeper = context.machine.world, context.holder.keeper
    path = keeper.claims.prefix_of(slot_of("w", KEYS[0])) + claim_name(f"w\0{KEYS[0]}")
    value = odd_value(odd, msgspec.json.encode(keeper.claims.owner))
    world.change(path, value)
    context.path = path
    context.answer = context.machine.loop.run_until_complete(context.holder.send(KEYS[0]))
    world.change(keeper.renewal_key(context.holder.own.member.vm), value)


@then("it is answered may-have-run and has not run")
def answered_may_have_run(context):
    assert context.machine.world.stored[context.path].revision, context.path
    assert isinstance(context.answer, Failure), context.answer
    assert context.answer.failure().verdict is Verdict.MAY_HAVE_RUN, context.answer
    assert not context.machine.ledger


@then("no task of them has ended, also after the holder has crashed")
def tasks_run(context):
    assert all(running_tasks(context))
    context.machine.kill(context.holder.own.member.vm)
    context.machine.advance(8.0)
    assert all(running_tasks(context))
    assert holder_of_key(context.machine) is not context.holder
