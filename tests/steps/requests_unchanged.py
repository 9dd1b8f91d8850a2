"""Steps on encoded bodies and exact targets in the proxied mode."""

import asyncio
import gzip
import hashlib
import json
import tempfile
from pathlib import Path

from behave import given, then, when

from bench.cluster import Cluster, ClusterPlan
from bench.models import make_version, manifest_of
from bench.operations import apply_or_fail, wait_until_slots_held
from tests.steps.platform_running import run
from tests.steps.unchanged import BODIES, head_of, read_message
from verbenaward.requests.decoding import decoded

MAXIMUM_BYTES = 1000
MODEL_BODIES = {
    **BODIES,
    "a cut body": BODIES["a gzip body"][:-1],
    "a large body": gzip.compress(bytes(MAXIMUM_BYTES + 1)),
}


@given("running processes with a service")
def start_cluster(context, **options):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    version = make_version(Path(folder.name), "v1", 65536, 1)
    context.manifest = manifest_of(version)
    plan = ClusterPlan(1, 0, 1, origin_folder=Path(folder.name), log_level="critical", **options)

    async def start():
        context.cluster = Cluster(plan)
        await context.cluster.start()
        await apply_or_fail(context.cluster, context.manifest)
        assert await wait_until_slots_held(context.cluster, "reservation", 20)

    context.add_cleanup(lambda: run(context, context.cluster.stop()))
    run(context, start())


@when('a caller sends {body} with Content-Encoding "{encoding}" to "{target}" of the service')
def send(context, body, encoding, target):
    context.sent = target, encoding, hashlib.sha256(BODIES[body]).hexdigest()

    async def exchange():
        address = context.cluster.address_of("entry-0")
        host, _, port = address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        headers = [
            ("Host", address.encode()),
            ("Content-Encoding", encoding.encode()),
            ("Content-Length", b"%d" % len(BODIES[body])),
        ]
        line = f"POST /v1/services/reservations{target} HTTP/1.1".encode()
        writer.write(head_of(line, headers) + BODIES[body])
        answer = await asyncio.wait_for(read_message(reader), 10)
        writer.close()
        return answer

    context.answer = run(context, exchange())


@then("the service received the target, the encoding and the body as sent")
def is_unchanged(context):
    assert context.answer[0] == b"HTTP/1.1 200 OK", context.answer
    answer = json.loads(context.answer[2])
    received = answer["path"], answer["encoding"], answer["confirmed"]
    assert received == context.sent, (received, context.sent)


@then('the answer has the Content-Encoding "{encoding}", and decoded it is that of the service')
def is_encoded(context, encoding):
    line, headers, body = context.answer
    assert line == b"HTTP/1.1 200 OK", context.answer
    assert dict(headers).get("content-encoding") == encoding.encode(), headers
    assert json.loads(gzip.decompress(body))["path"] == context.sent[0], body


@then('{body} with Content-Encoding "{encoding}" is decoded to {result}')
@then('{body} with Content-Encoding "" is decoded to {result}')
def is_decoded(context, body, result, encoding=""):
    found = decoded(MODEL_BODIES[body], encoding, MAXIMUM_BYTES)
    if result.startswith("status"):
        assert found.failure().status == int(result.split()[1]), found
    else:
        assert found.unwrap() == {"its text": b"text" * 99, "itself": b"text"}[result], found


@then('the endpoint process refuses the path "{path}"')
def refuses(context, path):
    address = context.cluster.address_of("service-0")
    headers = {"X-Path": path, "X-Method": "POST", "X-Request-Id": "r", "X-Deadline-Ms": "900"}

    async def exchange():
        async with context.cluster.session.post(f"http://{address}/run", headers=headers) as answer:
            return answer.status, answer.headers["X-Verdict"], await answer.text()

    status, verdict, text = run(context, exchange())
    assert (status, verdict) == (400, "not-run") and "/a HTTP" in text, text
