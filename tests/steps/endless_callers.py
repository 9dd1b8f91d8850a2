"""Steps on callers that send bytes without end, or many that are all asked for."""

import asyncio

from behave import then, when

from tests.steps.connections import LOOK, head_of
from tests.steps.platform_running import call, run

BLOCK = 65536
MOST_BYTES = 64 * 1024 * 1024
SECONDS = 30.0
POST = ("POST /look/x", "X-Deadline-Ms: 2000")
CHUNKED = head_of(*POST, "Transfer-Encoding: chunked")
ENDLESS = {
    "empty lines": (b"", b"\r\n" * (BLOCK // 2)),
    "a request line": (b"GET /", b"a" * BLOCK),
    "a header name": (b"GET /look/x HTTP/1.1\r\nX-", b"a" * BLOCK),
    "a header value": (b"GET /look/x HTTP/1.1\r\nX-A: ", b"a" * BLOCK),
    "header lines": (b"GET /look/x HTTP/1.1\r\n", b"X-A: b\r\n" * (BLOCK // 8)),
    "a chunk size": (CHUNKED, b"0" * BLOCK),
    "a chunk extension": (CHUNKED + b"1;", b"a" * BLOCK),
    "chunks of one byte": (CHUNKED, b"1\r\na\r\n" * (BLOCK // 6)),
    "trailers": (CHUNKED + b"0\r\n", b"X-A: b\r\n" * (BLOCK // 8)),
    "a body that is long": (head_of(*POST, "Content-Length: 1000000000000"), b"a" * BLOCK),
}


@when("a caller sends {what} without end")
def send_endless(context, what):
    head, block = ENDLESS[what]
    host, _, port = context.platform.entries[0].direct.front.rpartition(":")

    async def send():
        reader, writer = await asyncio.open_connection(host, int(port))
        reading = asyncio.create_task(read_all(reader))
        writer.write(head)
        sent = 0
        try:
            async with asyncio.timeout(SECONDS):
                while sent < MOST_BYTES:
                    writer.write(block)
                    await writer.drain()
                    sent += BLOCK
                    await asyncio.sleep(0)
            return "open"
        except TimeoutError:
            return "open"
        except OSError:
            return "ended"
        finally:
            writer.transport.abort()
            reading.cancel()

    context.ending = run(context, send())


async def read_all(reader):
    try:
        while await reader.read(BLOCK):
            pass
    except OSError:
        pass


@then("its connection ends before 64 MiB")
def has_ended(context):
    assert context.ending == "ended", context.ending


@then("a look-up of another caller is served")
def other_served(context):
    assert call(context, "/look/x")[0] == 200


@when("a caller pipelines {count:d} look-ups, and bodies of 1 MB in chunks of {size:d} bytes")
def send_much(context, count, size):
    host, _, port = context.platform.entries[0].direct.front.rpartition(":")
    body = (b"%x\r\n" % size + b"a" * size + b"\r\n") * (1_000_000 // size) + b"0\r\n\r\n"

    async def send(data, answers):
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(data)
        received = b""
        async with asyncio.timeout(SECONDS):
            while received.count(b"HTTP/1.1 ") < answers:
                piece = await reader.read(BLOCK)
                if not piece:
                    break
                received += piece
        writer.transport.abort()
        return received.count(b"HTTP/1.1 ")

    context.answers = run(context, send(LOOK * count, count)), run(context, send(CHUNKED + body, 1))
    context.wanted = count, 1


@then("each of its requests has an answer")
def all_answered(context):
    assert context.answers == context.wanted, (context.answers, context.wanted)
