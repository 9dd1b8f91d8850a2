"""Steps on requests of the proxied mode in progress while the configuration changes."""

import asyncio
import dataclasses

from behave import given, then, when

from bench.operations import apply_or_fail
from tests.steps.platform_running import run
from tests.steps.requests_unchanged import start_cluster


@given("running processes with a service that takes {seconds:g} s, one request at a time")
def slow_service(context, seconds):
    start_cluster(context, service={"work_seconds": seconds}, endpoint={"concurrency": 1})


async def call_service(context):
    url = f"http://{context.cluster.address_of('entry-0')}/v1/services/reservations/x"
    async with context.cluster.session.post(url, data=b"x") as answer:
        return answer.status, answer.headers.get("X-Verdict"), await answer.read()


@when("{count:d} requests are in progress and a manifest comes without services and releases")
def taken_away(context, count):
    async def play():
        tasks = [asyncio.create_task(call_service(context)) for _ in range(count)]
        await asyncio.sleep(0.2)
        empty = dataclasses.replace(context.manifest, services=[], releases=[])
        await apply_or_fail(context.cluster, empty)
        context.done_before = sum(task.done() for task in tasks)
        context.answers = await asyncio.gather(*tasks)
        for _ in range(20):
            context.next = await call_service(context)
            if context.next[0] != 200:
                break

    run(context, play())


@then("each is answered by the service, and the next one is refused as not run with {status:d}")
def answered(context, status):
    assert context.done_before < len(context.answers), context.done_before
    found = [(got, verdict) for got, verdict, _ in context.answers]
    assert found == [(200, "ran")] * len(found), context.answers
    assert context.next[:2] == (status, "not-run"), context.next
