"""Format the tables of the capacity page from measured figures."""

import re

from savoryhill.bench.capacity.target import TARGET
from savoryhill.errors import SavoryhillError

_TABLE_BLOCK = re.compile(r"(<!-- table: ([a-z-]+) -->\n).*?(<!-- end -->)", re.DOTALL)


def _format_table(header, rows):
    lines = ["| " + " | ".join(header) + " |", "| " + "--- | " * len(header)]
    lines += ["| " + " | ".join(str(cell) for cell in row) + " |" for row in rows]
    return "\n".join(line.rstrip() for line in lines) + "\n"


def _format_number(value):
    return f"{value:.3g}" if abs(value) < 100 else f"{value:,.0f}"


def _slopes_table(figures):
    rows = [
        (
            each["name"],
            f"{_format_number(each['slope'])} {each['unit']} per {each['per']}",
            f"{_format_number(each['base'])} {each['unit']}",
            f"{each['sizes'][0]:g} to {each['sizes'][-1]:g}",
            f"{100 * each['residual']:.0f}%",
            f"{_format_number(each['values'][-1])} {each['unit']}",
        )
        for each in figures["slopes"]
    ]
    header = ("cost", "slope", "base", "sizes", "residual", "at the largest size")
    return _format_table(header, rows)


def _messages_table(figures):
    sizes = figures["message_bytes"].items()
    return _format_table(("message", "bytes"), [(name, f"{n:,}") for name, n in sizes])


def _key_value_table(figures):
    rows = []
    today = figures["key_value"]["today"]["rates"]
    target = figures["key_value"]["target"]["rates"]
    for cause, (reads, writes) in target.items():
        today_rates = today[cause]
        rows.append(
            (
                cause,
                _format_number(today_rates[0]),
                _format_number(today_rates[1]),
                _format_number(reads),
                _format_number(writes),
            )
        )
    totals = [sum(each[n] for each in today.values()) for n in (0, 1)]
    totals += [sum(each[n] for each in target.values()) for n in (0, 1)]
    rows.append(("sum", *map(_format_number, totals)))
    header = ("calls a second", "reads at 9", "writes at 9", "reads at 340")
    return _format_table((*header, "writes at 340"), rows)


def _control_table(figures):
    rows = []
    for size in ("today", "target"):
        for phase in ("steady", "zone_loss"):
            cost = figures["control"][size][phase]
            total = (
                cost["sent_bytes_per_s"]
                + cost["received_bytes_per_s"]
                + cost["key_value_bytes_per_s"]
            )
            rows.append(
                (
                    f"{figures['control'][size]['n_nodes']} nodes, "
                    + phase.replace("_", " "),
                    f"{100 * cost['core_share']:.1f}%",
                    f"{100 * cost['peak_core_share']:.1f}%",
                    f"{cost['resident_bytes'] / 1e6:.0f}",
                    f"{total / 1000:.1f}",
                    cost["messages_per_s"],
                    cost["key_value_calls_per_s"],
                )
            )
    limit_row = (
        "limit",
        f"{100 * TARGET.core_share:.1f}%",
        "",
        f"{TARGET.memory_bytes / 1e6:.0f}",
        f"{TARGET.control_bytes_per_s / 1000:.0f}",
        "",
        "",
    )
    header = ("one node process", "core", "busiest second", "MB resident", "KB/s")
    return _format_table(
        (*header, "messages/s", "key-value calls/s"),
        [*rows, limit_row],
    )


def _relay_table(figures):
    return _format_table(("relay", "figure"), list(figures["relay"].items()))


_TABLE_BUILDERS = {
    "slopes": _slopes_table,
    "messages": _messages_table,
    "key-value": _key_value_table,
    "control": _control_table,
    "relay": _relay_table,
}


def replace_tables(page, figures):
    """Replace the tables of the capacity page.

    Parameters
    ----------
    page : str
        The text of the page, with each table between the markers
        ``<!-- table: NAME -->`` and ``<!-- end -->``.
    figures : dict
        The result of `measure_all`.

    Returns
    -------
    str
        The text with the tables replaced.

    Raises
    ------
    SavoryhillError
        If a marker names an unknown table, or a table has no marker.
    """
    names = [name for _, name, _ in _TABLE_BLOCK.findall(page)]
    unknown = sorted(set(names) - set(_TABLE_BUILDERS))
    missing = sorted(set(_TABLE_BUILDERS) - set(names))
    if unknown or missing:
        raise SavoryhillError(
            f"capacity page: unknown tables {unknown}, missing tables {missing}"
        )
    return _TABLE_BLOCK.sub(
        lambda match: match[1] + _TABLE_BUILDERS[match[2]](figures) + match[3], page
    )
