"""Steps on the garbage collection of real processes, by their metrics."""

import asyncio
import re

import aiohttp
from behave import then

CONNECTIONS = 100
"""Connections at the same time, which take thousands of objects that only a collector looks at."""
YOUNG, FULL = 0, 2
"""Generations of the collector."""


async def read_collections(context, connections=1):
    """Return the collections so far by generation, by the last of some answers."""
    url = f"http://{context.limited.addresses['internal address']}/metrics"

    async def ask(session):
        async with session.get(url) as response:
            return await response.text()

    async with aiohttp.ClientSession() as session:
        texts = await asyncio.gather(*(ask(session) for _ in range(connections)))
    found = re.findall(r'python_gc_collections_total\{generation="(\d)"\} (\S+)', texts[-1])
    return {int(generation): float(number) for generation, number in found}


@then("it has made no full collection of garbage")
def no_full_collection(context):
    context.collections = context.loop.run_until_complete(read_collections(context))
    assert context.collections[FULL] == 0, context.collections


@then("it collects the garbage of the requests that it answers")
def collects(context):
    later = context.loop.run_until_complete(read_collections(context, CONNECTIONS))
    assert later[YOUNG] > context.collections[YOUNG], (context.collections, later)
