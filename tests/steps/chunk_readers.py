"""Steps on the readers of a version, as decisions without a network."""

import asyncio
import hashlib
from unittest import mock

from behave import then, when
from hypothesis import given as for_all
from hypothesis import strategies as st
from returns.result import Failure, Success

from verbenaward.distribution.chunk_cache import ChunkCache
from verbenaward.distribution.inventory import decode_inventory, encode_inventory
from verbenaward.distribution.origin_link import OriginLink
from verbenaward.distribution.readers import (
    ORIGIN_READERS,
    Inventory,
    next_to_read,
    reader_order,
    readers_of_chunk,
)
from verbenaward.distribution.recent_failures import RecentFailures
from verbenaward.distribution.version_reader import Neighbours, VersionReader

CHUNKS = 12
ORDER = ["a", "b", "c", "d"]
EVENTS = ("finish", "stop", "start", "lose origin", "regain origin")


class SimulatedReaders:
    """Readers of one version; each holds some chunks and receives at most one."""

    def __init__(self):
        self.held = {name: set() for name in ORDER[:ORIGIN_READERS]}
        self.receiving = {}
        self.without_origin = set()
        self.requests = []

    def inventories(self, reader):
        return {
            name: Inventory(
                frozenset(held),
                frozenset({self.receiving[name]} & {*range(CHUNKS)})
                if name in self.receiving
                else frozenset(),
            )
            for name, held in self.held.items()
            if name != reader
        }

    def request_next(self, reader):
        if reader in self.receiving or reader in self.without_origin or reader not in self.held:
            return
        missing = [index for index in range(CHUNKS) if index not in self.held[reader]]
        others = self.inventories(reader)
        index = next_to_read(missing, ORDER, reader, others, {})
        if index is not None:
            self.requests.append((index, others))
            self.receiving[reader] = index

    def apply(self, event, reader):
        if event == "finish" and reader in self.receiving:
            self.held[reader].add(self.receiving.pop(reader))
        elif event == "stop":
            self.held.pop(reader, None)
            self.receiving.pop(reader, None)
        elif event == "start":
            self.held.setdefault(reader, set())
        elif event == "lose origin":
            self.without_origin.add(reader)
            self.receiving.pop(reader, None)
        elif event == "regain origin":
            self.without_origin.discard(reader)
        for name in tuple(self.held):
            self.request_next(name)

    def known(self):
        return set().union(*self.held.values()) if self.held else set()


@when("readers of a version stop, start, and lose and regain the origin at any time")
def any_history(context):
    steps = st.tuples(st.sampled_from(EVENTS), st.sampled_from(ORDER[:ORIGIN_READERS]))

    def histories(check):
        for_all(st.lists(steps, max_size=60))(check)()

    context.histories = histories


@then("no reader requests a chunk that another one holds or receives")
def never_twice(context):
    def check(history):
        readers = SimulatedReaders()
        for event, reader in history:
            readers.apply(event, reader)
        for index, others in readers.requests:
            assert not any(index in item.held | item.receiving for item in others.values())

    context.histories(check)


@then("every chunk is read as long as one reader reaches the origin")
def all_read(context):
    def check(history):
        readers = SimulatedReaders()
        for event, reader in history:
            readers.apply(event, reader)
        last = ORDER[0]
        readers.apply("start", last)
        readers.apply("regain origin", last)
        for _ in range(CHUNKS):
            for name in tuple(readers.held):
                readers.apply("finish", name)
        assert readers.known() == {*range(CHUNKS)}

    context.histories(check)


@when("{count:d} entry processes are in the region of the origin")
def entries_of_region(context, count):
    context.entries = [f"10.0.0.{index}:7700" for index in range(count)]


@then("each version has {count:d} readers with a third of its chunks each")
def equal_shares(context, count):
    for version in range(40):
        order = reader_order("model", version, context.entries)
        shares = [readers_of_chunk(order, index)[0] for index in range(48)]
        assert set(shares) == {*order[:count]}
        assert all(shares.count(reader) == 16 for reader in order[:count])


@then("without one reader the other two stay readers")
def two_stay(context):
    for version in range(40):
        order = reader_order("model", version, context.entries)
        for reader in order[:ORIGIN_READERS]:
            remaining = [entry for entry in context.entries if entry != reader]
            after = reader_order("model", version, remaining)[:ORIGIN_READERS]
            assert {*order[:ORIGIN_READERS]} - {reader} < {*after}


@then("without any other process no chunk changes its reader")
def others_change_nothing(context):
    def responsible(version, entries):
        order = reader_order("model", version, entries)
        return [readers_of_chunk(order, index)[:ORIGIN_READERS] for index in range(48)]

    for version in range(40):
        before = responsible(version, context.entries)
        for other in set(context.entries) - set(before[0]):
            remaining = [entry for entry in context.entries if entry != other]
            assert responsible(version, remaining) == before


@when("the origin has corrupted chunk 0 for its reader")
def corrupted(context):
    context.reader = readers_of_chunk(ORDER, 0)[0]
    context.rejections = {0: 1}


@then("the reader requests all other chunks before it")
def comes_last(context):
    missing, requested = [*range(CHUNKS)], []
    while missing:
        index = next_to_read(missing, ORDER, context.reader, {}, context.rejections)
        requested.append(index)
        missing.remove(index)
    assert requested[-1] == 0, requested


@when("processes send inventories of up to {count:d} chunks")
def inventories(context, count):
    context.indexes = st.frozensets(st.integers(0, count))


@then("they are received as they were sent, and malformed ones give an error")
def unchanged(context):
    @for_all(context.indexes, context.indexes)
    def check(held, receiving):
        sent = Inventory(held, receiving)
        assert decode_inventory(encode_inventory(sent)) == Success(sent)

    check()
    for body in (b"", b"[]", b'{"held": 1}', b'{"held": "?"}', b"\xff"):
        assert isinstance(decode_inventory(body), Failure), body


class TwoReaders:
    """Two readers of a version of one chunk, whose queries of each other take a time."""

    def __init__(self, query_seconds):
        self.query_seconds, self.reads = query_seconds, 0
        self.failures = RecentFailures()
        digests = [hashlib.sha256(b"chunk").digest()]
        order = reader_order("model", 2, ORDER[:2])
        near = Neighbours(order, [], [], [], [])
        self.readers = {
            name: VersionReader(
                *("model", 2, digests, name, lambda: near, lambda: True),
                *(ChunkCache(), OriginLink(), self.read_chunk, mock.Mock(), mock.Mock(), self),
            )
            for name in order
        }

    async def inventory(self, control, _):
        await asyncio.sleep(self.query_seconds / 2)
        reader = self.readers[control]
        inventory = Inventory(frozenset(reader.done), reader.announced)
        await asyncio.sleep(self.query_seconds / 2)
        return Success(inventory)

    async def fetch(self, *_):
        return Success(b"chunk")

    async def read_chunk(self, _, on_answer):
        self.reads += 1
        on_answer()
        await asyncio.sleep(0.05)
        return Success(b"chunk")

    async def run(self, start_seconds):
        first, second = self.readers.values()
        running = asyncio.create_task(second.run())
        await asyncio.sleep(start_seconds)
        await asyncio.gather(running, first.run())
        return self.reads


@when("one of two readers starts up to 0.1 s after the other and queries take {seconds:g} s")
def start_two(context, seconds):
    async def play():
        starts = [index * 0.004 for index in range(26)]
        return await asyncio.gather(*(TwoReaders(seconds).run(start) for start in starts))

    context.reads = context.loop.run_until_complete(asyncio.wait_for(play(), 10))


@then("the only chunk is read once whenever it starts")
def read_once(context):
    assert set(context.reads) == {1}, context.reads
