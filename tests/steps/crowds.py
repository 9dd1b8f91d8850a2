"""Steps on crowds of clients that do not behave, at processes with little memory."""

import asyncio
import contextlib
import tempfile
from collections import Counter
from pathlib import Path

from behave import given, then, when

from bench.cluster import Cluster, ClusterPlan
from bench.process_usage import peak_megabytes
from standins.platform import free_address
from standins.unruly_clients import HABITS, Crowd
from tests.daemon_process import DaemonProcess
from tests.limited_process import (
    DescriptorPeak,
    limit_descriptors,
    open_descriptors,
)
from tests.steps.connections import LOOK
from tests.steps.platform_running import run

CROWD_SECONDS = 2.0
LIMIT_SECONDS = 1.5
"""A process reads its limit of descriptors each second."""
ANSWER_SECONDS = 20.0
UNSENT_BYTES = 100
METRICS = b"GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n"
HEALTH = b"GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n"


class Limited:
    """A process with its listeners, and the ordinary request that it has to answer."""

    def __init__(self, process, addresses, ordinary, pid):
        self.process, self.addresses, self.ordinary, self.pid = process, addresses, ordinary, pid


async def ask(address, request):
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(request)
    try:
        return int((await reader.readline()).split(b" ")[1])
    finally:
        writer.transport.abort()


async def ask_until(address, request):
    """Ask as a caller does that follows refusals; return the last status."""
    status = 0
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(ANSWER_SECONDS):
            while status != 200:
                with contextlib.suppress(OSError, IndexError):
                    status = await ask(address, request)
                await asyncio.sleep(0.1)
    return status


@given("an entry process with {megabytes:d} MB and {count:d} descriptors")
def start_entry(context, megabytes, count):
    daemon = DaemonProcess(context.platform, memory_megabytes=megabytes)
    start_daemon(context, daemon, count)
    run(context, daemon.wait_until_ready())
    direct = daemon.direct
    addresses = {
        "address for callers": direct.front,
        "directory": direct.directory,
        "readiness": direct.readiness,
        "internal address": daemon.listen,
    }
    context.limited = Limited(daemon, addresses, (direct.front, LOOK), daemon.process.pid)


@given("an endpoint process with {megabytes:d} MB and {count:d} descriptors")
def start_endpoint(context, megabytes, count):
    daemon = DaemonProcess(
        context.platform,
        "endpoint",
        memory_megabytes=megabytes,
        engine=free_address(),
        service="engines",
    )
    start_daemon(context, daemon, count)
    context.limited = Limited(
        daemon, {"internal address": daemon.listen}, (daemon.listen, METRICS), daemon.process.pid
    )
    assert run(context, ask_until(daemon.listen, METRICS)) == 200


def start_daemon(context, daemon, count):
    context.add_cleanup(lambda: run(context, daemon.close()))
    run(context, daemon.start())
    limit_descriptors(daemon.process.pid, count)


@given("a proxied {role} process with {count:d} descriptors")
def start_proxied(context, role, count):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    plan = ClusterPlan(entries=1, engines=1, origin_folder=Path(folder.name), log_level="critical")

    async def start():
        context.cluster = Cluster(plan)
        await context.cluster.start()

    context.add_cleanup(lambda: run(context, context.cluster.stop()))
    run(context, start())
    vm = {"entry": "entry-0", "endpoint": "engine-0"}[role]
    process, address = context.cluster.processes[vm].process, context.cluster.address_of(vm)
    limit_descriptors(process.pid, count)
    run(context, asyncio.sleep(LIMIT_SECONDS))
    context.limited = Limited(
        process, {"internal address": address}, (address, HEALTH), process.pid
    )


@when('{count:d} clients at its {listener} send "{habit}", a caller is served meanwhile')
def send_crowd_beside_caller(context, count, listener, habit):
    async def ask_in_the_middle():
        await asyncio.sleep(CROWD_SECONDS / 2)
        return await ask(*context.limited.ordinary)

    asking = context.loop.create_task(ask_in_the_middle())
    play_crowd(context, count, listener, habit)
    assert run(context, asking) == 200


@when('{count:d} clients at its {listener} send "{habit}"')
def send_crowd(context, count, listener, habit):
    play_crowd(context, count, listener, habit)


def play_crowd(context, count, listener, habit):
    limited = context.limited
    crowd = Crowd(limited.addresses[listener], HABITS[habit], count)
    context.descriptors = DescriptorPeak(limited.pid)

    async def play():
        sampling = asyncio.create_task(context.descriptors.sample())
        try:
            await crowd.run(CROWD_SECONDS)
        finally:
            sampling.cancel()

    run(context, play())
    assert crowd.opened >= count, (crowd.opened, crowd.closed)
    context.crowd = crowd


@then("it lives, below {megabytes:d} MB and {count:d} open descriptors")
def has_lived(context, megabytes, count):
    peak, most = peak_megabytes(context.limited.pid), context.descriptors.most
    print(f"peak {peak:.0f} MB, {most} descriptors, {context.crowd.opened} connections")
    assert 0 < peak < megabytes, f"{peak:.0f} MB, {most} descriptors"
    assert most < count, f"{most} descriptors, {peak:.0f} MB"


def padded(head, size):
    """Return a head with further lines, which the backends take, up to a size in bytes."""
    lines = [b"X-Padding: " + b"a" * 4000 for _ in range((size - len(head)) // 4100)]
    lines.append(b"X-Padding: " + b"a" * (size - len(head) - sum(len(item) + 2 for item in lines)))
    lines[-1] = lines[-1][: -len(b"X-Padding: \r\n")]
    longer = b"\r\n".join((head[:-4], *lines, b"", b""))
    assert len(longer) == size, len(longer)
    return longer


@when("{count:d} callers have sent all but the end of heads of {size:d} bytes")
def send_long_heads(context, count, size):
    context.descriptors = DescriptorPeak(context.limited.pid)
    context.crowd = Crowd("", HABITS["nothing"], count, opened=count)
    host, _, port = context.limited.addresses["address for callers"].rpartition(":")
    head = padded(LOOK, size)
    context.unfinished = []

    async def send():
        for _ in range(count):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(head[:-UNSENT_BYTES])
            await writer.drain()
            context.unfinished.append((reader, writer, head[-UNSENT_BYTES:]))
        context.descriptors.most = open_descriptors(context.limited.pid)

    run(context, send())


@then("each of them is served once it sends the end")
def long_heads_served(context):
    async def finish():
        statuses = []
        for reader, writer, rest in context.unfinished:
            writer.write(rest)
            statuses.append(int((await reader.readline()).split(b" ")[1]))
            writer.transport.abort()
        return statuses

    statuses = run(context, finish())
    assert set(statuses) == {200}, Counter(statuses)


@then("an ordinary request is answered")
def ordinary_answered(context):
    assert run(context, ask_until(*context.limited.ordinary)) == 200
