"""Steps that play a load on models of engines."""

from behave import then, when

from bench.policy_play import Play, Setting, played
from verbenaward.logs import configure_logs

SEEDS = (1, 2, 3)


def mean(values):
    return sum(values) / len(values)


@when("a load of {load:g} times what the engines can do is played")
def play_load(context, load):
    configure_logs("critical")
    context.own = [played(Setting(load=load, seed=seed)) for seed in SEEDS]
    context.best = [played(Setting(load=load, seed=seed, near_seconds=0.0)) for seed in SEEDS]
    play = Play(Setting(load=load))
    play.run()
    context.refusals = play.refusals


@then("callers get at least {share:g} of what full knowledge gives")
def share_of_best(context, share):
    own = mean([row["worth"] for row in context.own])
    best = mean([row["worth"] for row in context.best])
    assert own >= share * best, (own, best)


@then("the largest requests get at least {share:g} of what they would then get")
def largest(context, share):
    own = mean([row["largest"] for row in context.own])
    best = mean([row["largest"] for row in context.best])
    assert own >= share * best, (own, best)


@when("all engines load once within {seconds:g} s at a load of {load:g}")
def play_swap(context, seconds, load):
    configure_logs("critical")
    context.own = [
        played(Setting(load=load, swap_seconds=seconds, seed=seed, seconds=8.0)) for seed in SEEDS
    ]


@when(
    "{entries:d} entry processes and {engines:d} engines play a load of {load:g} with pulses at "
    "their allowed rate"
)
def play_many(context, entries, engines, load):
    configure_logs("critical")
    setting = Setting(
        load=load,
        entries=entries,
        engines=engines,
        seconds=6.0,
        near_seconds=0.1,
        far_seconds=2.0,
    )
    context.own = [played(setting)]


@then("callers get at least {share:g} of what is owed")
def share_of_owed(context, share):
    own = mean([row["worth"] for row in context.own])
    assert own >= share, own


@then("each refusal came at once and says when to come back")
def refusals_at_once(context):
    assert context.refusals
    assert all(held == 0.0 and retry_later > 0.0 for held, retry_later in context.refusals)
