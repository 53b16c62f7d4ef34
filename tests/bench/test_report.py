import pytest

from savoryhill.bench.client import Result
from savoryhill.bench.plan import PlannedRequest, make_plan, prompt_text
from savoryhill.bench.plot import read_reports
from savoryhill.bench.report import LATE_TOLERANCE_S, slowdown, summarize
from savoryhill.errors import SavoryhillError


def make_result(outcome, *, took_s=1.0, band="short", right=True):
    planned = PlannedRequest(
        number=1, at_s=0.0, band=band, prompt_tokens=10, max_tokens=1, kind="completion"
    )
    return Result(
        planned=planned,
        outcome=outcome,
        status=200,
        started_s=0.0,
        took_s=took_s,
        deadline_s=5.0,
        first_token_s=0.1,
        right=right,
    )


class TestSummary:
    # Guards against counting a request that ends after its deadline as in time.
    def test_late_requests_are_counted_separately(self):
        late_s = 5.0 + 2 * LATE_TOLERANCE_S
        results = [
            make_result("answered"),
            make_result("answered", took_s=late_s, right=False),
            make_result("failed", took_s=late_s),
            make_result("failed"),
            make_result("refused_not_run"),
            make_result("answered", band="order"),
        ]
        report = summarize(results, {"order": 5.0, "completion": 1.0})
        assert (report["late"], report["failed_in_time"]) == (2, 1)
        assert (report["admitted"], report["refused_not_run"]) == (5, 1)
        assert (report["answered_weighted"], report["offered_weighted"]) == (7.0, 10.0)
        assert report["wrong_answers"] == 1

    def test_slowdown_compares_the_same_percentile(self):
        assert slowdown([0.1] * 99 + [1.0], [0.2] * 99 + [1.0], 50) == pytest.approx(
            2.0, abs=0.01
        )


class TestPlan:
    def test_short_prompts_are_the_same_with_and_without_long_prompts(self):
        options = {"seed": 3, "duration_s": 60.0, "requests_per_s": 10.0}
        mix = make_plan(**options)
        alone = make_plan(**options, with_long=False)
        short = [(p.at_s, p.prompt_tokens) for p in mix if p.band in ("short", "order")]
        assert short == [(p.at_s, p.prompt_tokens) for p in alone]
        assert {"long", "middle"} <= {p.band for p in mix}

    def test_prompts_are_distinct_and_have_the_planned_length(self):
        plan = make_plan(seed=1, duration_s=30.0, requests_per_s=10.0)
        texts = [prompt_text(planned, seed=1) for planned in plan]
        assert len(set(texts)) == len(texts)
        assert all(
            len(text) == 4 * planned.prompt_tokens
            for text, planned in zip(texts, plan, strict=True)
        )


class TestPlot:
    def test_error_names_the_file_that_is_not_a_report(self, tmp_path):
        path = tmp_path / "x.jsonl"
        path.write_text("not json")
        with pytest.raises(SavoryhillError, match=r"x\.jsonl"):
            read_reports([str(path)])
