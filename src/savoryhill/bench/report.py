"""Figures of a benchmark run."""

import json

from hdrh.histogram import HdrHistogram

BANDS = ("short", "middle", "long")
# A client sees the end of a request up to this long after the node decided it: one
# tick of the runtime plus the way back through a busy process.
LATE_TOLERANCE_S = 0.25


def build_histogram(seconds):
    """Build a histogram in microseconds from durations in seconds."""
    histogram = HdrHistogram(1, 3_600_000_000, 3)
    for value in seconds:
        histogram.record_value(max(1, int(value * 1_000_000)))
    return histogram


def percentiles_ms(seconds):
    """Return the number of durations, and their p50, p95 and p99 in milliseconds."""
    histogram = build_histogram(seconds)
    figures = {"n": histogram.get_total_count()}
    for percentile in (50, 95, 99):
        value = histogram.get_value_at_percentile(percentile)
        figures[f"p{percentile}"] = round(value / 1000, 1)
    return figures


def first_token_times(results, band, *, from_s=0.0, until_s=float("inf")):
    """Return the first-token times of the answered requests of one band.

    Only requests sent from ``from_s`` until before ``until_s`` are included.
    """
    return [
        result.first_token_s
        for result in results
        if result.planned.band == band
        and result.outcome == "answered"
        and from_s <= result.started_s < until_s
    ]


def slowdown(baseline, compared, percentile):
    """Return the ratio of a first-token percentile to that of a baseline.

    Parameters
    ----------
    baseline, compared : sequence of float
        First-token times of short prompts, for example without and with long
        prompts.
    percentile : float
        The percentile to compare, from 0 to 100.

    Returns
    -------
    float or None
        The ratio, None if either sequence is empty.
    """
    if not baseline or not compared:
        return None
    baseline_value = build_histogram(baseline).get_value_at_percentile(percentile)
    compared_value = build_histogram(compared).get_value_at_percentile(percentile)
    return round(compared_value / baseline_value, 3)


def summarize(results, weights_by_kind):
    """Count the outcomes and compute percentiles of the first-token times.

    Parameters
    ----------
    results : list of Result
        All requests of the run.
    weights_by_kind : dict of str to float
        Weight of a request by its kind (``order`` or ``completion``).

    Returns
    -------
    dict
        The figures that every scenario reports.
    """
    refused = [result for result in results if result.outcome == "refused_not_run"]
    late = [
        result
        for result in results
        if result.took_s > result.deadline_s + LATE_TOLERANCE_S
    ]
    failed = [result for result in results if result.outcome == "failed"]

    def weight(result):
        kind = "order" if result.planned.band == "order" else "completion"
        return weights_by_kind[kind]

    answered = [result for result in results if result.outcome == "answered"]
    return {
        "admitted": len(results) - len(refused),
        "answered": len(answered),
        "refused_not_run": len(refused),
        "failed_in_time": len([result for result in failed if result not in late]),
        "late": len(late),
        "answered_weighted": sum(weight(result) for result in answered),
        "offered_weighted": sum(weight(result) for result in results),
        "wrong_answers": sum(not result.right for result in answered),
        "ttft_ms": {
            band: percentiles_ms(first_token_times(results, band)) for band in BANDS
        },
    }


def print_report(report, output):
    """Print a report as text or as JSON."""
    if output == "json":
        print(json.dumps(report))
        return
    for key, value in report.items():
        print(f"{key}: {value}")
