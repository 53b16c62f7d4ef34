"""Messages between nodes about endpoints: observations, turns to send, and loads."""

from dataclasses import dataclass

from savoryhill.core.observations.table import Observation


@dataclass(frozen=True, kw_only=True, slots=True)
class ObservationItem:
    """An observation on the wire, with its age in place of a time of the sender."""

    kind: str
    subject: str
    source: str
    version: int
    age_s: float
    value: float
    workspace: str
    release: str = ""


@dataclass(frozen=True, kw_only=True, slots=True)
class SharedObservations:
    """Observations that the sender holds or has just learned of."""

    items: tuple[ObservationItem, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class TurnRequest:
    """Request to the leader for a turn to send to one of several limited endpoints.

    ``endpoints`` names them with their start, the preferred one first; ``max_wait_s``
    is how long the request can wait. ``number`` identifies the reply.
    """

    number: int
    endpoints: tuple[str, ...]
    max_wait_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class TurnReply:
    """Turn at an endpoint, to be used ``wait_s`` from now.

    Without an endpoint, ``wait_s`` is when one would take the request.
    """

    number: int
    endpoint: str
    wait_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class BalanceRequest:
    """Request to the leader to choose an endpoint of a plain service.

    ``zone`` is that of the sender, ``avoided`` holds ids of endpoints that it does not
    use now. ``number`` identifies the reply and the end of the request.
    """

    number: int
    service: str
    zone: str
    avoided: tuple[str, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class BalanceReply:
    """Id of the endpoint that the leader has chosen; empty if it knows none."""

    number: int
    endpoint: str


@dataclass(frozen=True, kw_only=True, slots=True)
class BalanceEnd:
    """End of a request for which the leader chose the endpoint, or of its wait for it.

    ``endpoint`` is named with its start. The counts are what it reported ``age_s`` ago;
    ``n_slots`` is 0 if it reported nothing.
    """

    number: int
    endpoint: str
    n_running: int
    n_waiting: int
    n_slots: int
    age_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class BalanceFailure:
    """A request failed on an endpoint, named with its start, or was refused there."""

    endpoint: str


def encode_observations(observations, now):
    """Return the message for observations; ``now`` is in seconds of their clock."""
    return SharedObservations(
        items=tuple(
            ObservationItem(
                kind=o.kind,
                subject=o.subject,
                source=o.source,
                version=o.version,
                age_s=max(0.0, now - o.observed_at),
                value=o.value,
                workspace=o.workspace,
                release=o.release,
            )
            for o in observations
        )
    )


def decode_observations(message, now):
    """Return the observations of a message, on a clock that shows ``now`` seconds.

    An age that is negative or not a number counts as 0.
    """
    return [
        Observation(
            kind=item.kind,
            subject=item.subject,
            source=item.source,
            version=item.version,
            observed_at=now - (item.age_s if item.age_s > 0.0 else 0.0),
            value=item.value,
            workspace=item.workspace,
            release=item.release,
        )
        for item in message.items
    ]
