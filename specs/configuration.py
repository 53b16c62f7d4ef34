"""Models of accepting a configuration and of spreading it.

Run ``python specs/configuration.py`` for verdicts, state counts and times. Each
property has mutations of the protocol that the checker must refute.
"""

import sys
import time
from dataclasses import replace
from typing import NamedTuple

from minicheck import Protocol, check_safety

MAX_STATES = 2_000_000
BOUND = 3
NODES = (0, 1, 2)
# Only this node loses its connections; it is a minority of the three.
ISOLATED = 2


class Acceptance(NamedTuple):
    """Two operators change different answers, both starting from revision 1.

    ``holds`` are the changes in the accepted content, ``writers`` the author of each
    revision above the first. Per operator: ``phase``, the revision that its last
    read showed with the changes in it, and up to two requests in flight.
    """

    revision: int = 1
    holds: frozenset = frozenset()
    writers: tuple = ()
    down: bool = False
    phases: tuple = ("idle", "idle")
    reads: tuple = ((0, frozenset()), (0, frozenset()))
    flights: tuple = ((), ())
    n_sent: tuple = (0, 0)
    n_outages: int = 0


class Spread(NamedTuple):
    """A zone is withdrawn while nodes lag, one is cut off and the service fails.

    ``revision`` is the accepted one, ``withdrawn`` the first that withdraws the zone
    and ``since`` the seconds since it was accepted. Per node: the revision in force
    and the age of its confirmation, both in seconds up to the bound. ``read`` is a
    read under way on the isolated node: its age and what it will show.
    """

    revision: int = 1
    withdrawn: int = 0
    since: int = 0
    in_force: tuple = (1, 1, 1)
    ages: tuple = (0, 0, 0)
    down: bool = False
    cut: bool = False
    read: tuple = ()
    went_back: bool = False


def _put(values, index, value):
    return (*values[:index], value, *values[index + 1 :])


def acceptance(mutation=""):
    """Build the model of acceptance.

    Parameters
    ----------
    mutation : str
        ``no_compare``, ``no_merge``, ``unknown_is_failed``, ``settle_by_revision``,
        ``unreached_is_failed`` or empty for the protocol.

    Returns
    -------
    Protocol
        The model with its invariants.
    """

    def step(state, operator):
        phase, (seen, changes) = state.phases[operator], state.reads[operator]

        def to(phase, **more):
            return state._replace(phases=_put(state.phases, operator, phase), **more)

        if phase in ("idle", "unknown") and not state.down:
            won = operator in state.writers
            if mutation == "settle_by_revision" and phase == "unknown":
                won = state.revision > seen
            if phase == "unknown" and won:
                yield "settle", to("ok")
            else:
                read = (state.revision, state.holds)
                yield "read", to("ready", reads=_put(state.reads, operator, read))
        if phase == "ready" and state.n_sent[operator] < 2:
            merged = frozenset() if mutation == "no_merge" else changes
            request = (seen, merged | {operator})
            flight = (*state.flights[operator], request)
            yield (
                "send",
                to(
                    "sent",
                    flights=_put(state.flights, operator, flight),
                    n_sent=_put(state.n_sent, operator, state.n_sent[operator] + 1),
                ),
            )
        if phase == "sent":
            lost = "failed" if mutation == "unknown_is_failed" else "unknown"
            yield "answer_lost", to(lost)
        for number, (compare, holds) in enumerate(state.flights[operator]):
            rest = _put(state.flights, operator, _without(state, operator, number))
            newest = number == len(state.flights[operator]) - 1
            answered = phase == "sent" and newest
            if state.down:
                # An earlier request may have been accepted meanwhile.
                sure = state.n_sent[operator] == 1 or mutation == "unreached_is_failed"
                told = "failed" if sure else "unknown"
                after = (
                    to(told, flights=rest)
                    if answered
                    else (state._replace(flights=rest))
                )
                yield "unreachable", after
            elif compare == state.revision or mutation == "no_compare":
                written = {
                    "revision": state.revision + 1,
                    "holds": holds,
                    "writers": (*state.writers, operator),
                    "flights": rest,
                }
                yield "accept", state._replace(**written)
                if answered:
                    yield "accept_and_answer", to("ok", **written)
            else:
                yield "conflict", state._replace(flights=rest)
                if answered:
                    yield "conflict_and_answer", to("idle", flights=rest)

    def transitions(values):
        state = Acceptance(*values)
        for operator in (0, 1):
            for label, after in step(state, operator):
                yield f"{label}_{operator}", tuple(after)
        if state.down:
            yield "service_up", tuple(state._replace(down=False))
        elif state.n_outages < 1:
            after = state._replace(down=True, n_outages=state.n_outages + 1)
            yield "service_down", tuple(after)

    return Protocol(
        name=f"acceptance {mutation}".strip(),
        candidate=False,
        fields=Acceptance._fields,
        initial=tuple(Acceptance()),
        transitions=lambda values: list(transitions(values)),
        invariants={
            "no_accepted_change_is_lost": lambda state: (
                set(state["writers"]) <= state["holds"]
            ),
            "a_change_is_accepted_once": lambda state: (
                len(set(state["writers"])) == len(state["writers"])
            ),
            "operators_are_told_the_truth": lambda state: all(
                not (phase == "failed" and operator in state["writers"])
                and not (phase == "ok" and operator not in state["writers"])
                for operator, phase in enumerate(state["phases"])
            ),
        },
    )


def _without(state, operator, number):
    flights = state.flights[operator]
    return (*flights[:number], *flights[number + 1 :])


def spread(mutation="", *, n_revisions=3):
    """Build the model of spreading.

    Parameters
    ----------
    mutation : str
        ``adopt_lower``, ``never_isolated``, ``confirm_any_revision``,
        ``confirm_at_end_of_read``, ``majority_although_behind``, ``no_push`` or
        empty for the protocol.
    n_revisions : int
        How many revisions are accepted at most.

    Returns
    -------
    Protocol
        The model with its invariants.
    """

    def adopt(state, node, offered):
        before = state.in_force[node]
        after = offered if mutation == "adopt_lower" else max(before, offered)
        return state._replace(
            in_force=_put(state.in_force, node, after),
            went_back=state.went_back or after < before,
        )

    def confirm(state, node, revision, age):
        if state.in_force[node] < revision and mutation != "confirm_any_revision":
            return state
        age = min(state.ages[node], age)
        return state._replace(ages=_put(state.ages, node, age))

    def reachable(state, node):
        return not (state.cut and node == ISOLATED)

    def transitions(state):
        if not state.down and state.revision < n_revisions:
            after = state._replace(revision=state.revision + 1)
            yield "accept_other_change", after
            if not state.withdrawn:
                yield "accept_withdrawal", after._replace(withdrawn=after.revision)
        yield from _reads(state)
        for node in NODES:
            if not reachable(state, node):
                continue
            # A lagging watch, a delayed message or the operator's push.
            for revision in range(1, state.revision + 1):
                yield f"offer_{revision}_to_{node}", adopt(state, node, revision)
            for peer in NODES:
                if peer != node and reachable(state, peer):
                    yield f"gossip_{peer}_to_{node}", _gossip(state, peer, node)
        yield (
            "service_up" if state.down else "service_down",
            state._replace(down=not state.down),
        )
        yield "heal" if state.cut else "cut", state._replace(cut=not state.cut)
        if _push_is_done(state):
            yield "second", _pass_second(state)

    def _reads(state):
        if not state.down:
            after = adopt(state, 0, state.revision)
            yield "read_by_0", confirm(after, 0, state.revision, 0)
            if state.read == () and reachable(state, ISOLATED):
                yield "start_read", state._replace(read=(0, state.revision))
        # The answer may have been under way when the connections were lost.
        if state.read:
            age, revision = state.read
            if mutation == "confirm_at_end_of_read":
                age = 0
            after = adopt(state, ISOLATED, revision)
            yield (
                "end_read",
                confirm(after, ISOLATED, revision, age)._replace(read=()),
            )

    def _gossip(state, peer, node):
        # The age is taken before the content is fetched, so it may confirm nothing.
        return confirm(state, node, state.in_force[peer], state.ages[peer])

    def _push_is_done(state):
        if mutation == "no_push" or not state.withdrawn or state.since > 0:
            return True
        return all(
            state.in_force[node] >= state.withdrawn
            for node in NODES
            if reachable(state, node)
        )

    def _pass_second(state):
        older = tuple(min(age + 1, BOUND) for age in state.ages)
        since = min(state.since + 1, BOUND) if state.withdrawn else 0
        read = (min(state.read[0] + 1, BOUND), state.read[1]) if state.read else ()
        return state._replace(ages=older, since=since, read=read)

    def serves(state, node):
        if state.ages[node] < BOUND or mutation == "never_isolated":
            return True
        heard = [peer for peer in NODES if reachable(state, peer)]
        if node not in heard or len(heard) * 2 <= len(NODES):
            return False
        newest = max(state.in_force[peer] for peer in heard)
        return state.in_force[node] >= newest or mutation == "majority_although_behind"

    def no_late_work(values):
        state = Spread(**values)
        return (
            not state.withdrawn
            or state.since < BOUND
            or all(
                state.in_force[node] >= state.withdrawn or not serves(state, node)
                for node in NODES
            )
        )

    return Protocol(
        name=f"spread {mutation}".strip(),
        candidate=False,
        fields=Spread._fields,
        initial=Spread(),
        transitions=lambda values: [
            (label, after) for label, after in transitions(values) if after != values
        ],
        invariants={
            "a_revision_never_goes_back": lambda state: not state["went_back"],
            "no_new_work_in_a_withdrawn_zone_after_the_bound": no_late_work,
        },
    )


# What must be refuted, with the property that it breaks.
MUTATIONS = (
    (acceptance, "no_compare", "no_accepted_change_is_lost"),
    (acceptance, "no_merge", "no_accepted_change_is_lost"),
    (acceptance, "no_compare", "a_change_is_accepted_once"),
    (acceptance, "unknown_is_failed", "operators_are_told_the_truth"),
    (acceptance, "settle_by_revision", "operators_are_told_the_truth"),
    (acceptance, "unreached_is_failed", "operators_are_told_the_truth"),
    (spread, "adopt_lower", "a_revision_never_goes_back"),
    (spread, "never_isolated", "no_new_work_in_a_withdrawn_zone_after_the_bound"),
    (spread, "confirm_any_revision", "no_new_work_in_a_withdrawn_zone_after_the_bound"),
    (
        spread,
        "confirm_at_end_of_read",
        "no_new_work_in_a_withdrawn_zone_after_the_bound",
    ),
    (
        spread,
        "majority_although_behind",
        "no_new_work_in_a_withdrawn_zone_after_the_bound",
    ),
    (spread, "no_push", "no_new_work_in_a_withdrawn_zone_after_the_bound"),
)


def run(build, mutation="", *, refute="", **sizes):
    """Check a model.

    Parameters
    ----------
    build : callable
        `acceptance` or `spread`.
    mutation : str
        The mutation, empty for the protocol.
    refute : str
        A property; the search ends with its first violation, which stands although
        the search is then not exhaustive.
    **sizes : int
        Bounds of the model.

    Returns
    -------
    tuple of (dict, float)
        The result of `minicheck` and the seconds it took.
    """
    started_at = time.perf_counter()
    model = build(mutation, **sizes)
    if refute:
        model = _ending_with(model, refute)
    return check_safety(model, max_states=MAX_STATES), time.perf_counter() - started_at


def _ending_with(model, name):
    violated = []

    def invariant(state):
        holds = model.invariants[name](state)
        if not holds:
            violated.append(state)
        return holds

    return replace(
        model,
        transitions=lambda state: [] if violated else model.transitions(state),
        invariants={name: invariant},
    )


def main():
    """Print verdict, states and time of each model and mutation."""
    failed = False
    for build in (acceptance, spread):
        result, seconds = run(build)
        for name, found in result["properties"].items():
            verdict = "proved" if found["holds"] else "FAILED"
            failed = failed or not found["holds"]
            print(f"{verdict:<8} {build.__name__}: {name}")
        print(f"         {result['reachable_states']} states, {seconds:.1f} s")
    for build, mutation, name in MUTATIONS:
        result, seconds = run(build, mutation, refute=name)
        refuted = result["properties"][name]["holds"] is False
        failed = failed or not refuted
        verdict = "refuted" if refuted else "FAILED"
        n_states = result["reachable_states"]
        print(f"{verdict:<8} {build.__name__}, {mutation}: {name}")
        print(f"         {n_states} states, {seconds:.1f} s")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
