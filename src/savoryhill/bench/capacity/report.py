"""Write the tables of the capacity page from the measured figures."""

import re

from savoryhill.bench.capacity.target import TARGET
from savoryhill.errors import SavoryhillError

_BLOCK = re.compile(r"(<!-- table: ([a-z-]+) -->\n).*?(<!-- end -->)", re.DOTALL)


def _table(header, rows):
    lines = ["| " + " | ".join(header) + " |", "| " + "--- | " * len(header)]
    lines += ["| " + " | ".join(str(cell) for cell in row) + " |" for row in rows]
    return "\n".join(line.rstrip() for line in lines) + "\n"


def _number(value):
    return f"{value:.3g}" if abs(value) < 100 else f"{value:,.0f}"


def _slopes(figures):
    rows = [
        (
            each["name"],
            f"{_number(each['slope'])} {each['unit']} per {each['per']}",
            f"{_number(each['base'])} {each['unit']}",
            f"{each['sizes'][0]:g} to {each['sizes'][-1]:g}",
            f"{100 * each['residual']:.0f}%",
            f"{_number(each['values'][-1])} {each['unit']}",
        )
        for each in figures["slopes"]
    ]
    header = ("cost", "slope", "base", "sizes", "residual", "at the largest size")
    return _table(header, rows)


def _messages(figures):
    sizes = figures["message_bytes"].items()
    return _table(("message", "bytes"), [(name, f"{n:,}") for name, n in sizes])


def _key_value(figures):
    rows = []
    today = figures["key_value"]["today"]["rates"]
    target = figures["key_value"]["target"]["rates"]
    for cause, (reads, writes) in target.items():
        before = today[cause]
        rows.append(
            (
                cause,
                _number(before[0]),
                _number(before[1]),
                _number(reads),
                _number(writes),
            )
        )
    totals = [sum(each[n] for each in today.values()) for n in (0, 1)]
    totals += [sum(each[n] for each in target.values()) for n in (0, 1)]
    rows.append(("sum", *map(_number, totals)))
    header = ("calls a second", "reads at 9", "writes at 9", "reads at 340")
    return _table((*header, "writes at 340"), rows)


def _control(figures):
    rows = []
    for size in ("today", "target"):
        for part in ("steady", "zone_loss"):
            cost = figures["control"][size][part]
            total = (
                cost["sent_bytes_per_s"]
                + cost["received_bytes_per_s"]
                + cost["key_value_bytes_per_s"]
            )
            rows.append(
                (
                    f"{figures['control'][size]['n_nodes']} nodes, "
                    + part.replace("_", " "),
                    f"{100 * cost['core_share']:.1f}%",
                    f"{100 * cost['peak_core_share']:.1f}%",
                    f"{cost['resident_bytes'] / 1e6:.0f}",
                    f"{total / 1000:.1f}",
                    cost["messages_per_s"],
                    cost["key_value_calls_per_s"],
                )
            )
    limits = (
        "limit",
        f"{100 * TARGET.core_share:.1f}%",
        "",
        f"{TARGET.memory_bytes / 1e6:.0f}",
        f"{TARGET.control_bytes_per_s / 1000:.0f}",
        "",
        "",
    )
    header = ("one node process", "core", "busiest second", "MB resident", "KB/s")
    return _table(
        (*header, "messages/s", "key-value calls/s"),
        [*rows, limits],
    )


def _relay(figures):
    return _table(("relay", "figure"), list(figures["relay"].items()))


_TABLES = {
    "slopes": _slopes,
    "messages": _messages,
    "key-value": _key_value,
    "control": _control,
    "relay": _relay,
}


def replace_tables(page, figures):
    """Replace the tables of a page.

    Parameters
    ----------
    page : str
        The page with ``<!-- table: NAME -->`` and ``<!-- end -->`` marks.
    figures : dict
        What `measure_all` returned.

    Returns
    -------
    str
        The page with new tables.

    Raises
    ------
    SavoryhillError
        If a mark names an unknown table or a table has no mark.
    """
    names = [name for _, name, _ in _BLOCK.findall(page)]
    unknown = sorted(set(names) - set(_TABLES))
    missing = sorted(set(_TABLES) - set(names))
    if unknown or missing:
        raise SavoryhillError(
            f"capacity page: unknown tables {unknown}, missing tables {missing}"
        )
    return _BLOCK.sub(
        lambda match: match[1] + _TABLES[match[2]](figures) + match[3], page
    )
