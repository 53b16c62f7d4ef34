import io
import re
from collections import deque

import pytest
from loguru import logger

from savoryhill.observability.hybrid_clock import (
    HybridClock,
    merge_stamp,
    next_stamp,
    wall_seconds,
)
from savoryhill.observability.logs import configure_logs, log_event
from savoryhill.observability.metrics import Metrics, observe, prometheus_text
from savoryhill.observability.timeline import (
    add_event,
    merge_timelines,
    select_events,
)


class TestHybridClock:
    # Guards against listing a response before its request because the wall clock of
    # the responding node is behind.
    def test_an_effect_has_a_higher_stamp_than_its_cause(self):
        ahead = HybridClock(wall=lambda: 1000.0)
        behind = HybridClock(wall=lambda: 990.0)
        request_stamp = next_stamp(ahead)
        merge_stamp(behind, request_stamp)
        response_stamp = next_stamp(behind)
        assert response_stamp > request_stamp
        merge_stamp(ahead, response_stamp)
        assert next_stamp(ahead) > response_stamp

    # Guards against one wrong clock that moves the clocks of all nodes ahead.
    def test_a_stamp_far_ahead_is_ignored(self):
        clock = HybridClock(wall=lambda: 1000.0)
        merge_stamp(clock, next_stamp(HybridClock(wall=lambda: 1e9)))
        assert wall_seconds(next_stamp(clock)) == 1000.0

    def test_stamps_increase_while_the_wall_clock_goes_back(self):
        times = iter((5.0, 4.0, 3.0))
        clock = HybridClock(wall=lambda: next(times))
        stamps = [next_stamp(clock) for _ in range(3)]
        assert stamps == sorted(set(stamps))


class TestTimeline:
    def ring(self, maxlen=10):
        return deque(maxlen=maxlen), HybridClock(wall=lambda: 1.0)

    # Guards against a timeline that grows as long as the process runs.
    def test_events_and_their_values_are_bounded(self):
        ring, clock = self.ring(3)
        for number in range(10):
            add_event(ring, clock, "e", {"n": number, "detail": "x" * 10_000})
        assert [event["n"] for event in ring] == [7, 8, 9]
        assert len(ring[0]["detail"]) == 300

    @pytest.mark.parametrize("name", ["cluster_key", "authorization", "secret"])
    def test_secrets_are_left_out(self, name):
        ring, clock = self.ring()
        add_event(ring, clock, "e", {name: "hidden", "n": 1})
        assert "hidden" not in str(ring)

    def test_events_are_merged_by_stamp_and_selected(self):
        first = [{"hlc": 1, "node": "b", "request": "r"}, {"hlc": 5, "node": "b"}]
        second = [{"hlc": 3, "node": "a", "request": "r"}, {"hlc": 1, "node": "a"}]
        merged = merge_timelines([first, second])
        assert [(e["hlc"], e["node"]) for e in merged] == [
            (1, "a"),
            (1, "b"),
            (3, "a"),
            (5, "b"),
        ]
        assert len(select_events(merged, request="r")) == 2
        assert select_events(merged, limit=1)[0]["hlc"] == 5


class TestLogs:
    # Guards against values that break the line format or inject a second event.
    def test_one_event_is_one_line_whatever_its_values(self):
        sink = io.StringIO()
        configure_logs(sink=sink)
        try:
            log_event("a.b", text='x {y} "z"\r\nevent=forged\x1b[2J', key="hidden", n=1)
        finally:
            logger.remove()
        (line,) = sink.getvalue().splitlines()
        assert line.isprintable()
        assert "hidden" not in line
        assert line.endswith(" n=1")
        assert "{y}" in line


class TestMetrics:
    def test_histograms_are_kept_by_band_and_by_workspace(self):
        metrics = Metrics()
        for number in range(1, 101):
            labels = {"band": "under_4k", "kind": "completion", "workspace": "w"}
            observe(metrics, "first_token_s", number / 100, labels)
        text = prometheus_text(metrics)
        line = 'savoryhill_first_token_s{band="under_4k",kind="completion",quantile='
        p50 = float(re.search(re.escape(line + '"0.5"} ') + "(.*)", text)[1])
        assert p50 == pytest.approx(0.5, rel=0.02)
        assert 'savoryhill_first_token_s_by_workspace_count{workspace="w"} 100' in text
        sums = 'savoryhill_first_token_s_sum{band="under_4k",kind="completion"} 50.5'
        assert sums in text

    # Guards against memory that grows with the number of workspaces.
    def test_the_number_of_workspaces_is_bounded(self):
        metrics = Metrics()
        for number in range(590):
            labels = {"band": "b", "kind": "k", "workspace": f"w{number}"}
            observe(metrics, "first_token_s", 0.1, labels)
            observe(metrics, "refusals", 1.0, {"reason": f"r{number}"})
        assert len(metrics.histograms) <= 1 + 41
        assert len(metrics.counters) <= 41
        assert 'workspace="other"} 550' in prometheus_text(metrics)

    def test_label_values_are_escaped(self):
        metrics = Metrics()
        observe(metrics, "refusals", 1.0, {"reason": 'a"b\\c\nd'})
        metrics.gauges["open"] = lambda: {(("kind", "x"),): 2}
        text = prometheus_text(metrics)
        assert 'reason="a\\"b\\\\c\\nd"' in text
        assert 'savoryhill_open{kind="x"} 2' in text

    # Guards against losing values outside the histogram's range, which hdrhistogram
    # drops.
    def test_values_outside_the_range_are_counted(self):
        metrics = Metrics()
        for value in (0.0, 1e9):
            observe(metrics, "slowdown", value, {"band": "b"})
        assert 'savoryhill_slowdown_count{band="b"} 2' in prometheus_text(metrics)
