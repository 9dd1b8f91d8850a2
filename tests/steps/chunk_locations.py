"""Steps on the answers of an entry process about where a chunk can be fetched."""

import asyncio
from types import SimpleNamespace
from unittest import mock

from behave import then, when
from returns.result import Success

from verbenaward.distribution.chunk_cache import ChunkCache
from verbenaward.distribution.chunk_events import ChunkEvents, ChunkKey
from verbenaward.distribution.origin_link import OriginLink
from verbenaward.distribution.peer_calls import HOLDER_HEADER
from verbenaward.distribution.readers import Inventory
from verbenaward.distribution.relay import ChunkRelay
from verbenaward.distribution.relay_answers import LOCATE_OWN_SECONDS, RelayAnswers
from verbenaward.distribution.version_reader import VersionReader

OTHER = "other:1"
SETTLE_SECONDS = 0.2


class WaitingRelay:
    """A relay that gets no chunk; its reader finds what the test says.

    Attributes:
      held: Chunks that another reader is known to hold.
      looks: Number of times that a question has looked for them.
    """

    def __init__(self, is_in_own_zone=True):
        self.held, self.looks = frozenset(), 0
        self.readers = {("model", 2): self}
        self.processes = SimpleNamespace(is_in_own_zone=lambda control: is_in_own_zone)
        self.found_elsewhere = ChunkEvents()

    def readers_with(self, index):
        self.looks += 1
        return [OTHER] if index in self.held else []

    async def get_in_time(self, key, seconds, is_for_reader):
        await asyncio.sleep(seconds)

    def find(self, index):
        self.held |= {index}
        ChunkRelay.tell_of_holder(self, "model", 2, frozenset({index}))


async def ask(context, relay, count, seconds, find=None):
    """Ask for chunks at the same time; keep the answers that come within some time."""
    answers = RelayAnswers(relay)
    asked = [
        asyncio.create_task(answers.answer_location(ChunkKey("model", 2, index), False))
        for index in range(count)
    ]
    await asyncio.sleep(2 * LOCATE_OWN_SECONDS)
    if find is not None:
        relay.find(find)
    await asyncio.sleep(seconds)
    context.answered = {index: task.result() for index, task in enumerate(asked) if task.done()}
    for task in asked:
        task.cancel()
    await asyncio.gather(*asked, return_exceptions=True)


@when("{count:d} questions wait for {seconds:d} second for chunks that nobody has")
def wait_in_vain(context, count, seconds):
    context.relay, context.count = WaitingRelay(), count
    context.loop.run_until_complete(ask(context, context.relay, count, seconds))


@then("each has looked for another reader once")
def looked_once(context):
    assert context.relay.looks == context.count, context.relay.looks


@when("{count:d} questions wait, and another reader of the zone is found to hold chunk {index:d}")
def found_in_zone(context, count, index):
    asking = ask(context, WaitingRelay(), count, SETTLE_SECONDS, index)
    context.loop.run_until_complete(asking)


@then("the question for chunk {index:d} alone is answered, and names that reader")
def answered_alone(context, index):
    assert set(context.answered) == {index}, context.answered
    answer = context.answered[index]
    assert (answer.status, answer.headers[HOLDER_HEADER]) == (200, OTHER)


@when("{count:d} questions wait, and a reader of another zone is found to hold chunk {index:d}")
def found_in_other_zone(context, count, index):
    asking = ask(context, WaitingRelay(is_in_own_zone=False), count, SETTLE_SECONDS, index)
    context.loop.run_until_complete(asking)


@then("no question is answered")
def none_answered(context):
    assert not context.answered, context.answered


@when(
    "a reader finds chunks 1 and 2 at another reader, then chunks 1, 2 and 3, and all at an "
    "endpoint process"
)
def find_in_turn(context):
    found, context.told = {}, []

    class Calls:
        async def inventory(self, control, path):
            return Success(Inventory(found[control], frozenset()))

    reader = VersionReader(
        *("model", 2, [b""] * 4, "own:1", mock.Mock(), lambda: True),
        *(ChunkCache(), OriginLink(), mock.Mock(), mock.Mock(), context.told.append, Calls()),
    )
    reader.endpoints = {"endpoint:1"}

    async def query():
        for control, held in ((OTHER, {1, 2}), (OTHER, {1, 2, 3}), ("endpoint:1", {0, 1, 2, 3})):
            found[control] = frozenset(held)
            await reader.query([control], "/weights")

    context.loop.run_until_complete(query())


@then("it tells of chunks 1 and 2, then of chunk 3, and of nothing else")
def told_once(context):
    assert context.told == [{1, 2}, {3}], context.told
