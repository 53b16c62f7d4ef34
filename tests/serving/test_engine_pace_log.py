"""The log line on engines that are slower than their profile."""

from types import SimpleNamespace

from savoryhill.bench.placement.engines import PROFILE
from savoryhill.core.observations.rate_limits import unlimited
from savoryhill.core.scheduling.pace import NETWORK_DELAY_S
from savoryhill.serving.scheduling import Scheduling


class TestPaceLog:
    def test_begin_and_end_of_a_pace_are_logged_once(self):
        # Guards against an engine that gets fewer jobs for no visible reason.
        endpoints = [
            SimpleNamespace(
                id=f"e{n}", address=f"a{n}", zone="z", slots=6, incarnation=f"e{n}@1"
            )
            for n in range(3)
        ]
        service = SimpleNamespace(name="pool", engine=PROFILE, cold_per_s=0.0)
        view = SimpleNamespace(
            configuration=SimpleNamespace(services_by_name={"pool": service}),
            usable_endpoints=lambda name: endpoints,
            nodes_by_name={},
            on_change=[],
        )
        clock, lines = SimpleNamespace(now=0.0), []
        clock.monotonic = lambda: clock.now
        scheduling = Scheduling(
            node="n",
            clock=clock,
            cluster_view=view,
            record=lambda event, fields: lines.append((event, fields)),
            is_standalone=lambda: False,
            repeat_budgets=None,
            crash_guard=None,
            rate_limiter=unlimited(),
        )
        scheduling.refresh()
        scheduler = scheduling.schedulers_by_service["pool"]
        for real_s in (1.2, 0.2):
            for _ in range(3):
                scheduler.engines_by_id["e1"].pace.note(
                    0.2, real_s + NETWORK_DELAY_S, clock.now
                )
            for _ in range(2):
                clock.now += 1.0
                scheduling._deliver_all(scheduler, scheduler.place_waiting(clock.now))
        fields = [fields for event, fields in lines if event == "engine.pace"]
        assert [(f["endpoint"], f["pace"], f["slow"]) for f in fields] == [
            ("e1", 6.0, 1),
            ("e1", 1.0, 0),
        ]
