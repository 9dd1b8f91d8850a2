"""Steps on the drawn soak."""

from behave import then, when

from bench.drawn import bench_drawn
from bench.drawn_plan import draw_plan
from bench.drawn_troubles import ACTIONS
from bench.registry import BROKEN

SECONDS = 40.0


@when("plans are drawn twice for each of {count:d} seeds")
def draw_plans(context, count):
    context.plans, context.again = (
        [draw_plan(seed, SECONDS, None, None) for seed in range(count)] for _ in range(2)
    )


@then("both plans of a seed are the same, and those of different seeds differ")
def check_plans(context):
    assert context.plans == context.again
    assert len({plan.requests for plan in context.plans}) == len(context.plans)
    assert len({plan.troubles for plan in context.plans}) == len(context.plans)


@then("all kinds of trouble are among them")
def check_kinds(context):
    kinds = {trouble.kind for plan in context.plans for trouble in plan.troubles}
    assert kinds == set(ACTIONS.items), kinds


@when("seed {seed:d} of the drawn soak runs for {seconds:d} seconds")
def run_drawn(context, seed, seconds):
    arguments = ["--seed", str(seed), "--seconds", str(seconds), "--entries", "3", "--rate", "30"]
    context.figures = context.loop.run_until_complete(bench_drawn(arguments))


@then("at least {count:d} requests are answered whole")
def check_whole(context, count):
    assert context.figures["outcomes"]["whole"] >= count, context.figures


@then("none of its verdicts is broken")
def check_verdicts(context):
    assert context.figures[BROKEN] == [], context.figures
