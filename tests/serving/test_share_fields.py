"""What the leader's log and metrics show of the shares of workspaces."""

from types import SimpleNamespace
from unittest.mock import MagicMock

import pytest

from savoryhill.bench.placement.engines import PROFILE
from savoryhill.core.observations.rate_limits import unlimited
from savoryhill.core.scheduling.messages import JobSubmit
from savoryhill.observability.metrics import Metrics
from savoryhill.serving.gauges import set_gauges
from savoryhill.serving.scheduling import Scheduling

ENDPOINT = SimpleNamespace(
    id="e", address="10.0.0.1:80", zone="zone-a", slots=3, incarnation="e@1"
)
SERVICE = SimpleNamespace(name="pool", engine=PROFILE, cold_per_s=0.0)


class TestShares:
    @pytest.fixture
    def lines(self):
        return []

    @pytest.fixture
    def scheduling(self, lines):
        view = MagicMock(revision=1, nodes_by_name={})
        view.configuration.services_by_name = {"pool": SERVICE}
        view.usable_endpoints.return_value = [ENDPOINT]
        scheduling = Scheduling(
            node="n1",
            clock=SimpleNamespace(monotonic=lambda: 0.0),
            cluster_view=view,
            record=lambda event, fields: lines.append(fields),
            is_standalone=lambda: False,
            repeat_budgets=MagicMock(),
            crash_guard=MagicMock(),
            rate_limiter=unlimited(),
        )
        scheduling.refresh()
        return scheduling

    def submit(self, scheduling, job_id, workspace, *, n_tokens=100, endpoints=()):
        message = JobSubmit(
            job_id=job_id,
            service="pool",
            zone="zone-a",
            workspace=workspace,
            prompt_tokens=n_tokens,
            answer_tokens=300,
            due_s=9.0,
            ends_s=30.0,
            pause_s=1.0,
            priority=1,
            avoid=(),
            endpoints=endpoints,
            has_started=bool(endpoints),
        )
        scheduling.submit(message, lambda reply: None)

    def test_lead_is_shown_where_it_counts(self, scheduling, lines):
        self.submit(scheduling, "l", "light")
        assert "lead_s" not in lines[-1]
        self.submit(scheduling, "h1", "heavy", n_tokens=250_000, endpoints=("e",))
        self.submit(scheduling, "h2", "heavy")
        assert lines[-1]["workspace"] == "heavy"
        assert lines[-1]["lead_s"] >= 5.0

    def test_gauges(self, scheduling):
        for number in range(4):
            self.submit(scheduling, f"h{number}", "heavy")
        self.submit(scheduling, "l", "light")
        metrics = Metrics()
        set_gauges(metrics, MagicMock(), scheduling=scheduling, store=None, lines=None)
        assert metrics.gauges["workspaces_waiting"]() == 2
        assert 0.0 <= metrics.gauges["workspace_lead_s"]() <= 20.0
