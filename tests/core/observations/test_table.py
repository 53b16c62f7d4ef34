"""Model of the shared observations over lost, late, repeated and reordered messages."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from savoryhill.core.observations.crashes import (
    find_crashing_parts,
    live_crashes,
    observe_crash,
    observe_start,
)
from savoryhill.core.observations.messages import (
    decode_observations,
    encode_observations,
)
from savoryhill.core.observations.table import MAX_LIFETIME_S, ObservationTable
from savoryhill.peers.codec import Envelope, decode, encode

N_NODES = 3
nodes = st.integers(0, N_NODES - 1)
parts = st.sampled_from(["p0", "p1", "p2"])
engines = st.sampled_from([f"e{n}" for n in range(5)])


def content(table):
    """Return what copies must agree on; times differ by the delay of messages."""
    return {(o.key, o.version, o.value, o.workspace) for o in table.all()}


def through_the_codec(message):
    envelope = Envelope(sender="n", incarnation=0, sequence=0, message=message)
    return decode(encode(envelope)).message


class SharedTables(RuleBasedStateMachine):
    """Three copies whose messages are delivered in any order, twice or never."""

    def __init__(self):
        super().__init__()
        self.now = 100.0
        self.tables = [ObservationTable(max_observations=40) for _ in range(N_NODES)]
        self.in_flight = []

    def add(self, node, observations):
        news = self.tables[node].merge(observations, self.now)
        if news:
            self.in_flight.append(encode_observations(news, self.now))

    @rule(seconds=st.floats(0.01, 5.0))
    def pass_time(self, seconds):
        self.now += seconds

    @rule(node=nodes, part=parts, engine=engines, waited_s=st.floats(0.0, 2.0))
    def crash(self, node, part, engine, waited_s):
        table = self.tables[node]
        self.add(
            node,
            observe_crash(
                table,
                parts=[part],
                source=engine,
                workspace=f"ws-{node}",
                sent_at=self.now - waited_s,
                now=self.now,
            ),
        )
        assert live_crashes(table, part)

    @rule(node=nodes, part=parts, engine=engines)
    def start(self, node, part, engine):
        table = self.tables[node]
        observations = observe_start(
            table, parts=[part], source=engine, sent_at=self.now, now=self.now
        )
        self.add(node, observations)
        assert not live_crashes(table, part)
        assert part not in find_crashing_parts(table, self.now)

    @rule(node=nodes, data=st.data())
    def deliver(self, node, data):
        """Deliver a message that stays in flight, so that it may come again."""
        if not self.in_flight:
            return
        message = data.draw(st.sampled_from(self.in_flight))
        received = decode_observations(through_the_codec(message), self.now)
        table = self.tables[node]
        table.merge(received, self.now)
        before = table.revision
        assert table.merge(received, self.now) == ()
        assert table.revision == before

    @rule()
    def meet(self):
        """Exchange snapshots, as after a hand-over; then all copies are equal."""
        for _ in range(2):
            for source in self.tables:
                message = encode_observations(source.all(), self.now)
                for table in self.tables:
                    table.merge(decode_observations(message, self.now), self.now)
        assert content(self.tables[0]) == content(self.tables[1])
        assert content(self.tables[1]) == content(self.tables[2])

    @invariant()
    def copies_are_bounded(self):
        assert all(len(table) <= 40 for table in self.tables)

    def teardown(self):
        self.meet()
        for table in self.tables:
            table.expire(self.now + MAX_LIFETIME_S + 1.0)
            assert len(table) == 0


TestSharedTables = SharedTables.TestCase
TestSharedTables.settings = settings(
    max_examples=150, stateful_step_count=30, deadline=None, derandomize=True
)
