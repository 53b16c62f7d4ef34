"""Budget of repeated sends over all nodes."""

from dataclasses import dataclass

import pytest

from savoryhill.serving.repeats import RepeatBudgets

N_NODES = 58
N_REQUESTS = 1_000


@dataclass(frozen=True, kw_only=True)
class Limits:
    """Settings of the budget."""

    repeat_ratio: float = 0.2
    repeat_slack: float = 192.0
    repeat_window_s: float = 10.0


@dataclass(frozen=True, kw_only=True)
class Named:
    """A service as the budget sees it."""

    name: str = "pool"
    engine: object = "figures"


def repeats_of(n_nodes=N_NODES):
    return RepeatBudgets(settings=Limits, n_nodes=lambda: n_nodes)


def granted(try_repeat, limit=2_000):
    return sum(try_repeat() for _ in range(limit))


class TestRepeats:
    def test_repeats_may_come_from_one_node(self):
        # Guards against long prompts that were given up after a few sends because
        # each of 58 nodes held its part of the budget for itself.
        scheduling = repeats_of()
        for _ in range(N_REQUESTS):
            scheduling.note_job("pool", 1.0)
        n_own = granted(lambda: repeats_of().try_local_repeat(Named(), 1.0), limit=1)
        n_granted = granted(lambda: scheduling.try_scheduled_repeat("pool", 1.0))
        assert n_own + n_granted > 100

    @pytest.mark.parametrize("engine", ["figures", None], ids=["engines", "plain"])
    def test_all_parts_stay_within_the_budget(self, engine):
        # Guards against more repeats than the platform allows while two nodes
        # schedule at once and every node uses its own part.
        service = Named(engine=engine)
        n_granted = 0
        for _ in range(N_NODES):
            node = repeats_of()
            for _ in range(N_REQUESTS // N_NODES):
                node.note_request(service, 1.0)
            n_granted += granted(lambda node=node: node.try_local_repeat(service, 1.0))
        if engine is not None:
            for _ in range(2):
                scheduling = repeats_of()
                for _ in range(N_REQUESTS):
                    scheduling.note_job("pool", 1.0)
                n_granted += granted(
                    lambda s=scheduling: s.try_scheduled_repeat("pool", 1.0)
                )
        limits = Limits()
        assert n_granted <= limits.repeat_ratio * N_REQUESTS + limits.repeat_slack

    def test_budget_is_free_again_after_its_window(self):
        scheduling = repeats_of()
        assert granted(lambda: scheduling.try_scheduled_repeat("pool", 0.0)) > 0
        assert not scheduling.try_scheduled_repeat("pool", 9.0)
        assert scheduling.try_scheduled_repeat("pool", 10.5)
