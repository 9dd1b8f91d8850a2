"""Steps on registrations that end around an outage of the store."""

from behave import given, then

from tests.direct_fakes import NOW, fleet_of
from verbenaward.platform.key_value import KeyValueEntry
from verbenaward.platform.names import BACKEND_PREFIX

BOUND_SECONDS = 2.0
"""Time after the end of a registration from which the backend gets no request."""
SEND_SECONDS = 0.2
"""Time that a request may take to reach a backend."""


def is_used(context, seconds):
    """Return True if the backend is used at a time after the store's return."""
    return bool(context.fleet.usable(context.service, NOW + seconds))


@given("a backend whose registration ends {ended:g} s after the store has returned from {trouble}")
def registration_ends(context, ended, trouble):
    context.fleet = fleet_of(1)
    context.service = context.fleet.backends["e-0"].backend.service
    if trouble == "an outage":
        context.fleet.store_failed_at = NOW
    else:
        context.fleet.replica.restored_at = NOW
    assert is_used(context, ended)
    tombstone = KeyValueEntry(f"{BACKEND_PREFIX}e-0", b"", 2)
    context.fleet.apply_registration(tombstone, NOW + ended)
    context.ended = ended


@then("it is used until {seconds:g} s after the return if its registration lapsed in it")
def used_for_a_while(context, seconds):
    assert context.ended > seconds or is_used(context, seconds)


@then("no request is sent to it from 0.2 s before the bound on")
def unused_in_time(context):
    # The store may have ended the registration at any time since its return.
    for seconds in (BOUND_SECONDS - SEND_SECONDS, BOUND_SECONDS, BOUND_SECONDS + context.ended):
        if seconds >= context.ended:
            assert not is_used(context, seconds), seconds
