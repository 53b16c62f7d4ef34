"""Names of the platform on requests to endpoints and on their answers."""

from dataclasses import dataclass

from savoryhill.platform import names
from savoryhill.serving.http import HOP_BY_HOP_HEADERS, first_header

# Set by this node, whatever the client sent.
_OWN_HEADERS = frozenset(
    (
        names.TIME_REMAINING,
        names.EXPECTED_ENDPOINT,
        names.WORKSPACE,
        names.URGENCY,
        names.HELPERS,
        names.AUTHORIZATION,
        names.LAST_EVENT_ID,
    )
)
_BEARER = b"bearer "


@dataclass(frozen=True, kw_only=True, slots=True)
class RequestFacts:
    """What a client says of its request.

    ``attempt_id`` is None if it is missing. ``remaining_s`` is how long the client
    waits; ``last_event_id`` is the event after which a stream goes on.
    """

    attempt_id: bytes | None
    remaining_s: float | None
    key: str | None
    prompt_tokens: int
    answer_tokens: int
    last_event_id: int | None


def read_facts(request):
    """Decode the headers of a client's request."""
    counts = request.header(names.TOKEN_COUNTS)
    prompt, answer = _counts(counts)
    remaining_ms = _number(request.header(names.TIME_REMAINING))
    last_event = _number(request.header(names.LAST_EVENT_ID))
    return RequestFacts(
        attempt_id=request.header(names.ATTEMPT_ID),
        remaining_s=None if remaining_ms is None else remaining_ms / 1000,
        key=_key(request.header(names.AUTHORIZATION)),
        prompt_tokens=prompt,
        answer_tokens=answer,
        last_event_id=None if last_event is None else int(last_event),
    )


def _number(value):
    try:
        return None if value is None else float(value)
    except ValueError:
        return None


def _counts(value):
    prompt, _, answer = (value or b"").partition(b",")
    return int(_number(prompt or b"0") or 0), int(_number(answer or b"0") or 0)


def _key(value):
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
    """Return the headers of a request to an endpoint.

    ``helpers`` are addresses of engines, each with its reservation after a slash if
    it holds one.
    """
    dropped = _connection_names(request.headers)
    headers = [
        (name, value)
        for name, value in request.headers
        if name not in HOP_BY_HOP_HEADERS
        and name not in _OWN_HEADERS
        and name not in dropped
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


def _connection_names(headers):
    value = first_header(headers, b"connection")
    if value is None:
        return frozenset()
    return frozenset(name.strip().lower() for name in value.split(b","))


def returned_headers(head):
    """Return the headers of an answer that go to the client."""
    dropped = _connection_names(head.headers)
    return [
        (name, value)
        for name, value in head.headers
        if name not in HOP_BY_HOP_HEADERS and name not in dropped
    ]


def own_headers(facts):
    """Return the headers of an answer that this node gives itself."""
    if facts.attempt_id is None:
        return []
    return [(names.ATTEMPT_ID, facts.attempt_id)]


def was_not_run(head):
    """Tell whether an answer states that the endpoint did not run the request."""
    return head.status == 421 or head.header(names.NOT_RUN) is not None


def is_signed(head):
    """Tell whether an answer bears the endpoint's signature."""
    return head.header(names.SIGNATURE) is not None


def answers_attempt(head, attempt_id):
    """Tell whether an answer belongs to a request."""
    echoed = head.header(names.ATTEMPT_ID)
    return echoed is None or echoed == attempt_id


def faulty_endpoint(head):
    """Return the id or address of the endpoint at fault in a refusal, or None."""
    value = head.header(names.FAULTY_ENDPOINT)
    return None if value is None else value.decode("latin-1")
