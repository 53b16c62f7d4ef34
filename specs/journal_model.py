"""Model of the journal protocol: one key, two writers, three attempts.

Attempts 0 and 2 belong to node 0, attempt 1 to node 1; each may be reserved
through either node, since both may believe that they write the shard. Messages
between nodes are instantaneous, a node that does not act is paused, and writes to
the key-value service wait in a network from which they may arrive at any time.

``check_journal.py`` holds the scenarios and the mutations.
"""

from collections import namedtuple
from functools import cache

OWNERS = (0, 1, 0)
Limits = namedtuple(
    "Limits", "attempts lost crashes folds outages asked_again copies positions"
)
NO_FAULTS = Limits(
    attempts=2,
    lost=0,
    crashes=0,
    folds=0,
    outages=0,
    asked_again=0,
    copies=1,
    positions=4,
)
# status: "" absent, R reserved, D done, N not sent, U unknown.
Entry = namedtuple("Entry", "status attempt")
View = namedtuple("View", "position meta entry")
Flight = namedtuple("Flight", "kind attempt position meta waiting doubtful")
Node = namedtuple("Node", "view flight pending")
# call: 0 not sent, 1 on its way, 2 executed, 3 dropped.
Attempt = namedtuple("Attempt", "phase call ending")
State = namedtuple(
    "State", "folded segment log meta nodes attempts network out was_done limits"
)
NOTHING = Entry("", -1)
IDLE = Node(None, None, ())
INITIAL = State(
    folded=0,
    segment=NOTHING,
    log=(),
    meta=0,
    nodes=(IDLE, IDLE),
    attempts=(Attempt("idle", 0, ""),) * 3,
    network=(),
    out=False,
    was_done=False,
    limits=NO_FAULTS,
)
NEXT = {"R": "DNU", "U": "D", "D": "", "N": "", "": ""}


def apply(entry, kind, attempt):
    """Apply one operation of a batch to the entry."""
    if kind == "R":
        return Entry("R", attempt)
    if entry.attempt == attempt and kind in NEXT[entry.status]:
        return Entry(kind, attempt)
    return entry


def durable(state):
    """Return the end of the log and the entry it implies."""
    return _durable(state.folded, state.segment, state.log)


@cache
def _durable(position, entry, log):
    for at, kind, attempt in log:
        if at == position + 1:
            position, entry = at, apply(entry, kind, attempt)
    return position, entry


def put(items, index, value):
    """Return a tuple with one item replaced."""
    return (*items[:index], value, *items[index + 1 :])


def set_node(state, n, **changes):
    """Return a state with one node changed."""
    return state._replace(nodes=put(state.nodes, n, state.nodes[n]._replace(**changes)))


def set_attempt(state, i, **changes):
    """Return a state with one attempt changed."""
    changed = state.attempts[i]._replace(**changes)
    return state._replace(attempts=put(state.attempts, i, changed))


def spend(state, name):
    """Return a state with one fault less to spend, or None."""
    left = getattr(state.limits, name)
    return (
        state._replace(limits=state.limits._replace(**{name: left - 1}))
        if left
        else None
    )


def queue(state, n, kind, attempt):
    """Queue an operation at a writer."""
    pending = tuple(sorted({*state.nodes[n].pending, (kind, attempt)}))
    return set_node(state, n, pending=pending)


def unqueue(state, n, operation):
    """Drop an operation from a writer's queue."""
    pending = tuple(op for op in state.nodes[n].pending if op != operation)
    return set_node(state, n, pending=pending)


def reply(state, i, status):
    """Let an entry node take the journal's answer to a reservation."""
    phase = state.attempts[i].phase
    if phase == "asking":
        new = {"reserved": "reserved", "unavailable": "not_run"}.get(status, "answered")
        ending = "N" if new == "not_run" and state.limits.asked_again == 0 else ""
        return set_attempt(state, i, phase=new, ending=ending)
    if status == "reserved" and phase == "not_run" and state.attempts[i].call == 0:
        return set_attempt(state, i, ending="N")
    return state


def entry_actions(state, mutation):
    """Yield what the entry nodes, their callers and the service may do."""
    for i, attempt in enumerate(state.attempts):
        phase, call, ending = attempt
        if i >= state.limits.attempts:
            continue
        if phase == "idle" and (i == 0 or state.attempts[i - 1].phase != "idle"):
            for n in (0, 1):
                asked = queue(set_attempt(state, i, phase="asking"), n, "R", i)
                yield f"ask {i} at {n}", asked
        if phase == "asking":
            again = spend(state, "asked_again")
            if again:
                for n in (0, 1):
                    yield f"ask {i} again at {n}", queue(again, n, "R", i)
        if phase in ("asking", "reserved"):
            yield f"give up {i}", set_attempt(state, i, phase="not_run", ending="N")
        if phase == "reserved":
            yield f"send {i}", set_attempt(state, i, phase="sent", call=1)
        if call == 1:
            yield f"execute {i}", set_attempt(state, i, call=2)
        if phase == "sent":
            if call == 2:
                yield f"complete {i}", set_attempt(state, i, phase="done", ending="D")
            broken = (
                ("not_run", "N")
                if mutation == "broken is not run"
                else ("unknown", "U")
            )
            yield f"break {i}", set_attempt(state, i, phase=broken[0], ending=broken[1])
            if call == 1:
                refused = set_attempt(state, i, phase="not_run", call=3, ending="N")
                yield f"refuse {i}", refused
        if ending and not is_reported(state, ending, i):
            for n in (0, 1):
                yield f"report {ending}{i} to {n}", queue(state, n, ending, i)


def is_reported(state, kind, i):
    """Tell whether an ending waits at a writer already."""
    return any(
        (kind, i) in node.pending or (node.flight and node.flight[:2] == (kind, i))
        for node in state.nodes
    )


def settle(state, n):
    """Settle a batch in doubt from the view that was read."""
    view, flight, _ = state.nodes[n]
    if flight and (view.position >= flight.position or view.meta != flight.meta):
        state = set_node(state, n, flight=None)
        return queue(state, n, flight.kind, flight.attempt)
    return state


def writer_actions(state, n, mutation):
    """Yield what a writer may do."""
    node = state.nodes[n]
    if not state.out and (node.pending or node.flight):
        position, entry = durable(state)
        view = View(position, state.meta, entry)
        yield f"read {n}", settle(set_node(state, n, view=view), n)
    if node.flight:
        flight = node.flight
        may_send = len(state.network) < state.limits.copies
        if node.view and not flight.waiting and may_send and not state.out:
            message = (n, *flight[:4])
            again = set_node(state, n, flight=flight._replace(waiting=True))
            network = tuple(sorted((*state.network, message)))
            yield f"send again {n}", again._replace(network=network)
        return
    if state.out:
        for kind, i in node.pending:
            if kind == "R":
                refused = unqueue(state, n, (kind, i))
                yield f"unavailable {i} at {n}", reply(refused, i, "unavailable")
    if node.view is None:
        return
    for operation in node.pending:
        yield from judge(state, n, operation, mutation)
    folding = spend(state, "folds")
    if folding and node.view.position > state.folded and not state.out:
        yield from fold(folding, n, mutation)


def judge(state, n, operation, mutation):
    """Yield how a writer judges a pending operation."""
    view, _, pending = state.nodes[n]
    kind, i = operation
    status, holder = view.entry
    rest = unqueue(state, n, operation)
    if kind != "R":
        if holder == i and kind in NEXT[status]:
            yield from write(rest, n, operation)
        elif view.position == durable(state)[0]:
            yield f"recorded {kind}{i} at {n}", rest
        return
    if ("N", i) in pending:
        yield f"unavailable {i} at {n}", reply(rest, i, "unavailable")
    elif status == "" or (status == "N" and holder != i):
        yield from write(rest, n, operation)
    elif holder == i:
        answer = "reserved" if status == "R" else "unavailable"
        yield f"{answer} {i} at {n}", reply(rest, i, answer)
    elif mutation == "an unknown call is sent again" and status in "RU":
        yield from write(rest, n, operation)
    else:
        lookup_frees = mutation == "a lookup that finds nothing frees the key"
        if lookup_frees and status in "RU" and state.attempts[holder].call != 2:
            yield f"free {holder}", set_attempt(state, holder, ending="N")
        yield f"answer {i} at {n}", reply(rest, i, "answered")


def write(state, n, operation):
    """Yield the append of a batch with one operation."""
    view = state.nodes[n].view
    if len(state.network) >= state.limits.copies or state.out:
        return
    if view.position >= state.limits.positions:
        return
    flight = Flight(*operation, view.position + 1, view.meta, True, False)
    sent = set_node(state, n, flight=flight)
    network = tuple(sorted((*state.network, (n, *flight[:4]))))
    yield f"write {operation[0]}{operation[1]} at {n}", sent._replace(network=network)


def fold(state, n, mutation):
    """Yield a fold, with its answer or without."""
    view = state.nodes[n].view
    if view.meta != state.meta:
        yield f"fold conflict {n}", set_node(state, n, view=None)
        return
    through = view.position
    if mutation == "a fold deletes batches it has not read":
        through = durable(state)[0]
    folded = state._replace(
        folded=through,
        segment=view.entry,
        log=tuple(batch for batch in state.log if batch[0] > through),
        meta=state.meta + 1,
    )
    yield f"fold {n}", set_node(folded, n, view=view._replace(meta=state.meta + 1))
    lost = spend(folded, "lost")
    if lost:
        yield f"fold {n}, answer lost", set_node(lost, n, view=None)


def network_actions(state, mutation):
    """Yield what may become of the writes under way."""
    for number, message in enumerate(state.network):
        n, kind, attempt, position, meta = message
        network = (*state.network[:number], *state.network[number + 1 :])
        rest = state._replace(network=network)
        taken = any(batch[0] == position for batch in state.log)
        holds = (not taken or mutation == "a taken position is overwritten") and (
            meta == state.meta or mutation == "a folded position is created again"
        )
        if holds:
            others = (batch for batch in state.log if batch[0] != position)
            log = tuple(sorted((*others, (position, kind, attempt))))
            rest = rest._replace(log=log)
        flight = state.nodes[n].flight
        waits = flight and flight.waiting and (n, *flight[:4]) == message
        if not waits:
            yield f"arrive late {kind}{attempt}", rest
            continue
        doubt = flight._replace(waiting=False, doubtful=True)
        if holds:
            view = state.nodes[n].view
            entry = apply(view.entry, kind, attempt) if view else None
            view = view and View(position, meta, entry)
            answered = set_node(rest, n, view=view, flight=None)
            if kind == "R":
                answered = reply(answered, attempt, "reserved")
            yield f"arrive {kind}{attempt}", answered
        else:
            yield (
                f"conflict {kind}{attempt}",
                set_node(rest, n, view=None, flight=doubt),
            )
        lost = spend(rest, "lost")
        if lost:
            yield (
                f"answer lost {kind}{attempt}",
                set_node(lost, n, view=None, flight=doubt),
            )
        late = spend(state, "lost")
        if late:
            yield f"timeout {kind}{attempt}", set_node(late, n, view=None, flight=doubt)
        if state.out and not flight.doubtful:
            refused = set_node(rest._replace(log=state.log), n, flight=None)
            yield f"unreachable {kind}{attempt}", queue(refused, n, kind, attempt)


def crash(state, n):
    """End a node's process; what it sent may still arrive."""
    state = state._replace(nodes=put(state.nodes, n, IDLE))
    for i, attempt in enumerate(state.attempts):
        if OWNERS[i] == n:
            ended = attempt.phase in ("asking", "reserved", "sent")
            phase = "dead" if ended else attempt.phase
            state = set_attempt(state, i, phase=phase, ending="")
    return state


def transitions(state, mutation):
    """Return all labelled successors of a state."""
    state = State(*state)
    found = list(entry_actions(state, mutation))
    for n in (0, 1):
        found += writer_actions(state, n, mutation)
        dying = spend(state, "crashes")
        if dying:
            found.append((f"crash {n}", crash(dying, n)))
    found += network_actions(state, mutation)
    if state.out:
        found.append(("outage ends", state._replace(out=False)))
    else:
        dark = spend(state, "outages")
        if dark:
            found.append(("outage", dark._replace(out=True)))
    return [(label, remember(after)) for label, after in found]


def remember(state):
    """Remember that a done answer was durable, and forget spent endings."""
    entry = durable(state)[1]
    if entry.status == "D" and not state.was_done:
        state = state._replace(was_done=True)
    for i, attempt in enumerate(state.attempts):
        written = entry.attempt == i and entry.status == attempt.ending
        if attempt.ending and written:
            state = set_attempt(state, i, ending="")
    return state


INVARIANTS = {
    "runs at most once": lambda s: sum(a.call == 2 for a in s["attempts"]) <= 1,
    "not run is true": lambda s: all(
        not (a.phase == "not_run" and a.call in (1, 2)) for a in s["attempts"]
    ),
    "a done answer is kept": lambda s: (
        not s["was_done"] or durable(State(**s))[1].status == "D"
    ),
}
