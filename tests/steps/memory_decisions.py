"""Steps on decisions about the memory of a process and of engines."""

import contextlib
import dataclasses
import json

from behave import given, then, when
from returns.result import Success

from tests.direct_fakes import ENGINE, NOW, fleet_of, placer_of, request_of
from verbenaward.data import Verdict
from verbenaward.placement.backends import RemoteLoad
from verbenaward.placement.engine_memory import counted_tokens
from verbenaward.placement.memory_budget import HeldBytes, MemoryBudget, Purpose
from verbenaward.platform.declarations import parse_configuration
from verbenaward.platform.key_value import KeyValueEntry


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
    assert 1.0 <= refusal.retry_after_seconds <= 2.0 and context.memory.is_short


@then(
    "an answer of {small:d} bytes still fits, and one of {large:d} bytes ends as one that may have "
    "run"
)
def answers_fit(context, small, large):
    assert isinstance(context.held.put(Purpose.ANSWER, small), Success)
    refusal = context.held.put(Purpose.ANSWER, large).failure()
    assert (refusal.status, refusal.verdict) == (502, Verdict.MAY_HAVE_RUN)
    assert context.memory.held.total() == context.memory.capacity_bytes


@when("the requests have ended, a body of {size:d} bytes is admitted and nothing is held")
@then("a body of {size:d} bytes is admitted and nothing is held")
def admitted_again(context, size):
    if context.memory.is_limited:
        context.held.release()
    assert isinstance(context.memory.check_body(size), Success)
    assert context.memory.held.total() == 0 and not context.memory.is_short


@given("two engines that hold {tokens:d} tokens, and a report of {running:d} requests at the first")
def two_engines_with_load(context, tokens, running):
    context.placer = placer_of(fleet_of(2))
    context.engine = dataclasses.replace(ENGINE, kv_capacity_tokens=tokens)
    view = context.placer.fleet.backends["e-0"]
    view.remote_loads["other"] = RemoteLoad(running, 0, NOW)


@when("a request with a prompt of {prompt:d} and an answer of {answer:d} tokens is placed")
def place(context, prompt, answer):
    context.request = dataclasses.replace(request_of(prompt, answer), engine=context.engine)
    context.found = context.placer.candidates(context.request, NOW)


@then('the engines with room for it are "{room}"')
def engines_with_room(context, room):
    found = " ".join(sorted(choice.view.backend.identity for choice in context.found)) or "none"
    assert found == room, found
    if not context.found:
        refusal = context.placer.refusal(context.request, None, NOW)
        assert (refusal.status, refusal.retry_after_seconds) == (413, 0.0), refusal


@when("as many requests with {prompt:d} and {answer:d} tokens as fit are in flight")
def fill_engines(context, prompt, answer):
    place(context, prompt, answer)
    context.stack, context.sent = contextlib.ExitStack(), []
    while choice := context.placer.choose(context.request, set(), NOW):
        context.stack.enter_context(counted_tokens(choice.view, context.request))
        context.sent.append(choice.view.backend.identity)


@then("{count:d} are in flight at each, and a further one is refused until they have ended")
def full_engines(context, count):
    assert sorted(context.sent) == ["e-0"] * count + ["e-1"] * count, context.sent
    refusal = context.placer.refusal(context.request, None, NOW)
    assert (refusal.status, refusal.reason) == (503, "engine-memory"), refusal
    assert refusal.retry_after_seconds > 0
    context.stack.close()
    assert context.placer.choose(context.request, set(), NOW)


@then("a configuration with a capacity of {value} is read as {read}")
def capacity_read(context, value, read):
    engine = {"slots": 4, "step_ms": 8, "read_per_s": 19000, "kv_capacity_tokens": "VALUE"}
    services = [{"name": "engines", "inference_engine": engine}]
    text = json.dumps({"version": 1, "routes": [], "services": services})
    parsed = parse_configuration(
        KeyValueEntry("op/config", text.replace('"VALUE"', value).encode(), 1)
    )
    if read == "malformed":
        assert not isinstance(parsed, Success)
    else:
        assert parsed.unwrap().services[0].engine.kv_capacity_tokens == int(read)
