"""Steps on requests that crash backends while all entry processes end at once."""

from behave import given, then, when

from tests.simulated_restarts import SimulatedRestarts
from tests.steps.platform_running import run

END_TIMES = (12.0, 22.0, 32.0, 42.0)
"""When all processes end; the request comes from 4 s on."""
UNTIL = 50.0
AWAY_SECONDS = 3.0
SEEDS = 2
"""Random histories of each example, unless `-D seeds=N -D first_seed=N` says otherwise."""


@given("{count:d} entry processes that get a request again and again that crashes each backend")
def deadly_request(context, count):
    userdata = context.config.userdata
    first = int(userdata.get("first_seed", 0))
    seeds = range(first, first + int(userdata.get("seeds", SEEDS)))

    async def make():
        return [SimulatedRestarts(seed, count, UNTIL) for seed in seeds]

    context.histories = run(context, make())


def play(context):
    async def play_all():
        for history in context.histories:
            for at in END_TIMES:
                history.network.after(at, history.end_all)
            history.network.run_until(UNTIL)

    run(context, play_all())


@when("all of them end at once four times, and the store answers")
def end_all(context):
    play(context)


@when("all of them end at once four times, and the store is away as they start")
def end_with_store(context):
    def set_away(history, is_away):
        history.is_store_away = is_away

    for history in context.histories:
        for at in END_TIMES:
            history.network.after(at, lambda history=history: set_away(history, True))
            history.network.after(
                at + AWAY_SECONDS, lambda history=history: set_away(history, False)
            )
    play(context)


@when("all of them end at once four times, and the store comes back from a copy")
def end_and_restore(context):
    for history in context.histories:
        history.network.after(3.0, history.take_copy)
        history.network.after(END_TIMES[1] - 4.0, history.restore)
    play(context)


@when("all of them end at once four times, and halves are cut from each other")
def end_in_halves(context):
    def cut(history):
        for index, entry in enumerate(history.network.entries):
            entry.side = index % 2

    for history in context.histories:
        for at in (1.0, *(at + 1.5 for at in END_TIMES)):
            history.network.after(at, lambda history=history: cut(history))
    play(context)


@then("they send it {count:d} times at most later than 3 s after the third crash")
def few_late_sends(context, count):
    for history in context.histories:
        late = history.late_sends()
        assert len(history.crashes) >= 2, history.crashes
        assert len(late) <= count, (late, history.crashes, history.starts)
