"""Metrics of one process: counters, histograms, gauges and their Prometheus text."""

from collections.abc import Callable
from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram

# Histograms hold thousandths of the observed unit; for seconds, 1 ms to one hour.
_TICKS_PER_UNIT = 1000
_MAX_TICKS = 3_600_000
_SIGNIFICANT_DIGITS = 2
QUANTILES = (50.0, 95.0, 99.0)
HISTOGRAMS = frozenset(("first_token_s", "slowdown", "request_s", "store_call_s"))
# Maximum number of distinct values per label; further values are counted as "other".
MAX_VALUES_BY_LABEL = {"workspace": 40, "kind": 16, "reason": 40, "status": 30}
DEFAULT_MAX_VALUES = 16
OTHER = "other"


@dataclass(kw_only=True)
class Metrics:
    """All metrics of one process.

    ``gauges`` maps a name to a function that returns the current value, or a dictionary
    from label sets to values.
    """

    counters: dict[tuple, float] = field(default_factory=dict)
    histograms: dict[tuple, HdrHistogram] = field(default_factory=dict)
    sums: dict[tuple, float] = field(default_factory=dict)
    values_by_label: dict[str, set] = field(default_factory=dict)
    gauges: dict[str, Callable] = field(default_factory=dict)


def _limit_label_values(metrics, labels):
    """Return labels as a sorted tuple; values beyond a label's limit become OTHER."""
    limited = []
    for name, value in sorted(labels.items()):
        known = metrics.values_by_label.setdefault(name, set())
        if value not in known:
            if len(known) >= MAX_VALUES_BY_LABEL.get(name, DEFAULT_MAX_VALUES):
                value = OTHER
            else:
                known.add(value)
        limited.append((name, value))
    return tuple(limited)


def observe(metrics, name, value, labels):
    """Add a value to a counter, or record it in a histogram.

    Histograms are kept by workspace and, separately, by the other labels, instead of by
    every combination, so that their memory grows with the sum of the label values.
    """
    if name not in HISTOGRAMS:
        key = (name, _limit_label_values(metrics, labels))
        metrics.counters[key] = metrics.counters.get(key, 0.0) + value
        return
    other_labels = {key: item for key, item in labels.items() if key != "workspace"}
    _record(metrics, (name, _limit_label_values(metrics, other_labels)), value)
    if "workspace" in labels:
        workspace_label = {"workspace": labels["workspace"]}
        _record(
            metrics,
            (f"{name}_by_workspace", _limit_label_values(metrics, workspace_label)),
            value,
        )


def _record(metrics, key, value):
    histogram = metrics.histograms.get(key)
    if histogram is None:
        histogram = HdrHistogram(1, _MAX_TICKS, _SIGNIFICANT_DIGITS)
        metrics.histograms[key] = histogram
    histogram.record_value(min(_MAX_TICKS, max(1, round(value * _TICKS_PER_UNIT))))
    metrics.sums[key] = metrics.sums.get(key, 0.0) + value


def _escape(value):
    text = str(value).replace("\\", "\\\\")
    return text.replace("\n", "\\n").replace('"', '\\"')


def _format_line(name, labels, value):
    pairs = ",".join(f'{key}="{_escape(item)}"' for key, item in labels)
    return f"savoryhill_{name}{{{pairs}}} {value:g}"


def _gauge_lines(name, value):
    if not isinstance(value, dict):
        return [_format_line(name, (), value)]
    return [_format_line(name, labels, item) for labels, item in sorted(value.items())]


def prometheus_text(metrics):
    """Return all metrics in the Prometheus text format."""
    lines = []
    declared_names = set()

    def declare(name, kind):
        if name not in declared_names:
            declared_names.add(name)
            lines.append(f"# TYPE savoryhill_{name} {kind}")

    for (name, labels), value in sorted(metrics.counters.items()):
        declare(f"{name}_total", "counter")
        lines.append(_format_line(f"{name}_total", labels, value))
    for (name, labels), histogram in sorted(
        metrics.histograms.items(), key=lambda item: item[0]
    ):
        declare(name, "summary")
        for quantile in QUANTILES:
            value = histogram.get_value_at_percentile(quantile) / _TICKS_PER_UNIT
            label = ("quantile", f"{quantile / 100:g}")
            lines.append(_format_line(name, (*labels, label), value))
        lines.append(_format_line(f"{name}_sum", labels, metrics.sums[name, labels]))
        lines.append(_format_line(f"{name}_count", labels, histogram.get_total_count()))
    for name, read in sorted(metrics.gauges.items()):
        declare(name, "gauge")
        lines += _gauge_lines(name, read())
    return "\n".join(lines) + "\n"
