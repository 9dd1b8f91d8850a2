"""Steps on the planned stop of a process of the proxied mode."""

import asyncio
import signal
import tempfile
from pathlib import Path

import aiohttp
from behave import given, then, when

from bench.cluster import Cluster, ClusterPlan
from bench.models import make_version, manifest_of
from bench.operations import apply_or_fail, wait_until_slots_held
from tests.steps.platform_running import run
from verbenaward import clock

INTERVAL_SECONDS = 0.1


@given("running processes whose service takes 30 s for a request, with 4 s for a stop")
def start_cluster(context):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    origin = Path(folder.name)
    version = make_version(origin, "v1", 65536, 1)
    plan = ClusterPlan(
        entries=1,
        engines=0,
        services=1,
        origin_folder=origin,
        endpoint={"concurrency": 200},
        service={"work_seconds": 30},
        log_level="critical",
        shutdown_seconds=4,
    )

    async def start():
        context.cluster = Cluster(plan)
        await context.cluster.start()
        await apply_or_fail(context.cluster, manifest_of(version))
        assert await wait_until_slots_held(context.cluster, "reservation", 20)

    context.add_cleanup(lambda: run(context, context.cluster.stop()))
    run(context, start())


async def send(context, session, attempt):
    method = "POST" if attempt.startswith("book") else "GET"
    headers = {"X-Request-Id": attempt, "X-Deadline-Ms": "60000"}
    if method == "POST":
        headers["Idempotency-Key"] = attempt
    url = f"http://{context.cluster.address_of('entry-0')}/v1/services/reservations/x"
    sent_at = clock.now()
    try:
        async with session.request(method, url, headers=headers, data=b"x") as response:
            await response.read()
            answer = response.status, response.headers.get("X-Verdict")
    except (aiohttp.ClientError, OSError) as error:
        answer = 0, repr(error)
    context.outcomes.append((sent_at, attempt, answer))


@when("reservations and look-ups are sent from before {vm} gets {names} until it has ended")
def send_around_stop(context, vm, names):
    async def stop():
        process = context.cluster.processes[vm].process
        context.stopped_at = clock.now()
        for name in names.split(", "):
            context.cluster.signal(vm, signal.Signals[name])
            await asyncio.sleep(INTERVAL_SECONDS)
        await asyncio.wait_for(process.wait(), 20)
        context.ended_after = clock.now() - context.stopped_at

    async def send_all():
        connector = aiohttp.TCPConnector(limit=0)
        async with (
            aiohttp.ClientSession(connector=connector) as session,
            asyncio.TaskGroup() as group,
        ):
            stopping = None
            for number in range(200):
                for kind in ("book", "look"):
                    group.create_task(send(context, session, f"{kind}-{number}"))
                if number == 5:
                    stopping = group.create_task(stop())
                await asyncio.sleep(INTERVAL_SECONDS)
                if stopping is not None and stopping.done():
                    break
        service = context.cluster.backend_of("service-0")
        ledger = await context.cluster.get_json(f"http://{service}/ledger")
        context.reached = {request_id for _, request_id, _, _ in ledger["runs"]}

    context.outcomes = []
    run(context, send_all())


@then("each that reached the service is answered completely, and that it may have run")
def reached_may_have_run(context):
    reached = [(item, answer) for _, item, answer in context.outcomes if item in context.reached]
    assert len(reached) > 5, context.outcomes
    wrong = [
        item for item in reached if item[1][0] not in (502, 504) or item[1][1] != "may-have-run"
    ]
    assert not wrong, wrong


@then("none that was sent later than {seconds:g} s after the signal reached the service")
def none_late(context, seconds):
    late = [
        (attempt, round(sent_at - context.stopped_at, 2))
        for sent_at, attempt, _ in context.outcomes
        if attempt in context.reached and sent_at > context.stopped_at + seconds
    ]
    assert not late, late


@then("the process has ended within {seconds:g} s of the signal")
def ended(context, seconds):
    assert context.ended_after < seconds, context.ended_after
