"""A minimal aiohttp proxy: the baseline for the cost of an entry process."""

import asyncio
import sys

import aiohttp
import uvloop
from aiohttp import web


async def serve(host: str, port: int, target: str) -> None:
    """Forward every POST to a target until cancelled."""
    session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0), auto_decompress=False)

    async def forward(request: web.Request) -> web.StreamResponse:
        body = await request.read()
        headers = {"Content-Type": "application/json"}
        for name in ("X-Request-Id", "X-Priority"):
            if name in request.headers:
                headers[name] = request.headers[name]
        async with session.post(target + request.path, data=body, headers=headers) as answer:
            if answer.content_type != "text/event-stream":
                return web.Response(body=await answer.read(), status=answer.status)
            response = web.StreamResponse(headers={"Content-Type": "text/event-stream"})
            await response.prepare(request)
            async for piece in answer.content.iter_any():
                await response.write(piece)
            await response.write_eof()
            return response

    app = web.Application()
    app.router.add_post("/{path:.*}", forward)
    runner = web.AppRunner(app, access_log=None)
    await runner.setup()
    await web.TCPSite(runner, host, port, backlog=1024).start()
    print("ready", flush=True)
    try:
        await asyncio.Event().wait()
    finally:
        await runner.cleanup()
        await session.close()


if __name__ == "__main__":
    uvloop.run(serve(sys.argv[1], int(sys.argv[2]), sys.argv[3]))
