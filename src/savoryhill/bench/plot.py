"""Plot first-token times of benchmark runs by prompt length (needs matplotlib)."""

import json

from savoryhill.bench.report import BANDS
from savoryhill.errors import SavoryhillError


def read_reports(paths):
    """Read reports that ``savoryhill bench SCENARIO --output json`` printed.

    Raises
    ------
    SavoryhillError
        If a file cannot be read, a line is not valid JSON, or there is no report.
    """
    reports = []
    for path in paths:
        try:
            with open(path) as file:
                reports += [json.loads(line) for line in file if line.strip()]
        except (OSError, ValueError) as error:
            raise SavoryhillError(
                f"cannot read reports from {path}: {error}"
            ) from error
    if not reports:
        raise SavoryhillError("no reports to plot")
    return reports


def mean_percentiles(reports, policy, percentile):
    """Return the mean of a percentile over a policy's runs in seconds, by band."""
    means = []
    for band in BANDS:
        values = [
            report["ttft_ms"][band][percentile] / 1000
            for report in reports
            if report["policy"] == policy and report["ttft_ms"][band]["n"]
        ]
        means.append(sum(values) / len(values) if values else 0.0)
    return means


def plot(paths, output):
    """Draw p50 and p99 of each policy by prompt length into a PNG file.

    Parameters
    ----------
    paths : sequence of str
        Files with one JSON report per line.
    output : str
        The PNG file to write.
    """
    try:
        import matplotlib
    except ImportError as error:
        raise SavoryhillError("install the extra 'plots' for matplotlib") from error
    matplotlib.use("Agg")
    from matplotlib import pyplot

    reports = read_reports(paths)
    policies = sorted({report["policy"] for report in reports})
    figure, axes = pyplot.subplots(1, 2, figsize=(9, 3.5), sharey=True)
    for plot_axes, percentile in zip(axes, ("p50", "p99"), strict=True):
        for number, policy in enumerate(policies):
            positions = [n + 0.8 * number / len(policies) for n in range(len(BANDS))]
            plot_axes.bar(
                positions,
                mean_percentiles(reports, policy, percentile),
                width=0.8 / len(policies),
                label=policy,
            )
        plot_axes.set_xticks([n + 0.3 for n in range(len(BANDS))], BANDS)
        plot_axes.set_yscale("log")
        plot_axes.set_title(f"time to first token, {percentile}")
        plot_axes.set_xlabel("prompt length")
    axes[0].set_ylabel("seconds")
    axes[0].legend()
    figure.tight_layout()
    figure.savefig(output, dpi=110)
