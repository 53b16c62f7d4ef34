"""Platform headers on requests to endpoints and on their responses."""

import math
from dataclasses import dataclass

from savoryhill.platform import names
from savoryhill.serving.http import HOP_BY_HOP_HEADERS, first_header

# Not copied from the client's request: the node sets its own value or sends none.
_STRIPPED_HEADERS = frozenset(
    (
        names.TIME_REMAINING,
        names.EXPECTED_ENDPOINT,
        names.WORKSPACE,
        names.URGENCY,
        names.HELPERS,
        names.AUTHORIZATION,
    )
)
_BEARER = b"bearer "
# Larger numbers don't fit into the fields of the messages between nodes.
MAX_NUMBER = 2.0**53
MAX_EVENT_ID_DIGITS = 18
MAX_COUNT_DIGITS = 9


@dataclass(frozen=True, kw_only=True, slots=True)
class RequestMetadata:
    """Metadata that a client sends in the headers of a request.

    ``remaining_s`` is the time for which the client still waits. ``key`` is its API
    key. ``last_event_id`` is the event after which a stream resumes, and
    ``has_invalid_event_id`` tells that it is not the id of an event. ``shared_parts``
    holds the ids of the parts that the prompt may share with others: all but the last.
    Fields are None, and token counts 0, if the header is missing or invalid.
    ``invalid_header`` names another header whose number is malformed, negative or too
    large.
    """

    attempt_id: bytes | None
    remaining_s: float | None
    key: str | None
    prompt_tokens: int
    answer_tokens: int
    last_event_id: int | None
    has_invalid_event_id: bool = False
    invalid_header: str | None = None
    shared_parts: tuple[str, ...] = ()


def decode_request_metadata(request):
    """Decode the metadata in the headers of a client's request."""
    counts = request.header(names.TOKEN_COUNTS)
    prompt, _, answer = (counts or b"0").partition(b",")
    numbers_by_header = {
        names.TOKEN_COUNTS: (_parse_number(prompt), _parse_number(answer or b"0")),
        names.TIME_REMAINING: (_parse_header(request, names.TIME_REMAINING),),
    }
    invalid_headers = [
        name.decode()
        for name, numbers in numbers_by_header.items()
        if None in numbers and request.header(name) is not None
    ]
    prompt_tokens, answer_tokens = numbers_by_header[names.TOKEN_COUNTS]
    (remaining_ms,) = numbers_by_header[names.TIME_REMAINING]
    last_event_id = request.header(names.LAST_EVENT_ID)
    has_event_id = last_event_id is not None and _is_event_id(last_event_id)
    return RequestMetadata(
        attempt_id=request.header(names.ATTEMPT_ID),
        remaining_s=None if remaining_ms is None else remaining_ms / 1000,
        key=_parse_bearer_token(request.header(names.AUTHORIZATION)),
        prompt_tokens=int(prompt_tokens or 0),
        answer_tokens=int(answer_tokens or 0),
        last_event_id=int(last_event_id) if has_event_id else None,
        has_invalid_event_id=last_event_id is not None and not has_event_id,
        invalid_header=invalid_headers[0] if invalid_headers else None,
        shared_parts=_parse_shared_parts(
            [value for name, value in request.headers if name == names.PROMPT_PARTS]
        ),
    )


def _parse_header(request, name):
    value = request.header(name)
    return None if value is None else _parse_number(value)


def _is_event_id(value):
    return value.isdigit() and len(value) <= MAX_EVENT_ID_DIGITS


def _parse_number(value):
    """Return a number from 0 to ``MAX_NUMBER``, or None."""
    try:
        number = float(value)
    except ValueError:
        return None
    return number if 0.0 <= number <= MAX_NUMBER else None


def _parse_shared_parts(values):
    """Return the ids of all parts but the last, without entries that have none.

    The header is forwarded as it is, so a malformed one is no reason to refuse. Its
    list may be spread over several lines.
    """
    if not values:
        return ()
    *entries, _ = b",".join(values).decode("latin-1").split(",")
    ids = (entry.partition(":")[0].strip().lower() for entry in entries)
    return tuple(part_id for part_id in ids if part_id)


def _parse_bearer_token(value):
    if value is None or value[: len(_BEARER)].lower() != _BEARER:
        return None
    return value[len(_BEARER) :].strip().decode("latin-1")


def forwarded_headers(
    request,
    *,
    endpoint_id,
    workspace,
    remaining_s,
    helpers=(),
    last_event_id=None,
):
    """Return the headers of a client's request as forwarded to an endpoint.

    ``helpers`` are addresses of engines, each followed by a slash and the id of its
    memory reservation if it has one. ``last_event_id`` replaces the client's; if it is
    None, what the client sent is forwarded.
    """
    dropped = _connection_headers(request.headers)
    headers = [
        (name, value)
        for name, value in request.headers
        if name not in HOP_BY_HOP_HEADERS
        and name not in _STRIPPED_HEADERS
        and name not in dropped
        and not (name == names.LAST_EVENT_ID and last_event_id is not None)
    ]
    headers.append(
        (names.TIME_REMAINING, str(max(1, int(remaining_s * 1000))).encode())
    )
    headers.append((names.EXPECTED_ENDPOINT, endpoint_id.encode()))
    if workspace is not None:
        headers.append((names.WORKSPACE, workspace.encode()))
    if helpers:
        headers.append((names.HELPERS, ",".join(helpers).encode()))
    if last_event_id is not None:
        headers.append((names.LAST_EVENT_ID, str(last_event_id).encode()))
    return headers


def _connection_headers(headers):
    """Return the header names listed in ``Connection``; they are not forwarded."""
    value = first_header(headers, b"connection")
    if value is None:
        return frozenset()
    return frozenset(name.strip().lower() for name in value.split(b","))


def returned_headers(head):
    """Return the headers of an endpoint's response that are passed to the client."""
    dropped = _connection_headers(head.headers)
    return [
        (name, value)
        for name, value in head.headers
        if name not in HOP_BY_HOP_HEADERS and name not in dropped
    ]


def attempt_id_headers(metadata):
    """Return the headers that this node sets on a response: the attempt id, if any."""
    if metadata.attempt_id is None:
        return []
    return [(names.ATTEMPT_ID, metadata.attempt_id)]


def was_not_run(head):
    """Tell whether a response states that the endpoint did not run the request."""
    return head.status == 421 or head.header(names.NOT_RUN) is not None


def is_signed(head):
    """Tell whether a response carries an endpoint's signature header."""
    return head.header(names.SIGNATURE) is not None


def matches_attempt_id(head, attempt_id):
    """Tell whether a response echoes the attempt id, or no attempt id at all."""
    echoed = head.header(names.ATTEMPT_ID)
    return echoed is None or echoed == attempt_id


def named_limit(head):
    """Return the requests a second that an endpoint takes from all nodes together.

    Returns
    -------
    float or None
        The smallest if several are named; infinite if the endpoint names no limit, and
        None if it names nothing that is a number from 0 on.
    """
    values = [value for name, value in head.headers if name == names.RATE_LIMIT]
    if not values:
        return math.inf
    numbers = [
        number
        for value in values
        for number in map(_parse_number, value.split(b","))
        if number is not None
    ]
    return min(numbers, default=None)


def reported_load(head):
    """Return the load that an endpoint tells of itself.

    Returns
    -------
    tuple of (int, int, int) or None
        Running and waiting requests, and slots; None if the header is absent, repeated
        or not three whole numbers from 0 on.
    """
    values = [value for name, value in head.headers if name == names.REPORTED_LOAD]
    if len(values) != 1:
        return None
    counts = [count.strip() for count in values[0].split(b",")]
    if len(counts) != 3 or not all(map(_is_count, counts)):
        return None
    return tuple(map(int, counts))


def _is_count(value):
    return value.isdigit() and len(value) <= MAX_COUNT_DIGITS


def faulty_endpoint(head):
    """Return the id or address of the endpoint at fault in a refusal, or None."""
    value = head.header(names.FAULTY_ENDPOINT)
    return None if value is None else value.decode("latin-1")
