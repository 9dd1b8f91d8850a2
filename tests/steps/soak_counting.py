import re

from behave import given, then, when

from bench.soak_counting import (
    Ending,
    RequestResult,
    RetryLimit,
    classify,
    repeat_times,
    share_later_than,
    worst_window,
)

LIMIT = RetryLimit(ratio=0.2, extra=2, window_seconds=10.0)
SPACING_SECONDS = 0.01


def result(ending="complete", status=200, is_whole=True, seconds=1.0):
    return RequestResult("a", "edge-1", 0.0, seconds, Ending(ending), status, "", is_whole)


@when("a request ends as {ending} with status {status:d} and a body that is {body}")
def end_request(context, ending, status, body):
    context.outcome = classify(result(ending, status, body == "whole"))


@then("it is counted as {outcome}")
def check_outcome(context, outcome):
    assert context.outcome.value == outcome, context.outcome


@when("requests {names} arrive one second apart")
def arrive(context, names):
    attempts = re.findall(r"\b[a-c]\b", names)
    context.repeats = repeat_times([(float(at), name) for at, name in enumerate(attempts)])


@then("repeats are counted at {times} seconds")
def check_repeats(context, times):
    assert context.repeats == [float(at) for at in re.findall(r"\d+", times)], context.repeats


@given("{rate:d} requests a second for {seconds:d} seconds")
def send_requests(context, rate, seconds):
    context.sent = [index / rate for index in range(rate * seconds)]


@when("{few:d} repeats come around {first:d} seconds and {many:d} around {second:d} seconds")
def repeat_requests(context, few, first, many, second):
    repeats = [first + index * SPACING_SECONDS for index in range(few)]
    repeats += [second + index * SPACING_SECONDS for index in range(many)]
    context.worst = worst_window(context.sent, repeats, LIMIT)


@then("the worst window has {repeats:d} repeats of {requests:d} requests")
def check_worst(context, repeats, requests):
    assert context.worst.repeats == repeats, context.worst
    assert context.worst.requests == requests, context.worst
    assert context.worst.bound == LIMIT.ratio * requests + LIMIT.extra, context.worst


@given("streams that are whole after 1, 2 and 3 seconds, one that is cut and one that is refused")
def end_streams(context):
    context.results = [result(seconds=float(seconds)) for seconds in (1, 2, 3)]
    context.results += [result("lost", is_whole=False), result(status=503, is_whole=False)]


@then("half of the accepted ones are later than 2 seconds")
def check_late(context):
    assert share_later_than(context.results, 2.0) == 0.5
