"""Figures of a bench run."""

import json

from hdrh.histogram import HdrHistogram

BANDS = ("short", "middle", "long")
# A client sees the end of a request this much after the node decided it: one tick
# of the runtime and the way back through a busy process.
LATE_TOLERANCE_S = 0.25


def histogram_of(seconds):
    """Return a histogram of durations, in microseconds."""
    histogram = HdrHistogram(1, 3_600_000_000, 3)
    for value in seconds:
        histogram.record_value(max(1, int(value * 1_000_000)))
    return histogram


def percentiles_ms(seconds):
    """Return count, p50, p95 and p99 of durations, in milliseconds."""
    histogram = histogram_of(seconds)
    figures = {"n": histogram.get_total_count()}
    for percentile in (50, 95, 99):
        value = histogram.get_value_at_percentile(percentile)
        figures[f"p{percentile}"] = round(value / 1000, 1)
    return figures


def first_tokens(results, band, *, from_s=0.0, until_s=float("inf")):
    """Return the first-token times of answered requests of one band."""
    return [
        result.first_token_s
        for result in results
        if result.planned.band == band
        and result.outcome == "answered"
        and from_s <= result.started_s < until_s
    ]


def slowdown(alone, beside, percentile):
    """Return the ratio of two first-token percentiles.

    Parameters
    ----------
    alone, beside : sequence of float
        First-token times of short prompts without and with long ones.
    percentile : float
        Which percentile to compare.
    """
    if not alone or not beside:
        return None
    before = histogram_of(alone).get_value_at_percentile(percentile)
    after = histogram_of(beside).get_value_at_percentile(percentile)
    return round(after / before, 3)


def summarize(results, weights_by_kind):
    """Count outcomes and first-token times.

    Parameters
    ----------
    results : list of Result
        All requests of the run.
    weights_by_kind : dict of str to float
        Weight of an answered request by kind of work (``order``, ``completion``).

    Returns
    -------
    dict
        The keys that every scenario reports.
    """
    refused = [each for each in results if each.outcome == "refused_not_run"]
    late = [
        each for each in results if each.took_s > each.deadline_s + LATE_TOLERANCE_S
    ]
    failed = [each for each in results if each.outcome == "failed"]

    def weight(result):
        kind = "order" if result.planned.band == "order" else "completion"
        return weights_by_kind[kind]

    answered = [each for each in results if each.outcome == "answered"]
    return {
        "admitted": len(results) - len(refused),
        "answered": len(answered),
        "refused_not_run": len(refused),
        "failed_in_time": len([each for each in failed if each not in late]),
        "late": len(late),
        "answered_weighted": sum(weight(each) for each in answered),
        "offered_weighted": sum(weight(each) for each in results),
        "wrong_answers": sum(not each.right for each in answered),
        "ttft_ms": {
            band: percentiles_ms(first_tokens(results, band)) for band in BANDS
        },
    }


def print_report(report, output):
    """Print a report as text or as JSON."""
    if output == "json":
        print(json.dumps(report))
        return
    for key, value in report.items():
        print(f"{key}: {value}")
