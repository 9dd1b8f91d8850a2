import random

from behave import then, when
from blake3 import blake3
from hypothesis import given
from hypothesis import strategies as st

from verbenaward.schema.messages import Member
from verbenaward.schema.settings import LinkSettings
from verbenaward.weights.pacing import BURST_SECONDS, Pacer
from verbenaward.weights.peers import PeerTable
from verbenaward.weights.picker import RequestsInFlight, pick_from_peers
from verbenaward.weights.policies import POLICIES, Swarm, choose_policy
from verbenaward.weights.store import ChunkStore, StoreOutcome, plan_memory


def fleet_of(count):
    return [
        Member(vm=f"vm-{index}", region=f"r{index % 2}", zone=f"z{index % 3}")
        for index in range(count)
    ]


def source_ranks(policy, chunk, fleet):
    result = {}
    for own in fleet:
        others = tuple(item for item in fleet if item is not own)
        result[own.vm] = policy.source_rank(chunk, Swarm(own, others))
    return result


@then("for random fleets exactly one VM of all, or of each region, may read a chunk at once")
def one_source_reader(context):
    @given(st.integers(2, 20), st.binary(min_size=32, max_size=32))
    def run(count, chunk):
        fleet = fleet_of(count)
        once = source_ranks(POLICIES.find("once")(), chunk, fleet)
        assert sorted(once.values()) == list(range(count))
        by_region = source_ranks(POLICIES.find("per-region")(), chunk, fleet)
        assert sorted(by_region.values()).count(0) == 2

    run()


@then("without that VM the next one in order replaces it and the order stays")
def next_source_reader(context):
    fleet = fleet_of(9)
    chunk = blake3(b"chunk").digest()
    policy = POLICIES.find("once")()
    before = source_ranks(policy, chunk, fleet)
    first = min(before, key=before.__getitem__)
    after = source_ranks(policy, chunk, [item for item in fleet if item.vm != first])
    assert {vm: rank + 1 for vm, rank in after.items()} == {
        vm: rank for vm, rank in before.items() if vm != first
    }


@then("for random peers and chunks it picks a rarest chunk that some peer can send")
def picker(context):
    holdings = st.lists(st.sets(st.integers(0, 7)), min_size=1, max_size=5)

    @given(holdings, st.sets(st.integers(0, 7)), st.sets(st.integers(0, 7)), st.integers(0, 99))
    def run(held, missing, requested, seed):
        table = PeerTable(8, 0.0)
        for index, chunks in enumerate(held):
            peer = table.add(Member(vm=f"vm-{index}"))
            peer.connected = index % 3 != 2
            for chunk in chunks:
                table.add_holder(peer, chunk, 0.0)
        in_flight = RequestsInFlight()
        for chunk in requested:
            in_flight.start(chunk, 0.0)
        pick = pick_from_peers(
            missing, in_flight, table, "z", lambda index, peer: True, 0.0, random.Random(seed)
        )
        able = [chunks for index, chunks in enumerate(held) if index % 3 != 2]
        wanted = {chunk for chunk in missing - requested if any(chunk in chunks for chunks in able)}
        if not wanted:
            assert pick is None
            return
        rarest = min(table.holder_counts[chunk] for chunk in wanted)
        assert pick.index in wanted
        assert table.holder_counts[pick.index] == rarest
        assert pick.index in pick.peer.held

    run()


@then("random wrong bytes are rejected and the right ones stored once")
def chunk_store(context):
    @given(st.binary(max_size=50), st.binary(max_size=50))
    def run(right, other):
        store = ChunkStore(limit_bytes=60)
        name = blake3(right).digest()
        expected = StoreOutcome.STORED if other == right else StoreOutcome.CORRUPT
        assert store.put(name, other) is expected
        store.put(name, right)
        assert store.get(name) == right
        assert store.put(name, right) is StoreOutcome.KNOWN
        assert store.used_bytes == len(right)

    run()


@then("a pacer keeps its rate with and without request traffic")
def pacer(context):
    @given(st.lists(st.tuples(st.integers(1, 400), st.booleans()), min_size=1, max_size=40))
    def run(pieces):
        paced, now = Pacer(1000.0), 50.0
        started, total = now, 0
        for size, is_live in pieces:
            total += size
            if is_live:
                paced.charge(size, now)
            else:
                now += paced.reserve(size, now)
        background = [size for size, is_live in pieces if not is_live]
        if background and not pieces[-1][1]:
            assert now - started >= total / 1000.0 - BURST_SECONDS - 1e-6

    run()


@when("the origin link is {origin:d}, the region link {region:d} and there are {regions:d} regions")
def links(context, origin, region, regions):
    settings = LinkSettings(origin_bytes_per_second=origin, region_bytes_per_second=region)
    context.policy = choose_policy(settings, regions)


@then('the policy is "{policy}"')
def check_policy(context, policy):
    assert context.policy == policy


@when("the memory limit is {limit:d}, a release needs {needed:d} and the served one {served:d}")
def memory(context, limit, needed, served):
    context.memory_plan = plan_memory(limit, needed, served)


@then('the memory plan is "{plan}"')
def check_memory(context, plan):
    assert context.memory_plan == plan
