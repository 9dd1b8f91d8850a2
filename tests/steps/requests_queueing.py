import asyncio
import random

from behave import given, then, when
from hypothesis import given as examples
from hypothesis import strategies as st

from tests.fakes import request_of, virtual_loop
from verbenaward import clock
from verbenaward.data import Refusal, Verdict
from verbenaward.requests.budget import RetryBudget
from verbenaward.requests.fair_queue import FairQueue
from verbenaward.requests.limits import AdaptiveLimit
from verbenaward.requests.quarantine import CrashRegistry, QuarantineState, clearance_of, crash_of
from verbenaward.requests.records import AttemptFailure
from verbenaward.requests.retries import AttemptHistory, NextStep, next_step


def make_fair_queue(capacity, running, weights):
    limit = AdaptiveLimit(float(running), 1.0, float(running))
    return FairQueue(limit, capacity, lambda name: float(weights.get(name, 1)))


async def run_all(queue, arrivals):
    """Send all requests at once; return the order of admission and the refusals."""
    order, refused = [], []

    async def one(workspace):
        refusal = await queue.enter(request_of(workspace), clock.now())
        if refusal is not None:
            refused.append((workspace, refusal))
            return
        order.append(workspace)
        await asyncio.sleep(0.01)
        queue.leave(clock.now(), 0.01)

    await asyncio.gather(*(one(workspace) for workspace in arrivals))
    return order, refused


@given("a fair queue with capacity {capacity:d} that admits {running:d} request at a time")
def make_queue(context, capacity, running):
    context.weights = {}
    context.queue = make_fair_queue(capacity, running, context.weights)


@when(
    'workspace "{first}" sends {many:d} requests and "{second}" sends {few:d}, '
    "with weights {one:d} and {two:d}"
)
def send_from_two_workspaces(context, first, many, second, few, one, two):
    context.weights.update({first: one, second: two})
    with virtual_loop() as loop:
        arrivals = [first] * many + [second] * few
        context.order, context.refused = loop.run_until_complete(run_all(context.queue, arrivals))


@then('{few:d} of the first {count:d} answers go to "{workspace}"')
def check_share(context, count, few, workspace):
    assert abs(context.order[: count + 1].count(workspace) - few) <= 1, context.order[:count]


@then('every request of "{small}" is admitted and {count:d} of "{large}" are refused as not run')
def check_shed(context, small, count, large):
    assert context.order.count(small) == 2
    names = [name for name, _ in context.refused]
    assert names == [large] * count, len(names)
    assert all(refusal.verdict is Verdict.NOT_RUN for _, refusal in context.refused)


@then("for random arrivals the order of admission equals that of a reference scheduler")
def compare_with_reference(context):
    @examples(
        st.lists(st.sampled_from("abc"), min_size=1, max_size=30),
        st.fixed_dictionaries({name: st.integers(1, 3) for name in "abc"}),
    )
    def run(arrivals, weights):
        with virtual_loop() as loop:
            queue = make_fair_queue(1000, 1, weights)
            order, _ = loop.run_until_complete(run_all(queue, arrivals))
        assert order == reference_order(arrivals, weights)

    run()


def reference_order(arrivals, weights):
    """Serve the first arrival, then always the workspace least served for its weight."""
    waiting, served = list(arrivals), dict.fromkeys("abc", 0.0)
    order = [waiting.pop(0)]
    served[order[0]] += 1 / weights[order[0]]
    while waiting:
        firsts = sorted(set(waiting), key=arrivals.index)
        name = min(firsts, key=lambda item: served[item])
        waiting.remove(name)
        served[name] += 1 / weights[name]
        order.append(name)
    return order


@then("after random cancellations the queue is empty and admits new requests up to its limit")
def check_cancellations(context):
    @examples(st.lists(st.tuples(st.integers(0, 5), st.booleans()), max_size=25), st.integers(1, 3))
    def run(plan, running):
        with virtual_loop() as loop:
            loop.run_until_complete(cancel_some(plan, running))

    run()


async def cancel_some(plan, running):
    queue = make_fair_queue(100, running, {})

    async def one(index):
        refusal = await queue.enter(request_of(f"w{index % 3}"), clock.now())
        assert refusal is None
        try:
            await asyncio.sleep(0.01)
        finally:
            queue.leave(clock.now())

    tasks = []
    for index, (steps, cancel) in enumerate(plan):
        tasks.append(asyncio.create_task(one(index)))
        await asyncio.sleep(0.002 * steps)
        if cancel:
            tasks[random.Random(index).randrange(len(tasks))].cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    assert (queue.running, queue.queued_count) == (0, 0)
    order, refused = await run_all(queue, ["a"] * 5)
    assert (len(order), refused) == (5, [])


@when("a request arrives with {left:g} seconds to its deadline and runs take {seconds:g} second")
def send_late_request(context, left, seconds):
    async def run():
        context.queue.run_seconds = seconds
        await context.queue.enter(request_of("a"), clock.now())
        started = clock.now()
        refusal = await context.queue.enter(request_of("b", started + left), started)
        return refusal, clock.now() - started

    with virtual_loop() as loop:
        context.refusal, context.waited = loop.run_until_complete(run())


@then("the request is refused as not run without waiting")
def check_late(context):
    assert context.refusal.verdict is Verdict.NOT_RUN
    assert context.waited == 0


@when('{request} fails with verdict {verdict} and reason "{reason}"')
def fail_attempt(context, request, verdict, reason):
    history = AttemptHistory()
    history.record_failure(AttemptFailure(Refusal(Verdict(verdict), 503, reason, ""), "vm"))
    wanted = request_of("w", idempotent="non-" not in request)
    context.step = next_step(wanted, history, RetryBudget(0.1), 0.0)


@then('the next step is "{step}"')
def check_step(context, step):
    assert context.step is NextStep(step), context.step


@then("1000 first attempts that all fail allow at most 110 retries")
def check_budget(context):
    budget = RetryBudget(0.1)
    retries = 0
    for _ in range(1000):
        budget.earn()
        retries += budget.spend()
    assert retries <= 110, retries


@when("the request may have run in one attempt and did not run in the next")
def fail_twice(context):
    history = AttemptHistory()
    for verdict in (Verdict.MAY_HAVE_RUN, Verdict.NOT_RUN):
        refusal = Refusal(verdict, 503, "x", "")
        history.record_failure(AttemptFailure(refusal, "vm"))
    context.final = history.final_refusal(refusal)


@then("the final verdict is may-have-run")
def check_final(context):
    assert context.final.verdict is Verdict.MAY_HAVE_RUN


@then("a fingerprint is quarantined after one crash and poison after two")
def check_crashes(context):
    crash_registry = CrashRegistry()
    crash_registry.record(crash_of(b"f", "vm-1", 1, 10.0), 0.0)
    crash_registry.record(crash_of(b"f", "vm-1", 1, 10.0), 0.0)
    assert crash_registry.state_of(b"f", 1.0) is QuarantineState.QUARANTINED
    crash_registry.record(crash_of(b"f", "vm-2", 1, 11.0), 0.0)
    assert crash_registry.state_of(b"f", 1.0) is QuarantineState.POISON
    assert crash_registry.state_of(b"other", 1.0) is QuarantineState.NONE


@then("a clearance ends a quarantine but not poison, in whichever order the messages arrive")
def check_clearances(context):
    crash, clearance = crash_of(b"f", "vm-1", 1, 10.0), clearance_of(b"f", 12.0)
    for messages in ((crash, clearance), (clearance, crash)):
        crash_registry = CrashRegistry()
        for item in messages:
            crash_registry.record(item, 0.0)
        assert crash_registry.state_of(b"f", 1.0) is QuarantineState.NONE
    crash_registry = CrashRegistry()
    for item in (crash, crash_of(b"f", "vm-2", 1, 11.0), clearance):
        crash_registry.record(item, 0.0)
    assert crash_registry.state_of(b"f", 1.0) is QuarantineState.POISON
