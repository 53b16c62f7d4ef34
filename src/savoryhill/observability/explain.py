"""Reconstructs the course of one request from the log lines of several nodes."""

import re
import shlex
from dataclasses import dataclass

from savoryhill.errors import SavoryhillError

FINAL_EVENTS = ("request.finished", "request.client_gone")
# Lines about a part of prompts, or all repetitions of a request, not about one request.
PART_EVENTS = (
    "crash.observed",
    "crashes.in_doubt",
    "crashes.doubt_ended",
    "part.refused",
    "part.served_again",
    "request.refused_for_crashes",
    "request.served_again",
)
# Lines about a node that has lost its way to endpoints, or some of its paths.
PATH_EVENTS = ("path.lost", "path.regained", "node.way_lost", "node.way_regained")
MAX_PART_LINES = 12
MAX_PATH_LINES = 4
_REFUSED_PARTS = re.compile(r"prompt with part ([0-9a-f,]+)")
_REFUSED_REQUESTS = re.compile(r"request-[0-9a-f]+")


class UnknownRequestError(SavoryhillError):
    """No log line names the request."""


@dataclass(frozen=True, kw_only=True, slots=True)
class LogLine:
    """One parsed log line; ``fields`` holds the values as text."""

    at: float
    node: str
    event: str
    fields: dict


def parse_line(text):
    """Parse a line, or return None if it is not a log line of a node."""
    try:
        pairs = dict(part.partition("=")[::2] for part in shlex.split(text))
        return LogLine(
            at=float(pairs.pop("time")),
            node=pairs.pop("node"),
            event=pairs.pop("event"),
            fields=pairs,
        )
    except (KeyError, ValueError):
        return None


def _names_request(line, request_id):
    named_request = line.fields.get("request", "")
    # The id of a job is the id of its request, a dot and the number of the send.
    return named_request == request_id or named_request.rpartition(".")[0] == request_id


def select_lines(request_id, texts):
    """Return the log lines about a request, and those about parts, in time order.

    Parameters
    ----------
    request_id : str
        Id of the request.
    texts : iterable of str
        Lines of all nodes, in any order.

    Returns
    -------
    tuple of (list of LogLine, list of LogLine, int)
        The lines about the request, those about parts that end engines or about paths
        to endpoints, and the number of lines that contain the id but can't be parsed.
    """
    lines, other_lines, n_unreadable = [], [], 0
    for text in texts:
        is_other = any(event in text for event in (*PART_EVENTS, *PATH_EVENTS))
        if request_id not in text and not is_other:
            continue
        # A log collector may prepend columns of its own.
        start = text.find("time=")
        line = parse_line(text[start:]) if start >= 0 else None
        if line is None:
            n_unreadable += request_id in text
        elif _names_request(line, request_id):
            lines.append(line)
        elif line.event in (*PART_EVENTS, *PATH_EVENTS):
            other_lines.append(line)
    lines.sort(key=lambda line: line.at)
    other_lines.sort(key=lambda line: line.at)
    return lines, other_lines, n_unreadable


def _lines_about_refused_parts(lines, part_lines):
    """Return the lines about what a request was refused for, parts or itself.

    All nodes come to the same decision, so only that of the request's node is shown.
    """
    causes = [line.fields.get("cause", "") for line in lines]
    found = [match for cause in causes for match in _REFUSED_PARTS.findall(cause)]
    refused_parts = {part for match in found for part in match.split(",")}
    for cause in causes:
        refused_parts.update(_REFUSED_REQUESTS.findall(cause))
    return [
        line
        for line in part_lines
        if line.event in PART_EVENTS
        and refused_parts & set(_parts_of(line))
        and line.at <= lines[-1].at
        and (line.event == "crash.observed" or line.node == lines[-1].node)
    ][:MAX_PART_LINES]


def _lines_about_paths(lines, other_lines):
    """Return what a request's node had found out of its paths, if it took another way.

    The latest lines before the end of the request tell why.
    """
    was_relayed = any(
        line.fields.get("relay") or line.fields.get("lost_way") == "true"
        for line in lines
    )
    if not was_relayed:
        return []
    end = lines[-1]
    return [
        line
        for line in other_lines
        if line.event in PATH_EVENTS and line.node == end.node and line.at <= end.at
    ][-MAX_PATH_LINES:]


def _parts_of(line):
    fields = line.fields
    digests = fields.get("parts") or fields.get("part") or fields.get("digest", "")
    return digests.split(",")


def explain(request_id, texts):
    """Return a report on a request as lines; the last one states the cause of its end.

    Parameters
    ----------
    request_id : str
        Id of the request.
    texts : iterable of str
        Lines of all nodes, in any order.

    Raises
    ------
    UnknownRequestError
        If no line names the request.
    """
    lines, other_lines, n_unreadable = select_lines(request_id, texts)
    if not lines:
        raise UnknownRequestError(
            f"no log line names request {request_id!r}"
            + (f"; {n_unreadable} lines can't be read" if n_unreadable else "")
        )
    report_lines = [_format_line(line, lines[0].at) for line in lines]
    about_paths = _lines_about_paths(lines, other_lines)
    if about_paths:
        report_lines.append("what the node had found out of its paths to endpoints:")
    for line in about_paths:
        report_lines.append(_format_line(line, lines[0].at))
    about_parts = _lines_about_refused_parts(lines, other_lines)
    if about_parts:
        report_lines.append("what is known of the part:")
    for line in about_parts:
        report_lines.append(_format_line(line, lines[0].at, names_request=True))
    if n_unreadable:
        report_lines.append(f"{n_unreadable} lines about the request can't be read")
    report_lines.append(_describe_cause(lines))
    return report_lines


def _format_line(line, start, *, names_request=False):
    values = " ".join(
        f"{name}={value}"
        for name, value in line.fields.items()
        if (names_request or name != "request") and value not in ("", "null")
    )
    return f"{line.at - start:+9.4f} s  {line.node:<20} {line.event:<22} {values}"


def _describe_cause(lines):
    final = next((line for line in reversed(lines) if line.event in FINAL_EVENTS), None)
    if final is None:
        last = lines[-1]
        text = (
            f"cause: node {last.node} logged no end; last seen {last.event}: the node "
            "ended, or its lines were dropped (look for node.started and log.dropped)"
        )
        return text + _describe_incomplete(lines)
    if final.event == "request.client_gone":
        text = f"cause: the client left: {final.fields.get('cause', '')}"
        return text + _describe_incomplete(lines)
    outcome, status = final.fields.get("outcome"), final.fields.get("status")
    if outcome == "answered":
        return f"cause: none, it was answered with {status}"
    failed_sends = [line for line in lines if line.event == "request.send_failed"]
    earlier = "; ".join(
        f"send {line.fields.get('send')} to {line.fields.get('endpoint') or 'none'}: "
        f"{line.fields.get('cause')}"
        for line in failed_sends
    )
    text = f"cause: {outcome} with {status}: {final.fields.get('cause')}"
    if earlier:
        text += f" ({earlier})"
    return text + _describe_denials(lines) + _describe_incomplete(lines)


def _describe_incomplete(lines):
    """Return who ended a stream that has no end, and what preceded that, or nothing."""
    line = next((line for line in lines if line.event == "stream.incomplete"), None)
    if line is None:
        return ""
    fields = line.fields
    text = f"; ended by the {fields.get('ended_by')}"
    if fields.get("silent_s", "null") != "null":
        text += f" {fields['silent_s']} s after its last event"
    if fields.get("stopping_s", "null") != "null":
        text += f", {fields['stopping_s']} s after the node began to stop"
    if fields.get("no_repeat"):
        text += f", with no repeat as {fields['no_repeat']}"
    return text


def _describe_denials(lines):
    """Return why no repeat was granted, beside a silent run or after a failed one."""
    texts = []
    for event, what in (
        ("request.run_kept", "kept its silent run, as no repeat was granted"),
        ("request.no_repeat_granted", "not repeated"),
    ):
        causes = [line.fields.get("cause", "") for line in lines if line.event == event]
        if causes:
            texts.append(f"; {what}: {', '.join(dict.fromkeys(causes))}")
    return "".join(texts)
