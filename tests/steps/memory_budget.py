"""Steps on the bytes that a process holds."""

from behave import given, then, when
from returns.result import Failure, Success

from verbenaward.data import Verdict
from verbenaward.placement.memory_budget import HeldBytes, MemoryBudget, Purpose, capacity_of


@then("a memory limit of {limit:d} MB lets a process hold {capacity:d} bytes")
def capacity_is(context, limit, capacity):
    assert capacity_of(limit) == capacity, capacity_of(limit)


@given("a process that may hold {capacity:d} bytes")
def budget_of(context, capacity):
    context.memory = MemoryBudget(capacity)
    context.held = HeldBytes(context.memory)


@when("requests hold bodies of {size:d} bytes")
def hold_bodies(context, size):
    assert isinstance(context.held.add(Purpose.REQUEST_BODY, size), Success)


@then(
    "a body of {small:d} bytes is admitted and one of {large:d} bytes is refused with a Retry-After"
)
def refused_body(context, small, large):
    assert isinstance(context.memory.check_body(small), Success)
    refusal = context.memory.check_body(large).failure()
    assert (refusal.status, refusal.verdict, refusal.reason) == (503, Verdict.NOT_RUN, "memory")
    assert 1.0 <= refusal.retry_after_seconds <= 2.0
    assert isinstance(context.held.add(Purpose.REQUEST_BODY, 2 * large), Failure)
    assert context.memory.is_short


@then(
    "an answer of {small:d} bytes still fits, and one of {large:d} bytes ends as one that may have "
    "run"
)
def answers_fit(context, small, large):
    assert isinstance(context.held.put(Purpose.ANSWER, small), Success)
    refusal = context.held.put(Purpose.ANSWER, large).failure()
    assert (refusal.status, refusal.verdict) == (502, Verdict.MAY_HAVE_RUN)
    assert context.memory.held.total() <= context.memory.capacity_bytes


@when("all of them are released")
def release_all(context):
    context.held.release()


@then("a body of {size:d} bytes is admitted and nothing is held")
def admitted_again(context, size):
    assert isinstance(context.memory.check_body(size), Success)
    assert context.memory.held.total() == 0 and not context.memory.is_short
