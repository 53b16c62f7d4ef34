"""Tests of the budgets of repeated sends over all nodes."""

from dataclasses import dataclass

import pytest

from savoryhill.serving.repeats import RepeatBudgets

N_NODES = 58
N_REQUESTS = 1_000


@dataclass(frozen=True, kw_only=True)
class BudgetSettings:
    """Settings of the budgets."""

    repeat_ratio: float = 0.2
    repeat_slack: float = 192.0
    repeat_window_s: float = 10.0


@dataclass(frozen=True, kw_only=True)
class ServiceStub:
    """The attributes of a service that the budgets use."""

    name: str = "pool"
    engine: object = "figures"


def make_budgets(n_nodes=N_NODES):
    return RepeatBudgets(settings=BudgetSettings, n_nodes=lambda: n_nodes)


def count_granted(try_repeat, limit=2_000):
    return sum(try_repeat() for _ in range(limit))


class TestRepeatBudgets:
    def test_repeats_may_all_come_from_one_node(self):
        # Guards against long prompts that fail after a few sends because each of 58
        # nodes keeps an equal share of the budget to itself.
        leader = make_budgets()
        for _ in range(N_REQUESTS):
            leader.note_job("pool", 1.0)
        n_local = count_granted(
            lambda: make_budgets().try_local_repeat(ServiceStub(), 1.0), limit=1
        )
        n_granted = count_granted(lambda: leader.try_scheduled_repeat("pool", 1.0))
        assert n_local + n_granted > 100

    @pytest.mark.parametrize("engine", ["figures", None], ids=["engines", "plain"])
    def test_sum_of_all_shares_stays_within_the_budget(self, engine):
        # Guards against more repeats than the platform allows while two nodes act as
        # leader at the same time and every node uses its own share.
        service = ServiceStub(engine=engine)
        n_granted = 0
        for _ in range(N_NODES):
            node = make_budgets()
            for _ in range(N_REQUESTS // N_NODES):
                node.note_request(service, 1.0)
            n_granted += count_granted(
                lambda node=node: node.try_local_repeat(service, 1.0)
            )
        if engine is not None:
            for _ in range(2):
                leader = make_budgets()
                for _ in range(N_REQUESTS):
                    leader.note_job("pool", 1.0)
                n_granted += count_granted(
                    lambda leader=leader: leader.try_scheduled_repeat("pool", 1.0)
                )
        settings = BudgetSettings()
        assert n_granted <= settings.repeat_ratio * N_REQUESTS + settings.repeat_slack

    def test_budget_is_available_again_after_its_window(self):
        leader = make_budgets()
        assert count_granted(lambda: leader.try_scheduled_repeat("pool", 0.0)) > 0
        assert not leader.try_scheduled_repeat("pool", 9.0)
        assert leader.try_scheduled_repeat("pool", 10.5)
