"""Model of the journal protocol: one key, two writers, three attempts.

Node 0 is the entry node of attempts 0 and 2, node 1 that of attempt 1. Each attempt
may be reserved through either node, since both may assume that they are the writer of
the shard. Messages between nodes are delivered at once, a node that takes no step is
paused, and writes to the key-value service may stay in the network for any time.

In the functions, ``n`` is the number of a node and ``i`` the number of an attempt.
``check_journal.py`` defines the scenarios and the mutations.
"""

from collections import namedtuple
from functools import cache

# The entry node of each attempt.
ENTRY_NODES = (0, 1, 0)
# How many attempts are made and how often each fault or step may occur;
# ``max_in_flight`` limits the writes in the network, ``max_positions`` the log.
Limits = namedtuple(
    "Limits",
    "attempts lost_responses crashes folds outages repeated_reservations "
    "max_in_flight max_positions",
)
NO_FAULTS = Limits(
    attempts=2,
    lost_responses=0,
    crashes=0,
    folds=0,
    outages=0,
    repeated_reservations=0,
    max_in_flight=1,
    max_positions=4,
)
# ``status`` is "" absent, "R" reserved, "D" done, "N" not sent or "U" unknown.
Entry = namedtuple("Entry", "status attempt")
# What a writer read last: the end of the log, the revision of the meta key, the entry.
View = namedtuple("View", "position meta entry")
# A batch that was sent and is not settled. ``may_be_written`` tells whether an earlier
# send of it had no successful response, so that it may have been written.
InFlightBatch = namedtuple(
    "InFlightBatch", "kind attempt position meta awaiting_response may_be_written"
)
# ``pending`` holds the operations, as (kind, attempt), that the node has to write.
Node = namedtuple("Node", "view in_flight pending")
# ``call`` is 0 not sent, 1 in flight, 2 executed or 3 refused. ``outcome`` is a status
# that the entry node has to report to the journal, or "".
Attempt = namedtuple("Attempt", "phase call outcome")
# ``folded_through`` is the last folded position, ``segment`` the entry up to there.
State = namedtuple(
    "State",
    "folded_through segment log meta nodes attempts network service_down "
    "done_was_durable limits",
)
ABSENT_ENTRY = Entry("", -1)
IDLE = Node(None, None, ())
INITIAL = State(
    folded_through=0,
    segment=ABSENT_ENTRY,
    log=(),
    meta=0,
    nodes=(IDLE, IDLE),
    attempts=(Attempt("idle", 0, ""),) * 3,
    network=(),
    service_down=False,
    done_was_durable=False,
    limits=NO_FAULTS,
)
# The outcomes that may follow a status for the attempt that holds the key.
NEXT_STATUSES = {"R": "DNU", "U": "D", "D": "", "N": "", "": ""}


def apply(entry, kind, attempt):
    """Apply one operation of a batch to the entry."""
    if kind == "R":
        return Entry("R", attempt)
    if entry.attempt == attempt and kind in NEXT_STATUSES[entry.status]:
        return Entry(kind, attempt)
    return entry


def durable(state):
    """Return the last position of the log and the entry that results from it."""
    return _durable(state.folded_through, state.segment, state.log)


@cache
def _durable(position, entry, log):
    for at, kind, attempt in log:
        if at == position + 1:
            position, entry = at, apply(entry, kind, attempt)
    return position, entry


def replace_item(items, index, value):
    """Return a copy of a tuple with one item replaced."""
    return (*items[:index], value, *items[index + 1 :])


def set_node(state, n, **changes):
    """Return a copy of the state with one node changed."""
    return state._replace(
        nodes=replace_item(state.nodes, n, state.nodes[n]._replace(**changes))
    )


def set_attempt(state, i, **changes):
    """Return a copy of the state with one attempt changed."""
    changed = state.attempts[i]._replace(**changes)
    return state._replace(attempts=replace_item(state.attempts, i, changed))


def consume_limit(state, name):
    """Return the state with a limit reduced by one, or None if it is used up."""
    remaining = getattr(state.limits, name)
    return (
        state._replace(limits=state.limits._replace(**{name: remaining - 1}))
        if remaining
        else None
    )


def enqueue(state, n, kind, attempt):
    """Add an operation to a writer's queue."""
    pending = tuple(sorted({*state.nodes[n].pending, (kind, attempt)}))
    return set_node(state, n, pending=pending)


def dequeue(state, n, operation):
    """Remove an operation from a writer's queue."""
    pending = tuple(op for op in state.nodes[n].pending if op != operation)
    return set_node(state, n, pending=pending)


def apply_reservation_reply(state, i, status):
    """Apply the journal's reply to a reservation at the entry node."""
    phase = state.attempts[i].phase
    if phase == "reserving":
        new_phase = {"reserved": "reserved", "unavailable": "not_run"}.get(
            status, "answered"
        )
        outcome = (
            "N"
            if new_phase == "not_run" and state.limits.repeated_reservations == 0
            else ""
        )
        return set_attempt(state, i, phase=new_phase, outcome=outcome)
    if status == "reserved" and phase == "not_run" and state.attempts[i].call == 0:
        return set_attempt(state, i, outcome="N")
    return state


def entry_actions(state, mutation):
    """Yield the steps of the entry nodes, their callers and the endpoint."""
    for i, attempt in enumerate(state.attempts):
        phase, call, outcome = attempt
        if i >= state.limits.attempts:
            continue
        if phase == "idle" and (i == 0 or state.attempts[i - 1].phase != "idle"):
            for n in (0, 1):
                reserving = enqueue(set_attempt(state, i, phase="reserving"), n, "R", i)
                yield f"reserve {i} at {n}", reserving
        if phase == "reserving":
            repeated = consume_limit(state, "repeated_reservations")
            if repeated:
                for n in (0, 1):
                    yield f"reserve {i} again at {n}", enqueue(repeated, n, "R", i)
        if phase in ("reserving", "reserved"):
            yield f"give up {i}", set_attempt(state, i, phase="not_run", outcome="N")
        if phase == "reserved":
            yield f"send {i}", set_attempt(state, i, phase="sent", call=1)
        if call == 1:
            yield f"execute {i}", set_attempt(state, i, call=2)
        if phase == "sent":
            if call == 2:
                yield f"complete {i}", set_attempt(state, i, phase="done", outcome="D")
            broken_outcome = (
                ("not_run", "N")
                if mutation == "a broken call counts as not run"
                else ("unknown", "U")
            )
            yield (
                f"break {i}",
                set_attempt(
                    state, i, phase=broken_outcome[0], outcome=broken_outcome[1]
                ),
            )
            if call == 1:
                refused = set_attempt(state, i, phase="not_run", call=3, outcome="N")
                yield f"refuse {i}", refused
        if outcome and not is_outcome_enqueued(state, outcome, i):
            for n in (0, 1):
                yield f"report {outcome}{i} to {n}", enqueue(state, n, outcome, i)


def is_outcome_enqueued(state, kind, i):
    """Tell whether a writer already has the outcome queued or in flight."""
    return any(
        (kind, i) in node.pending
        or (node.in_flight and node.in_flight[:2] == (kind, i))
        for node in state.nodes
    )


def settle_in_doubt(state, n):
    """Enqueue an unsettled batch again if the view shows that its write is decided."""
    view, in_flight, _ = state.nodes[n]
    if in_flight and (
        view.position >= in_flight.position or view.meta != in_flight.meta
    ):
        state = set_node(state, n, in_flight=None)
        return enqueue(state, n, in_flight.kind, in_flight.attempt)
    return state


def writer_actions(state, n, mutation):
    """Yield the steps of a writer."""
    node = state.nodes[n]
    if not state.service_down and (node.pending or node.in_flight):
        position, entry = durable(state)
        view = View(position, state.meta, entry)
        yield f"read {n}", settle_in_doubt(set_node(state, n, view=view), n)
    if node.in_flight:
        in_flight = node.in_flight
        may_send = len(state.network) < state.limits.max_in_flight
        if (
            node.view
            and not in_flight.awaiting_response
            and may_send
            and not state.service_down
        ):
            message = (n, *in_flight[:4])
            repeated = set_node(
                state, n, in_flight=in_flight._replace(awaiting_response=True)
            )
            network = tuple(sorted((*state.network, message)))
            yield f"send again {n}", repeated._replace(network=network)
        return
    if state.service_down:
        for kind, i in node.pending:
            if kind == "R":
                refused = dequeue(state, n, (kind, i))
                yield (
                    f"unavailable {i} at {n}",
                    apply_reservation_reply(refused, i, "unavailable"),
                )
    if node.view is None:
        return
    for operation in node.pending:
        yield from decide(state, n, operation, mutation)
    with_fold = consume_limit(state, "folds")
    if (
        with_fold
        and node.view.position > state.folded_through
        and not state.service_down
    ):
        yield from fold(with_fold, n, mutation)


def decide(state, n, operation, mutation):
    """Yield the ways in which a writer may handle a pending operation."""
    view, _, pending = state.nodes[n]
    kind, i = operation
    status, holder = view.entry
    without_operation = dequeue(state, n, operation)
    if kind != "R":
        if holder == i and kind in NEXT_STATUSES[status]:
            yield from write(without_operation, n, operation)
        elif view.position == durable(state)[0]:
            yield f"recorded {kind}{i} at {n}", without_operation
        return
    if ("N", i) in pending:
        yield (
            f"unavailable {i} at {n}",
            apply_reservation_reply(without_operation, i, "unavailable"),
        )
    elif status == "" or (status == "N" and holder != i):
        yield from write(without_operation, n, operation)
    elif holder == i:
        answer = "reserved" if status == "R" else "unavailable"
        yield (
            f"{answer} {i} at {n}",
            apply_reservation_reply(without_operation, i, answer),
        )
    elif mutation == "an unknown call is sent again" and status in "RU":
        yield from write(without_operation, n, operation)
    else:
        lookup_frees = mutation == "a lookup that finds nothing frees the key"
        if lookup_frees and status in "RU" and state.attempts[holder].call != 2:
            yield f"free {holder}", set_attempt(state, holder, outcome="N")
        yield (
            f"answer {i} at {n}",
            apply_reservation_reply(without_operation, i, "answered"),
        )


def write(state, n, operation):
    """Yield the append of a batch that contains one operation."""
    view = state.nodes[n].view
    if len(state.network) >= state.limits.max_in_flight or state.service_down:
        return
    if view.position >= state.limits.max_positions:
        return
    in_flight = InFlightBatch(*operation, view.position + 1, view.meta, True, False)
    sent = set_node(state, n, in_flight=in_flight)
    network = tuple(sorted((*state.network, (n, *in_flight[:4]))))
    yield f"write {operation[0]}{operation[1]} at {n}", sent._replace(network=network)


def fold(state, n, mutation):
    """Yield a fold, with its response received or lost."""
    view = state.nodes[n].view
    if view.meta != state.meta:
        yield f"fold conflict {n}", set_node(state, n, view=None)
        return
    last_position = view.position
    if mutation == "a fold deletes batches it has not read":
        last_position = durable(state)[0]
    folded = state._replace(
        folded_through=last_position,
        segment=view.entry,
        log=tuple(batch for batch in state.log if batch[0] > last_position),
        meta=state.meta + 1,
    )
    yield f"fold {n}", set_node(folded, n, view=view._replace(meta=state.meta + 1))
    response_lost = consume_limit(folded, "lost_responses")
    if response_lost:
        yield f"fold {n}, response lost", set_node(response_lost, n, view=None)


def network_actions(state, mutation):
    """Yield what may happen to the writes in flight."""
    for number, message in enumerate(state.network):
        n, kind, attempt, position, meta = message
        network = (*state.network[:number], *state.network[number + 1 :])
        after = state._replace(network=network)
        position_taken = any(batch[0] == position for batch in state.log)
        is_written = (
            not position_taken or mutation == "a taken position is overwritten"
        ) and (meta == state.meta or mutation == "a folded position is created again")
        if is_written:
            others = (batch for batch in state.log if batch[0] != position)
            log = tuple(sorted((*others, (position, kind, attempt))))
            after = after._replace(log=log)
        in_flight = state.nodes[n].in_flight
        is_awaited = (
            in_flight and in_flight.awaiting_response and (n, *in_flight[:4]) == message
        )
        if not is_awaited:
            yield f"arrive late {kind}{attempt}", after
            continue
        unresolved = in_flight._replace(awaiting_response=False, may_be_written=True)
        if is_written:
            view = state.nodes[n].view
            entry = apply(view.entry, kind, attempt) if view else None
            view = view and View(position, meta, entry)
            answered = set_node(after, n, view=view, in_flight=None)
            if kind == "R":
                answered = apply_reservation_reply(answered, attempt, "reserved")
            yield f"arrive {kind}{attempt}", answered
        else:
            yield (
                f"conflict {kind}{attempt}",
                set_node(after, n, view=None, in_flight=unresolved),
            )
        response_lost = consume_limit(after, "lost_responses")
        if response_lost:
            yield (
                f"response lost {kind}{attempt}",
                set_node(response_lost, n, view=None, in_flight=unresolved),
            )
        timed_out = consume_limit(state, "lost_responses")
        if timed_out:
            yield (
                f"timeout {kind}{attempt}",
                set_node(timed_out, n, view=None, in_flight=unresolved),
            )
        if state.service_down and not in_flight.may_be_written:
            refused = set_node(after._replace(log=state.log), n, in_flight=None)
            yield f"unreachable {kind}{attempt}", enqueue(refused, n, kind, attempt)


def crash(state, n):
    """Crash a node; the writes that it sent may still arrive."""
    state = state._replace(nodes=replace_item(state.nodes, n, IDLE))
    for i, attempt in enumerate(state.attempts):
        if ENTRY_NODES[i] == n:
            ended = attempt.phase in ("reserving", "reserved", "sent")
            phase = "crashed" if ended else attempt.phase
            state = set_attempt(state, i, phase=phase, outcome="")
    return state


def transitions(state, mutation):
    """Return all successors of a state with their labels."""
    state = State(*state)
    found = list(entry_actions(state, mutation))
    for n in (0, 1):
        found += writer_actions(state, n, mutation)
        crashing = consume_limit(state, "crashes")
        if crashing:
            found.append((f"crash {n}", crash(crashing, n)))
    found += network_actions(state, mutation)
    if state.service_down:
        found.append(("outage ends", state._replace(service_down=False)))
    else:
        with_outage = consume_limit(state, "outages")
        if with_outage:
            found.append(("outage", with_outage._replace(service_down=True)))
    return [(label, record_durable(after)) for label, after in found]


def record_durable(state):
    """Note that a done response was durable, and clear outcomes that are written."""
    entry = durable(state)[1]
    if entry.status == "D" and not state.done_was_durable:
        state = state._replace(done_was_durable=True)
    for i, attempt in enumerate(state.attempts):
        written = entry.attempt == i and entry.status == attempt.outcome
        if attempt.outcome and written:
            state = set_attempt(state, i, outcome="")
    return state


INVARIANTS = {
    "runs at most once": lambda s: sum(a.call == 2 for a in s["attempts"]) <= 1,
    "a call reported as not run did not run": lambda s: all(
        not (a.phase == "not_run" and a.call in (1, 2)) for a in s["attempts"]
    ),
    "a done response is kept": lambda s: (
        not s["done_was_durable"] or durable(State(**s))[1].status == "D"
    ),
}
