"""Seeded schedule of the faults and configuration changes of a soak."""

from dataclasses import dataclass
from random import Random

# Kinds of faults of a node's process, of the link between a node and the store or
# between the nodes and an endpoint, of the store's calls, of the store's data and of
# an endpoint's responses, and kinds of changes made by operators and endpoints.
PROCESS_FAULTS = ("kill", "pause", "term", "reload")
LINK_FAULTS = ("delay", "reset", "silence", "cut_up", "cut_down")
STORE_FAULTS = ("store_silent", "store_busy", "store_reset", "store_lost", "store_slow")
STORE_DATA_FAULTS = ("store_forgets", "store_lapses")
ENDPOINT_FAULTS = ("cut", "failing", "full", "silent", "truncated", "foreign", "extra")
# Drawn apart from the others, so that the plans of earlier seeds stay what they were.
ENDLESS_FAULTS = ("endless_head", "endless_body", "stalled")
CHANGES = ("revoke", "drain", "evacuate", "configure")
MEAN_FAULT_INTERVAL_S = 0.8
MAX_FAULT_LENGTH_S = 4.0
# Share of the soak before the final quiet time in which faults of all kinds occur. The
# rest has only changes and faults of endpoint responses, so that the bounds for
# undisturbed times can be checked.
DISTURBED_SHARE = 0.5
# Gap between the two phases, in which the last disturbances end.
SETTLE_S = 4.0
MEAN_ENDPOINT_FAULT_INTERVAL_S = 0.4
MEAN_ENDLESS_INTERVAL_S = 2.0
MEAN_CHANGE_INTERVAL_S = 1.0
RESTORATION_LENGTH_S = 1.0
# Time without new faults at the end, in which requests must be served again.
FINAL_QUIET_S = 6.0
# Pauses of engines in the middle of streams; clients leave after two seconds and more.
MIN_ENGINE_PAUSE_S = 1.5
MAX_ENGINE_PAUSE_S = 2.6
# After the quiet time, nodes are stopped in turn while engines pause, two at a time as
# few streams run at one of them, and nothing else is disturbed.
N_PLANNED_STOPS = 3
N_NODES_AT_ONCE = 2
PLANNED_STOP_INTERVAL_S = 4.5
STOP_PHASE_S = N_PLANNED_STOPS * PLANNED_STOP_INTERVAL_S + 1.0


@dataclass(frozen=True, kw_only=True, slots=True)
class SpanKind:
    """A fault that lasts, the seed of its spans and how they follow one another.

    Each kind is drawn apart, so that the plans of earlier seeds stay what they were.
    A span lasts for ``span_s``, or is drawn from ``min_span_s`` on.
    """

    kind: str
    stream: str
    mean_interval_s: float
    span_s: float
    min_span_s: float | None = None


# Spans while something is disturbed: endpoints end under one request, the store comes
# back from an older copy, an endpoint says that it leaves, or wants a pause.
DISTURBED_SPAN_KINDS = (
    SpanKind(
        kind="crashing_request", stream="requests", mean_interval_s=3.0, span_s=8.0
    ),
    SpanKind(
        kind="restoration",
        stream="restorations",
        mean_interval_s=6.0,
        span_s=RESTORATION_LENGTH_S,
    ),
    SpanKind(kind="spoken_leave", stream="leaves", mean_interval_s=4.0, span_s=6.0),
    SpanKind(kind="wanted_pause", stream="pauses", mean_interval_s=4.0, span_s=5.0),
)
# Spans while something is disturbed: a node reaches no endpoint, or not all, and an
# endpoint is silent for a moment, or one or several engines are for longer.
CUT_SPAN_KINDS = (
    SpanKind(kind="node_cut", stream="cuts", mean_interval_s=2.0, span_s=4.0),
    SpanKind(kind="silent_spell", stream="spells", mean_interval_s=2.0, span_s=1.0),
    SpanKind(
        kind="engine_pause",
        stream="engine-pauses",
        mean_interval_s=3.0,
        span_s=MAX_ENGINE_PAUSE_S,
        min_span_s=MIN_ENGINE_PAUSE_S,
    ),
)
# Spans at any time: engines end under a part of prompts, or an endpoint names a limit
# of requests a second.
SPAN_KINDS = (
    SpanKind(kind="crashing_part", stream="crashing", mean_interval_s=9.0, span_s=5.0),
    SpanKind(kind="named_limit", stream="limits", mean_interval_s=3.0, span_s=9.0),
)


@dataclass(frozen=True, kw_only=True, slots=True)
class Fault:
    """One entry of the plan.

    ``target`` modulo the number of candidates (nodes, endpoints or availability
    zones) selects the one that is affected.
    """

    at_s: float
    kind: str
    target: int
    length_s: float


def make_plan(seed, *, length_s):
    """Make a plan of faults that come in bursts and overlap.

    Parameters
    ----------
    seed : int
        The same seed gives the same plan.
    length_s : float
        Length of the soak in seconds, including the quiet time at its end, but not the
        ``STOP_PHASE_S`` after it.

    Returns
    -------
    tuple of Fault
        Sorted by time.
    """
    random = Random(seed)
    ends_at = length_s - FINAL_QUIET_S
    disturbed_until = DISTURBED_SHARE * ends_at
    undisturbed_from = disturbed_until + SETTLE_S
    faults = [
        *_plan_disturbed_phase(random, disturbed_until),
        *_plan_undisturbed_phase(random, undisturbed_from, ends_at),
        *_plan_endless_responses(Random(f"endless/{seed}"), until=ends_at),
        # The last one, after which the bounds for undisturbed times hold.
        Fault(
            at_s=disturbed_until,
            kind="restoration",
            target=0,
            length_s=RESTORATION_LENGTH_S,
        ),
        *_plan_long_spans(
            Random(f"long/{seed}"), start=undisturbed_from, until=ends_at
        ),
    ]
    faults.append(
        Fault(
            at_s=undisturbed_from,
            kind="node_cut",
            target=4 * Random(f"long-cut/{seed}").randrange(250),
            length_s=ends_at - undisturbed_from,
        )
    )
    for span_kind in DISTURBED_SPAN_KINDS + CUT_SPAN_KINDS:
        faults += _plan_spans(span_kind, seed, until=disturbed_until)
    for span_kind in SPAN_KINDS:
        faults += _plan_spans(span_kind, seed, until=ends_at)
    faults += _plan_stops(Random(f"stops/{seed}"), start=length_s)
    return tuple(sorted(faults, key=lambda fault: fault.at_s))


def _plan_disturbed_phase(random, until):
    """Yield faults of all kinds in overlapping bursts."""
    kinds = (
        *PROCESS_FAULTS,
        *(f"store_link_{kind}" for kind in LINK_FAULTS),
        *(f"endpoint_link_{kind}" for kind in LINK_FAULTS),
        *STORE_FAULTS,
        *STORE_DATA_FAULTS,
        *(f"endpoint_{kind}" for kind in ENDPOINT_FAULTS),
        *CHANGES,
    )
    at_s = 1.0
    while True:
        at_s += random.expovariate(1.0 / MEAN_FAULT_INTERVAL_S)
        if at_s >= until:
            return
        kind = random.choice(kinds)
        for n in range(random.choice((1, 1, 2, 3))):
            length_s = random.uniform(0.2, MAX_FAULT_LENGTH_S)
            yield Fault(
                at_s=at_s + 0.3 * n,
                kind=kind,
                target=random.randrange(1_000),
                length_s=min(length_s, until - at_s),
            )


def _plan_undisturbed_phase(random, start, until):
    """Yield changes, and endpoint faults that affect single requests."""
    endpoint_kinds = [f"endpoint_{kind}" for kind in ENDPOINT_FAULTS]
    mean_intervals_and_kinds = (
        (MEAN_ENDPOINT_FAULT_INTERVAL_S, endpoint_kinds),
        (MEAN_CHANGE_INTERVAL_S, CHANGES),
    )
    for mean_interval_s, kinds in mean_intervals_and_kinds:
        at_s = start
        while at_s < until:
            yield Fault(
                at_s=at_s,
                kind=random.choice(kinds),
                target=random.randrange(1_000),
                length_s=0.5,
            )
            at_s += random.expovariate(1.0 / mean_interval_s)


def _plan_endless_responses(random, *, until):
    """Yield endpoint faults whose responses go on until the node closes them."""
    at_s = random.expovariate(1.0 / MEAN_ENDLESS_INTERVAL_S)
    while at_s < until:
        kind = random.choice(ENDLESS_FAULTS)
        yield Fault(
            at_s=at_s,
            kind=f"endpoint_{kind}",
            target=random.randrange(1_000),
            length_s=0.5,
        )
        at_s += random.expovariate(1.0 / MEAN_ENDLESS_INTERVAL_S)


def _plan_long_spans(random, *, start, until):
    """Yield spans through the whole undisturbed phase, of different endpoints.

    What they are checked for must hold at undisturbed times, once it is known.
    """
    target = random.randrange(1_000)
    for kind in ("crashing_request", "spoken_leave", "wanted_pause"):
        target += random.randint(1, 2)
        yield Fault(at_s=start, kind=kind, target=target, length_s=until - start)


def _plan_spans(span_kind, seed, *, until):
    """Yield spans of a fault, one after the other."""
    random = Random(f"{span_kind.stream}/{seed}")
    at_s = random.uniform(1.0, span_kind.mean_interval_s)
    while at_s + span_kind.span_s < until:
        yield Fault(
            at_s=at_s,
            kind=span_kind.kind,
            target=random.randrange(1_000),
            length_s=span_kind.span_s
            if span_kind.min_span_s is None
            else random.uniform(span_kind.min_span_s, span_kind.span_s),
        )
        interval_s = random.expovariate(1.0 / span_kind.mean_interval_s)
        at_s += span_kind.span_s + interval_s


def _plan_stops(random, *, start):
    """Yield SIGTERMs of different nodes beside pauses of engines.

    A pause begins from 1 s before the signal to 1.1 s after it, so that most end before
    the last sixth of a short grace period.
    """
    target = random.randrange(1_000)
    for number in range(N_PLANNED_STOPS):
        at_s = start + 1.0 + number * PLANNED_STOP_INTERVAL_S
        for _ in range(N_NODES_AT_ONCE):
            yield Fault(at_s=at_s, kind="term", target=target, length_s=0.0)
            target += 1
        yield Fault(
            at_s=at_s + random.uniform(-1.0, 1.1),
            kind="engine_pause",
            # Never of a single engine, which few streams of a node use.
            target=4 * random.randrange(250) + random.choice((1, 2, 3)),
            length_s=random.triangular(
                MIN_ENGINE_PAUSE_S, MAX_ENGINE_PAUSE_S, MAX_ENGINE_PAUSE_S
            ),
        )
