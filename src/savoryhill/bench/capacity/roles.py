"""Measure the costs of the roles of a node, each at five sizes."""

from savoryhill.bench import membership, routing_cost
from savoryhill.bench.capacity.configuration import make_configuration
from savoryhill.bench.capacity.fit import fit_slope
from savoryhill.bench.capacity.peers import message_bytes
from savoryhill.bench.capacity.timing import allocated_bytes, cpu_time_s
from savoryhill.core import messages
from savoryhill.core.journal.codec import Row, encode_rows
from savoryhill.core.journal.state import Entry
from savoryhill.core.membership.state import Member
from savoryhill.core.requests.state import RequestState

ROUTING_SIZES = (24, 120, 240, 400, 600)
MEMBER_SIZES = membership.SIZES
PERMIT_SIZES = (0, 5, 10, 20, 40)
ENTRY_SIZES = (10, 50, 100, 500, 1000)
OPEN_REQUEST_SIZES = (10, 50, 100, 200, 400)
RESPONSE_BYTES = 80


def measure_routing():
    """Measure the cost of placement decisions and releases by number of engines."""
    rows = [routing_cost._measure_size(size, 1, "savoryhill") for size in ROUTING_SIZES]
    return [
        fit_slope(
            f"coordinator.{name}",
            unit="us",
            per="engine in the fleet",
            sizes=ROUTING_SIZES,
            values=[row[f"{name}_us_mean"] for row in rows],
        )
        for name in ("decision", "release")
    ]


def measure_membership():
    """Measure gossip and memory by number of members, steady and in a mass loss."""
    rows = [membership.measure_cost(size) for size in MEMBER_SIZES]
    slopes = []
    for part in ("steady", "vanishing"):
        for name, unit in (
            ("cpu_percent", "% of a core"),
            ("bytes_per_s", "bytes/s"),
            ("messages_per_s", "messages/s"),
        ):
            slopes.append(
                fit_slope(
                    f"membership.{part}.{name}",
                    unit=unit,
                    per="member",
                    sizes=MEMBER_SIZES,
                    values=[row[part][name] for row in rows],
                )
            )
    slopes.append(
        fit_slope(
            "membership.memory",
            unit="bytes",
            per="member",
            sizes=MEMBER_SIZES,
            values=[
                allocated_bytes(lambda n=n: _make_members(n)) for n in MEMBER_SIZES
            ],
        )
    )
    return slopes


def _make_members(n_members):
    return {
        f"node-{n}": Member(node=f"node-{n}", address=f"10.0.{n}.1:7000", zone="z")
        for n in range(n_members)
    }


def measure_permits():
    """Measure the size of a permit report and the memory of open requests."""
    return [
        fit_slope(
            "entry.permit_report",
            unit="bytes",
            per="held permit",
            sizes=PERMIT_SIZES,
            values=[message_bytes(_make_report(size)) for size in PERMIT_SIZES],
        ),
        fit_slope(
            "entry.request_memory",
            unit="bytes",
            per="open request",
            sizes=OPEN_REQUEST_SIZES,
            values=[
                allocated_bytes(lambda n=n: _make_requests(n))
                for n in OPEN_REQUEST_SIZES
            ],
        ),
    ]


def _make_report(n_permits):
    permits = tuple(
        messages.HeldPermit(
            request_id=f"{n:032x}",
            attempt=1,
            endpoint=f"engine-{n % 8}",
            prompt_tokens=2_000,
            max_tokens=500,
            workspace=f"workspace-{n}",
        )
        for n in range(n_permits)
    )
    return messages.PermitReport(group="model-3/south/2", permits=permits)


def _make_requests(n_requests):
    return {
        f"{n:032x}": RequestState(
            spec=messages.RequestSpec(
                request_id=f"{n:032x}",
                workspace=f"workspace-{n % 590}",
                kind="completion",
                target="model-3",
                is_model=True,
                prompt_tokens=2_000 + n,
                max_tokens=500,
                deadline_at=1e6 + n,
                prefix_hashes=tuple(range(n, n + 3)),
            ),
            arrived_at=1e6,
        )
        for n in range(n_requests)
    }


def measure_journal():
    """Measure size, encoding time and memory of journal entries."""
    slopes = [
        fit_slope(
            "journal.batch",
            unit="bytes",
            per="entry",
            sizes=ENTRY_SIZES,
            values=[len(_encode_batch(size)) for size in ENTRY_SIZES],
        ),
        fit_slope(
            "journal.encode",
            unit="us",
            per="entry",
            sizes=ENTRY_SIZES,
            values=[
                1e6 * cpu_time_s(lambda n=n: _encode_batch(n), n_calls=3, n_rounds=3)
                for n in ENTRY_SIZES
            ],
        ),
        fit_slope(
            "journal.memory",
            unit="bytes",
            per="entry",
            sizes=ENTRY_SIZES,
            values=[allocated_bytes(lambda n=n: _make_entries(n)) for n in ENTRY_SIZES],
        ),
    ]
    return slopes


def _make_entries(n_entries):
    origin = "node-17:1796365014255"
    return {
        n.to_bytes(16, "big"): Entry(
            status="done",
            origin=origin,
            request=(n + 7).to_bytes(16, "big"),
            body_digest=(n + 9).to_bytes(16, "big"),
            at_s=1_796_365_014,
            deadline_wall_s=1_796_365_019,
            response=bytes([n % 256]) * RESPONSE_BYTES,
        )
        for n in range(n_entries)
    }


def _encode_batch(n_entries):
    rows = [
        Row(
            key=key,
            status=entry.status,
            origin=entry.origin,
            request=entry.request,
            at_s=entry.at_s,
            deadline_wall_s=entry.deadline_wall_s,
            body_digest=entry.body_digest,
            response=entry.response,
        )
        for key, entry in _make_entries(n_entries).items()
    ]
    return encode_rows("node-17:1796365014255:99", 1_796_365_014, rows)


def measure_messages():
    """Return the encoded sizes of common messages, in bytes.

    Returns
    -------
    dict of str to int
        One typical message per type; the configuration has its target size.
    """
    from savoryhill.config.model import dump_configuration

    place_request = messages.PlaceRequest(
        request_id="0" * 32,
        attempt=1,
        group="model-3/south/2",
        workspace="workspace-100",
        kind="completion",
        prompt_tokens=2_000,
        max_tokens=500,
        remaining_s=30.0,
        prefix_hashes=(2**60, 2**61, 2**62),
        asked_at=1e6,
    )
    place_reply = messages.PlaceReply(
        request_id="0" * 32,
        attempt=1,
        group="model-3/south/2",
        status="granted",
        endpoint="engine-100",
        fence=7,
        incarnation="engine-100#7",
        asked_at=1e6,
    )
    permit_release = messages.PermitRelease(
        request_id="0" * 32,
        attempt=1,
        group="model-3/south/2",
        endpoint="engine-100",
        result="completed",
        n_tokens=500,
        first_token_s=0.2,
        duration_s=5.0,
    )
    journal_reserve = messages.JournalReserve(
        request_id="0" * 32,
        attempt=f"node-17:1796365014255:{'0' * 32}",
        key=b"k" * 16,
        body_digest=b"b" * 16,
    )
    content = dump_configuration(make_configuration())
    return {
        "PlaceRequest": message_bytes(place_request),
        "PlaceReply": message_bytes(place_reply),
        "PermitRelease": message_bytes(permit_release),
        "PermitReport, 20 permits": message_bytes(_make_report(20)),
        "JournalReserve": message_bytes(journal_reserve),
        "ConfigAnnounce": message_bytes(messages.ConfigAnnounce(revision=9)),
        "ConfigValue, full size": message_bytes(
            messages.ConfigValue(revision=9, content=content)
        ),
    }
