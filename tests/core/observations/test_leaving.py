"""What nodes know of endpoints that have said that they leave."""

from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from savoryhill.core.observations.leaving import LEAVING, observe_leaving
from savoryhill.core.observations.table import LIFETIME_S, ObservationTable
from savoryhill.serving.shared_observations import LASTING_KINDS

N_NODES = 3
# Endpoint and start, and the node that is told so.
WORDS = st.lists(
    st.tuples(st.sampled_from("ab"), st.integers(1, 2), st.integers(0, N_NODES - 1)),
    max_size=8,
)


def leaving(table):
    return set(table.subjects(LEAVING))


class TestObservation:
    def test_is_made_once(self):
        # Guards against a message to all nodes for each answer of such an endpoint.
        table = ObservationTable(lasting_kinds=(LEAVING,))
        first = observe_leaving(table, incarnation="a@1", now=10.0)
        table.merge(first, 10.0)
        assert observe_leaving(table, incarnation="a@1", now=11.0) == []
        assert len(observe_leaving(table, incarnation="a@2", now=11.0)) == 1

    def test_outlasts_an_endpoint_that_serves_for_long(self):
        # Guards against a node that starts minutes later and uses an endpoint that the
        # store, which is away, still names.
        table = ObservationTable(lasting_kinds=LASTING_KINDS)
        table.merge(observe_leaving(table, incarnation="a@1", now=10.0), 10.0)
        table.expire(10.0 + 2 * LIFETIME_S)
        assert leaving(table) == {"a@1"}


class TestModel:
    """Nodes that tell each other over links which lose, repeat and reorder."""

    @settings(max_examples=200, deadline=None)
    @given(words=WORDS, seed=st.integers(0, 2**16))
    def test_all_nodes_end_with_what_was_said_and_nothing_else(self, words, seed):
        random = Random(seed)
        tables = [ObservationTable(lasting_kinds=(LEAVING,)) for _ in range(N_NODES)]
        on_the_way, said = [], set()
        for name, born, node in words:
            incarnation = f"{name}@{born}"
            said.add(incarnation)
            news = observe_leaving(tables[node], incarnation=incarnation, now=10.0)
            on_the_way += tables[node].merge(news, 10.0) * random.randint(0, 2)
            random.shuffle(on_the_way)
            for observation in on_the_way[: random.randint(0, 2)]:
                tables[random.randrange(N_NODES)].merge([observation], 10.0)
            assert all(leaving(table) <= said for table in tables)
        # New links: each node sends all that it knows to the next one, twice around.
        for number in range(2 * N_NODES):
            known = tables[number % N_NODES].all()
            tables[(number + 1) % N_NODES].merge(known, 10.0)
        assert all(leaving(table) == said for table in tables)
