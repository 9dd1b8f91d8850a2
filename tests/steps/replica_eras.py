"""Steps on replicas of a store that comes back from copies, without a network."""

import asyncio
import json
from dataclasses import dataclass, field

from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st

from tests.direct_fakes import NOW, exchange_of
from verbenaward.platform.key_value import KeyValueEntry, Position
from verbenaward.replica.follower import KEPT_FETCH_SECONDS, PeerFetcher, StoreFollower
from verbenaward.replica.peer_transfer import changes_from_message, changes_to_message
from verbenaward.replica.store_replica import Changes, StoreReplica
from verbenaward.schema.messages import StoredItem, StoredItems
from verbenaward.wire.codec import decode, encode

CONFIGURATION = "op/config"
VERSION = "op/version/m"
EVACUATION = "op/evacuate/z"
BACKENDS = ["a", "b", "c"]


def backend_key(name):
    return f"servers/{name}"


def value_of(**fields):
    return json.dumps(fields).encode()


@dataclass
class ModelBackend:
    """A backend that writes its registration.

    Attributes:
      state: "ready", "draining" or "gone".
      sequence: Number of its last heartbeat.
      left_in: Era of the store in which it left; 0 while it is there.
    """

    state: str = "ready"
    sequence: int = 0
    left_in: int = 0

    def registration(self):
        return value_of(born=1, sequence=self.sequence, state=self.state)


@dataclass
class ModelStore:
    """The store with its operator and backends."""

    era: int = 1
    revision: int = 1
    items: dict = field(default_factory=dict)
    history: list = field(default_factory=list)
    configuration: int = 0
    version: int = 0
    evacuation: int = 0
    evacuations: int = 0
    ended: set = field(default_factory=set)
    backends: dict = field(default_factory=lambda: {name: ModelBackend() for name in BACKENDS})
    copies: list = field(default_factory=list)

    def put(self, key, value):
        self.revision += 1
        entry = KeyValueEntry(key, value, self.revision, era=self.era)
        self.history.append(entry)
        if value:
            self.items[key] = entry
        else:
            self.items.pop(key, None)

    def configure(self):
        self.configuration += 1
        self.put(CONFIGURATION, value_of(version=self.configuration))

    def set_version(self):
        self.version += 1
        self.put(VERSION, value_of(version=self.version))

    def evacuate(self):
        self.evacuations += 1
        self.evacuation = self.evacuations
        self.put(EVACUATION, value_of(version=self.evacuation))

    def end_evacuation(self):
        self.ended.update(range(1, self.evacuations + 1))
        self.evacuation = 0
        if EVACUATION in self.items:
            self.put(EVACUATION, b"")

    def register(self, name, state=None):
        backend = self.backends[name]
        if backend.state == "gone":
            return
        backend.state = state or backend.state
        backend.sequence += 1
        self.put(backend_key(name), backend.registration())

    def heartbeat(self, name):
        """Write a registration in which only the sequence changes: it gets no new revision."""
        backend, held = self.backends[name], self.items.get(backend_key(name))
        if backend.state == "gone" or held is None:
            return
        if json.loads(held.value)["state"] != backend.state:
            self.register(name)
            return
        backend.sequence += 1
        self.items[held.key] = KeyValueEntry(
            held.key, backend.registration(), held.revision, era=self.era
        )

    def leave(self, name):
        backend = self.backends[name]
        if backend.state != "gone" and backend_key(name) in self.items:
            backend.state, backend.left_in = "gone", self.era
            self.put(backend_key(name), b"")

    def copy(self):
        self.copies.append((self.revision, dict(self.items), list(self.history)))

    def restore(self, number):
        if self.copies:
            revision, items, history = self.copies[number % len(self.copies)]
            self.era += 1
            self.revision, self.history = revision, list(history)
            self.items = {
                key: KeyValueEntry(key, entry.value, entry.revision, era=self.era)
                for key, entry in items.items()
            }

    def write_again(self):
        if self.configuration:
            self.put(CONFIGURATION, value_of(version=self.configuration))
        if self.version:
            self.put(VERSION, value_of(version=self.version))
        if self.evacuation:
            self.put(EVACUATION, value_of(version=self.evacuation))
        elif EVACUATION in self.items:
            self.put(EVACUATION, b"")
        for name, backend in self.backends.items():
            key = backend_key(name)
            if backend.state == "gone" and key in self.items:
                self.put(key, b"")
            self.register(name)

    def snapshot(self):
        return Changes(self.revision, True, tuple(self.items.values()), -1.0, self.era)

    def watch(self, revision):
        found = tuple(
            KeyValueEntry(entry.key, entry.value, entry.revision, era=self.era)
            for entry in self.history
            if entry.revision > revision
        )
        return Changes(self.revision, False, found, -1.0, self.era)


class Watched:
    """A replica and what it has ever known."""

    def __init__(self):
        self.replica = StoreReplica()
        self.configuration = 0
        self.version = 0
        self.evacuation = 0
        self.known_leaving = set()

    def read(self, store):
        if self.replica.era != store.era or not self.replica.revision:
            self.replica.apply(store.snapshot(), NOW)
        else:
            self.replica.apply(store.watch(self.replica.revision), NOW)

    def number(self, key):
        entry = self.replica.entries.get(key)
        return json.loads(entry.value)["version"] if entry and entry.value else 0

    def state(self, name):
        entry = self.replica.entries.get(backend_key(name))
        return json.loads(entry.value)["state"] if entry and entry.value else ""

    def check(self, store):
        assert self.number(CONFIGURATION) >= self.configuration
        assert self.number(VERSION) >= self.version
        self.configuration, self.version = self.number(CONFIGURATION), self.number(VERSION)
        assert self.number(EVACUATION) or self.evacuation in {0, *store.ended}
        self.evacuation = self.number(EVACUATION)
        for name, backend in store.backends.items():
            state = self.state(name)
            assert name not in self.known_leaving or state != "ready", (name, state)
            if state == "draining":
                self.known_leaving.add(name)
            if not state and backend.left_in == self.replica.era and self.has_seen(name, store):
                self.known_leaving.add(name)

    def has_seen(self, name, store):
        """Return True if the end of a backend's registration has arrived, in its own era."""
        held = self.replica.entries.get(backend_key(name))
        return held is not None and any(
            entry.key == held.key and not entry.value and entry.revision == held.revision
            for entry in store.history
        )


def exchange(receiver, sender):
    """Have a replica fetch what another one has, if that is ahead, and what that one keeps."""
    if sender.replica.position > receiver.replica.position:
        changes = sender.replica.changes_after(receiver.replica.position)
        receiver.replica.apply(over_the_wire(changes, receiver.replica.era), NOW)
    kept = sender.replica.kept_changes()
    if kept.entries:
        receiver.replica.merge_kept(over_the_wire(kept, receiver.replica.era), NOW)


def over_the_wire(changes, known_era):
    payload = encode(changes_to_message(changes, NOW, NOW))
    return changes_from_message(decode(StoredItems, payload), NOW, known_era)


COMMON_STEPS = (
    st.tuples(st.just("restore"), st.integers(0, 3)),
    st.tuples(st.just("read"), st.integers(0, 2)),
    st.tuples(st.just("exchange"), st.integers(0, 2), st.integers(0, 2)),
)
EVACUATION_STEPS = st.one_of(
    *COMMON_STEPS,
    st.tuples(st.sampled_from(["evacuate", "end_evacuation", "copy", "write_again"])),
)
STEPS = st.one_of(
    st.tuples(st.sampled_from(["configure", "set_version", "copy", "write_again"])),
    st.tuples(st.just("register"), st.sampled_from(BACKENDS)),
    st.tuples(st.just("register"), st.sampled_from(BACKENDS), st.just("draining")),
    st.tuples(st.sampled_from(["heartbeat", "leave"]), st.sampled_from(BACKENDS)),
    *COMMON_STEPS,
)


@when("a store is written, copied and restored at random, and replicas read it and each other")
def play_histories(context):
    play(context, STEPS)


@when("zones are evacuated, and the store is copied and restored at random")
def play_evacuations(context):
    # Lists without a minimum have 7 steps on average, too few for a restore of a copy that is read.
    play(context, EVACUATION_STEPS, 30)


def play(context, alphabet, shortest=0):
    @settings(max_examples=400, deadline=None)
    @for_all(st.lists(alphabet, min_size=shortest, max_size=60))
    def check(steps):
        store = ModelStore()
        store.write_again()
        replicas = [Watched() for _ in range(3)]
        for name, *arguments in steps:
            if name == "read":
                replicas[arguments[0]].read(store)
            elif name == "exchange":
                exchange(replicas[arguments[0]], replicas[arguments[1]])
            else:
                getattr(store, name)(*arguments)
            for item in replicas:
                item.check(store)
        context.end(store, replicas)

    context.check = check


@then("no replica takes back an evacuation that was not ended")
@then("no replica takes back a configuration, a target version or the leaving of a backend")
def nothing_backwards(context):
    context.end = lambda store, replicas: None
    context.check()


@then("all replicas equal the store once everything was written again and read")
def equal_in_the_end(context):
    def end(store, replicas):
        store.write_again()
        expected = {key: entry.value for key, entry in store.items.items()}
        for item in replicas:
            item.read(store)
            item.replica.drop_kept_evacuations(NOW + 60, NOW + 60)
            held = {key: entry.value for key, entry in item.replica.entries.items() if entry.value}
            assert held == expected, (held, expected)
            assert not item.replica.kept and not item.replica.deferred

    context.end = end
    context.check()


@given("a replica of a restored store")
def restored_replica(context):
    context.store = store = ModelStore()
    context.late, context.current = Watched(), Watched()
    store.write_again()
    store.configure()
    store.copy()
    readers = (context.late, context.current)
    for item in readers:
        item.read(store)
    store.configure()
    store.leave("a")
    for item in readers:
        item.read(store)
    store.restore(0)
    context.current.read(store)
    context.before = dict(context.current.replica.entries)


@when("a process that missed the restore sends it its changes")
def late_sends(context):
    late, current = context.late.replica, context.current.replica
    context.position = current.position
    for position in (Position(), current.position, late.position):
        current.apply(over_the_wire(late.changes_after(position), current.era), NOW)


@then("its entries and its position are as before")
def unchanged(context):
    assert context.current.replica.entries == context.before
    assert context.current.replica.position == context.position


@when("a process that missed the restore fetches the changes of that replica")
def late_fetches(context):
    exchange(context.late, context.current)


@then("both replicas are equal")
def equal_replicas(context):
    late, current = context.late.replica, context.current.replica
    assert late.position == current.position
    values = [{key: entry.value for key, entry in r.entries.items()} for r in (late, current)]
    assert values[0] == values[1], values


@then("what the store has lost is kept by both")
def both_keep(context):
    for item in (context.late, context.current):
        assert item.replica.kept == {CONFIGURATION, backend_key("a")}, item.replica.kept
        assert item.number(CONFIGURATION) == context.store.configuration
        assert item.state("a") == ""


@given("a replica of a store that counts eras")
def counting_replica(context):
    context.replica = StoreReplica()
    entries = (KeyValueEntry("key", b"1", 5, era=3), KeyValueEntry("other", b"1", 7, era=3))
    context.replica.apply(Changes(5, True, entries[:1], NOW, 3), NOW)
    context.replica.apply(Changes(7, False, entries[1:], NOW, 3), NOW)


@when("a process of an older version sends it a newer change")
def older_sends(context):
    message = StoredItems(8, False, (StoredItem("key", b"2", 8),))
    context.replica.apply(changes_from_message(message, NOW, context.replica.era), NOW)


@then("the change is applied")
def change_applied(context):
    assert context.replica.entries["key"].value == b"2"
    assert context.replica.position == Position(3, 8)


@when("a process of an older version asks for the changes after its revision")
def older_asks(context):
    context.changes = context.replica.changes_after(Position(context.replica.era, 5))


@then("it gets only what is newer")
def only_newer(context):
    assert not context.changes.is_snapshot
    assert [entry.key for entry in context.changes.entries] == ["other"]


@given("two entry processes of which one has read a restored store")
def two_eras(context):
    async def make():
        return [exchange_of(f"entry-{i}", "zone-a", 9500 + i, NOW - 60) for i in range(2)]

    context.entries = context.loop.run_until_complete(make())
    earlier, later = (entry.replica for entry in context.entries)
    earlier.apply(Changes(900, True, (), NOW - 1, 1), NOW)
    later.apply(Changes(700, True, (), NOW - 1, 2), NOW)


@when("they receive each other's broadcasts")
def receive_both(context):
    for sender, receiver in (context.entries, reversed(context.entries)):
        port = int(sender.settings.listen.rpartition(":")[2])
        receiver.receive(encode(sender.full_broadcast(NOW)), ("127.0.0.1", port), NOW)


@then("neither counts the other's replica as a confirmation of its own")
def no_confirmation(context):
    assert all(entry.peers.youngest_confirmation(NOW) is None for entry in context.entries)


@then("the one in the earlier era fetches from the other, and not the reverse")
def fetches_from_later(context):
    earlier, later = context.entries
    assert earlier.peers.peers_ahead_of(earlier.replica.position, NOW) == [later.settings.listen]
    assert not later.peers.peers_ahead_of(later.replica.position, NOW)


@given("a process and a peer that keeps more from before the restore")
def peer_keeps_more(context):
    restored_replica(context)
    lacking = StoreReplica()
    lacking.apply(context.store.snapshot(), NOW)
    context.fetched = []

    async def fetch_kept(checksum):
        context.fetched.append(checksum)
        return over_the_wire(context.current.replica.kept_changes(), lacking.era)

    follower = StoreFollower(None, "", lacking, lambda: False)
    context.fetcher = PeerFetcher(lacking, follower, None, fetch_kept)


@when("the peer's broadcast arrives twice")
def broadcast_twice(context):
    peer = context.current.replica

    async def observe():
        task = asyncio.ensure_future(context.fetcher.run())
        for _ in range(2):
            context.fetcher.observe(peer.position, peer.kept_checksum())
            await asyncio.sleep(KEPT_FETCH_SECONDS + 0.1)
        task.cancel()

    context.loop.run_until_complete(observe())


@then("the process fetches once and keeps the same")
def fetched_once(context):
    assert len(context.fetched) == 1, context.fetched
    lacking, peer = context.fetcher.replica, context.current.replica
    assert lacking.kept_checksum() == peer.kept_checksum() != 0


@given("a process that started later and has merged what that replica keeps")
def started_later(context):
    context.late = Watched()
    context.late.read(context.store)
    exchange(context.late, context.current)


@then("both take the backend for gone {seconds:g} s after the restore")
def gone_after(context, seconds):
    check_states(context, seconds, "")


@then("both take the store's word for it {seconds:g} s after the restore")
def back_after(context, seconds):
    check_states(context, seconds, "ready")


def check_states(context, seconds, state):
    for item in (context.late, context.current):
        item.replica.drop_kept_registrations(NOW + seconds)
        assert item.state("a") == state, item.state("a")
        assert item.number(CONFIGURATION) == context.store.configuration
