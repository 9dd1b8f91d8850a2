"""Steps on the memory of engines as a part of placement."""

import contextlib
import dataclasses
import json

from behave import given, then, when
from returns.result import Success

from tests.direct_fakes import ENGINE, NOW, fleet_of, placer_of, request_of
from verbenaward.placement.backends import RemoteLoad
from verbenaward.placement.engine_memory import counted_tokens
from verbenaward.platform.declarations import parse_configuration
from verbenaward.platform.key_value import KeyValueEntry


@given("two engines that hold {tokens:d} tokens each")
def two_engines_of(context, tokens):
    context.placer = placer_of(fleet_of(2))
    context.engine = dataclasses.replace(ENGINE, kv_capacity_tokens=tokens)
    context.stack = contextlib.ExitStack()


@given(
    "two engines that hold {tokens:d} tokens each, of which another process reports {running:d} "
    "requests at the first"
)
def two_engines_with_load(context, tokens, running):
    two_engines_of(context, tokens)
    if running:
        view = context.placer.fleet.backends["e-0"]
        view.remote_loads["other"] = RemoteLoad(running, 0, NOW)


def request_with(context, prompt, answer):
    return dataclasses.replace(request_of(prompt, answer), engine=context.engine)


@when("a request with a prompt of {prompt:d} and an answer of {answer:d} tokens is placed")
def place(context, prompt, answer):
    context.request = request_with(context, prompt, answer)
    found = context.placer.candidates(context.request, NOW)
    context.candidates = {choice.view.backend.identity for choice in found}


@then("the engines with room for it are: {outcome}")
def goes_to(context, outcome):
    expected = {"either one": {"e-0", "e-1"}, "the second": {"e-1"}, "none: 413": set()}[outcome]
    assert context.candidates == expected, context.candidates
    if not expected:
        refusal = context.placer.refusal(context.request, None, NOW)
        assert (refusal.status, refusal.retry_after_seconds) == (413, 0.0), refusal


@when("as many requests with {prompt:d} and {answer:d} tokens as fit are in flight")
def fill_engines(context, prompt, answer):
    context.request = request_with(context, prompt, answer)
    context.sent = []
    while choice := context.placer.choose(context.request, set(), NOW):
        choice.view.record_started(prompt)
        context.stack.enter_context(counted_tokens(choice.view, context.request))
        context.sent.append(choice.view.backend.identity)


@then(
    '{count:d} are in flight at each, and a further one is refused with "{reason}" and a '
    "Retry-After"
)
def full_engines(context, count, reason):
    assert sorted(context.sent) == ["e-0"] * count + ["e-1"] * count, context.sent
    refusal = context.placer.refusal(context.request, None, NOW)
    assert (refusal.status, refusal.reason) == (503, reason), refusal
    assert refusal.retry_after_seconds > 0


@when("the requests in flight end")
def requests_end(context):
    context.stack.close()


@then("a further one is admitted")
def admits_further(context):
    assert context.placer.choose(context.request, set(), NOW)


@when("a configuration declares engines with a capacity of {value}")
def declare_capacity(context, value):
    engine = {"slots": 4, "step_ms": 8, "read_per_s": 19000, "kv_capacity_tokens": "VALUE"}
    services = [{"name": "engines", "inference_engine": engine}]
    text = json.dumps({"version": 1, "routes": [], "services": services})
    entry = KeyValueEntry("op/config", text.replace('"VALUE"', value).encode(), 1)
    context.parsed = parse_configuration(entry)


@then("the capacity is {read}")
def capacity_read(context, read):
    if read == "malformed":
        assert not isinstance(context.parsed, Success)
        return
    engine = context.parsed.unwrap().services[0].engine
    assert engine.kv_capacity_tokens == int(read), engine
