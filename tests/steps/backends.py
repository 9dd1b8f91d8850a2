"""Steps on backends as one entry process sees them."""

from behave import given, then

from tests.direct_fakes import NOW, fleet_of


@given("a backend that was found {fault} {count:d} times in a row")
def failed_often(context, fault, count):
    context.view = fleet_of(1).backends["e-0"]
    record = getattr(context.view, f"record_{fault}")
    for _ in range(count):
        record(NOW)


@then("it is out of use for at most {seconds:d} s")
def backoff_limited(context, seconds):
    until = max(context.view.backoff_until, context.view.excluded_until)
    assert NOW < until <= NOW + seconds, until
