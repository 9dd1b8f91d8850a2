"""Steps on first attempts that ask endpoints to refuse instead of queueing."""

import asyncio
import dataclasses
import random
from unittest import mock

from behave import given, then, when
from returns.result import Failure, Success

from tests.fakes import request_of, virtual_loop
from verbenaward import clock
from verbenaward.data import Load
from verbenaward.endpoint.admission import AdmissionGate
from verbenaward.membership.ring import Ring
from verbenaward.requests import dispatch
from verbenaward.requests.endpoints import EndpointView
from verbenaward.requests.fair_queue import FairQueue
from verbenaward.requests.limits import AdaptiveLimit
from verbenaward.requests.quarantine import CrashRegistry
from verbenaward.requests.records import Answer, AttemptFailure
from verbenaward.schema.messages import Member

WORK_SECONDS = 0.2
LINK_SECONDS = 0.002
"""Time from an entry to an endpoint process."""


class Endpoints:
    """Endpoints without a network, whose gates admit and queue requests as the real ones do."""

    def __init__(self, count, slots, places):
        self.gates = {f"vm-{n}": AdmissionGate(slots, places) for n in range(count)}
        self.views = [EndpointView(Member(vm=vm, incarnation=1, release=b"r")) for vm in self.gates]

    def usable(self, role, now):
        return self.views

    def ring_of(self, role):
        return Ring(())

    async def run(self, session, request, view, alone, no_wait):
        gate = self.gates[view.member.vm]
        await asyncio.sleep(LINK_SECONDS)
        refusal = await gate.enter(request.deadline - clock.now(), alone, no_wait)
        if refusal is not None:
            return Failure(AttemptFailure(refusal, view.member.vm))
        await asyncio.sleep(WORK_SECONDS)
        gate.leave(alone)
        return Success(Answer(200, "", b"", view.member.vm, "", Load()))


def dispatcher_of(endpoints, tokens):
    async def report(crash):
        raise AssertionError(crash)

    found = dispatch.Dispatcher(None, endpoints, "least-load", 0.0, CrashRegistry(), report)
    found.rng = random.Random(1)
    found.budget.tokens = tokens
    return found


@given("{count:d} endpoints with {slots:d} slots and {places:d} places, and {tokens:g} retries")
def endpoints(context, count, slots, places, tokens):
    context.endpoints = Endpoints(count, slots, places)
    context.dispatcher = dispatcher_of(context.endpoints, tokens)


@when("{first:d} requests come at once, and {more:d} more {ms:d} ms later, with {seconds:g} s each")
def come(context, first, more, ms, seconds):
    queue = FairQueue(AdaptiveLimit(99.0, 99.0, 99.0), 99, lambda name: 1.0)

    async def send(index, after):
        await asyncio.sleep(after)
        now = clock.now()
        request = dataclasses.replace(
            request_of("w", now + seconds), idempotent=True, received_at=now
        )
        return await context.dispatcher.run(request, queue)

    async def send_all():
        tasks = [send(n, 0.0) for n in range(first)] + [send(n, ms / 1000) for n in range(more)]
        answers = await asyncio.gather(*tasks)
        context.first, context.later = answers[:first], answers[first:]

    with virtual_loop() as loop, mock.patch.object(dispatch, "run_attempt", context.endpoints.run):
        loop.run_until_complete(send_all())


@then("the first are all served")
def first_served(context):
    served = [isinstance(item, Success) for item in context.first]
    later = [isinstance(item, Success) for item in context.later]
    assert all(served), (served.count(False), later.count(True))


@then("{count:d} retries are left")
def retries_left(context, count):
    assert context.dispatcher.budget.tokens == count, context.dispatcher.budget.tokens
