"""Steps that simulate a load on models of engines."""

from behave import then, when

from bench.placement_simulation import PlacementSimulation, SimulationSettings, simulate
from verbenaward.logs import configure_logs

SEEDS = (1, 2, 3)


def mean(values):
    return sum(values) / len(values)


@when("a load of {load:g} times the engines' capacity is simulated")
def simulate_load(context, load):
    configure_logs("critical")
    context.own = [simulate(SimulationSettings(load=load, seed=seed)) for seed in SEEDS]
    # The reference: entry processes that share one view of the engines without delay.
    context.reference = [
        simulate(SimulationSettings(load=load, seed=seed, near_report_seconds=0.0))
        for seed in SEEDS
    ]
    simulation = PlacementSimulation(SimulationSettings(load=load))
    simulation.run()
    context.refusals = simulation.refusals


@then("callers get at least {share:g} of the reference")
def share_of_reference(context, share):
    own = mean([row["worth"] for row in context.own])
    reference = mean([row["worth"] for row in context.reference])
    assert own >= share * reference, (own, reference)


@then("the largest requests get at least {share:g} of the reference")
def largest(context, share):
    own = mean([row["largest"] for row in context.own])
    reference = mean([row["largest"] for row in context.reference])
    assert own >= share * reference, (own, reference)


@when("all engines load once within {seconds:g} s at a load of {load:g}")
def simulate_rollout(context, seconds, load):
    configure_logs("critical")
    context.own = [
        simulate(SimulationSettings(load=load, loading_seconds=seconds, seed=seed, seconds=8.0))
        for seed in SEEDS
    ]


@when(
    "{entries:d} entry processes and {engines:d} engines run at a load of {load:g} with "
    "the allowed broadcasts"
)
def simulate_many(context, entries, engines, load):
    configure_logs("critical")
    settings = SimulationSettings(
        load=load,
        entries=entries,
        engines=engines,
        seconds=6.0,
        near_report_seconds=0.1,
        far_report_seconds=2.0,
    )
    context.own = [simulate(settings)]


@then("callers get at least {share:g} of the full value")
def share_of_full_value(context, share):
    own = mean([row["worth"] for row in context.own])
    assert own >= share, own


@then("each refusal came at once and carries a retry delay")
def refusals_at_once(context):
    assert context.refusals
    assert all(held == 0.0 and retry_after > 0.0 for held, retry_after in context.refusals)
