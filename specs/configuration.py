"""Models of how a configuration is accepted and how it spreads to the nodes.

Run ``python specs/configuration.py`` to print verdicts, state counts and times. For
each property there are mutations of the protocol that the checker must refute.
"""

import sys
import time
from dataclasses import replace
from typing import NamedTuple

from minicheck import Protocol, check_safety

MAX_STATES = 2_000_000
BOUND_S = 3
NODES = (0, 1, 2)
# Only this node loses its connections, so it is a minority of the three.
ISOLATED_NODE = 2


class Acceptance(NamedTuple):
    """State of acceptance: two operators change different answers from revision 1.

    ``content`` is the set of changes in the accepted content, each named by its
    operator, and ``authors`` lists the author of each revision above the first. Per
    operator there are the phase, the revision and content returned by the last read,
    up to two requests in flight, and the number of requests sent.
    """

    revision: int = 1
    content: frozenset = frozenset()
    authors: tuple = ()
    service_down: bool = False
    phases: tuple = ("idle", "idle")
    last_reads: tuple = ((0, frozenset()), (0, frozenset()))
    in_flight: tuple = ((), ())
    n_sent: tuple = (0, 0)
    n_outages: int = 0


class Spread(NamedTuple):
    """State of spreading: a zone is withdrawn during lag, isolation and outages.

    ``revision`` is the accepted revision, ``withdrawn`` the first revision that
    withdraws the zone, 0 for none, and ``withdrawn_for`` the seconds since that
    revision was accepted. Per node there are the revision in force and the age of its
    confirmation. ``pending_read`` is a read in progress on the isolated node: its age
    and the revision that it will return. Ages and ``withdrawn_for`` are in seconds and
    are capped at the bound.
    """

    revision: int = 1
    withdrawn: int = 0
    withdrawn_for: int = 0
    in_force: tuple = (1, 1, 1)
    confirmation_ages: tuple = (0, 0, 0)
    service_down: bool = False
    is_isolated: bool = False
    pending_read: tuple = ()
    revision_decreased: bool = False


def _put(values, index, value):
    return (*values[:index], value, *values[index + 1 :])


def acceptance(mutation=""):
    """Build the model of how changes by two operators are accepted.

    Parameters
    ----------
    mutation : str
        ``no_compare``, ``no_merge``, ``unknown_is_failed``, ``settle_by_revision``,
        ``unreached_is_failed``, or empty for the unchanged protocol.

    Returns
    -------
    Protocol
        The model with its invariants.
    """

    def step(state, operator):
        phase, (base_revision, changes) = (
            state.phases[operator],
            state.last_reads[operator],
        )

        def with_phase(phase, **fields):
            return state._replace(phases=_put(state.phases, operator, phase), **fields)

        if phase in ("idle", "unknown") and not state.service_down:
            was_accepted = operator in state.authors
            if mutation == "settle_by_revision" and phase == "unknown":
                was_accepted = state.revision > base_revision
            if phase == "unknown" and was_accepted:
                yield "settle", with_phase("ok")
            else:
                read = (state.revision, state.content)
                yield (
                    "read",
                    with_phase(
                        "ready", last_reads=_put(state.last_reads, operator, read)
                    ),
                )
        if phase == "ready" and state.n_sent[operator] < 2:
            merged = frozenset() if mutation == "no_merge" else changes
            request = (base_revision, merged | {operator})
            requests = (*state.in_flight[operator], request)
            yield (
                "send",
                with_phase(
                    "sent",
                    in_flight=_put(state.in_flight, operator, requests),
                    n_sent=_put(state.n_sent, operator, state.n_sent[operator] + 1),
                ),
            )
        if phase == "sent":
            lost = "failed" if mutation == "unknown_is_failed" else "unknown"
            yield "response_lost", with_phase(lost)
        for number, (expected_revision, content) in enumerate(
            state.in_flight[operator]
        ):
            remaining = _put(
                state.in_flight, operator, _without(state, operator, number)
            )
            newest = number == len(state.in_flight[operator]) - 1
            gets_response = phase == "sent" and newest
            if state.service_down:
                # An earlier request may have been accepted in the meantime.
                is_certain = (
                    state.n_sent[operator] == 1 or mutation == "unreached_is_failed"
                )
                outcome = "failed" if is_certain else "unknown"
                after = (
                    with_phase(outcome, in_flight=remaining)
                    if gets_response
                    else (state._replace(in_flight=remaining))
                )
                yield "unreachable", after
            elif expected_revision == state.revision or mutation == "no_compare":
                written = {
                    "revision": state.revision + 1,
                    "content": content,
                    "authors": (*state.authors, operator),
                    "in_flight": remaining,
                }
                yield "accept", state._replace(**written)
                if gets_response:
                    yield "accept_and_respond", with_phase("ok", **written)
            else:
                yield "conflict", state._replace(in_flight=remaining)
                if gets_response:
                    yield (
                        "conflict_and_respond",
                        with_phase("idle", in_flight=remaining),
                    )

    def transitions(values):
        state = Acceptance(*values)
        for operator in (0, 1):
            for label, after in step(state, operator):
                yield f"{label}_{operator}", tuple(after)
        if state.service_down:
            yield "service_up", tuple(state._replace(service_down=False))
        elif state.n_outages < 1:
            after = state._replace(service_down=True, n_outages=state.n_outages + 1)
            yield "service_down", tuple(after)

    return Protocol(
        name=f"acceptance {mutation}".strip(),
        candidate=False,
        fields=Acceptance._fields,
        initial=tuple(Acceptance()),
        transitions=lambda values: list(transitions(values)),
        invariants={
            "no_accepted_change_is_lost": lambda state: (
                set(state["authors"]) <= state["content"]
            ),
            "a_change_is_accepted_once": lambda state: (
                len(set(state["authors"])) == len(state["authors"])
            ),
            "operators_are_told_the_truth": lambda state: all(
                not (phase == "failed" and operator in state["authors"])
                and not (phase == "ok" and operator not in state["authors"])
                for operator, phase in enumerate(state["phases"])
            ),
        },
    )


def _without(state, operator, number):
    in_flight = state.in_flight[operator]
    return (*in_flight[:number], *in_flight[number + 1 :])


def spread(mutation="", *, n_revisions=3):
    """Build the model of how an accepted configuration spreads to the nodes.

    Parameters
    ----------
    mutation : str
        ``adopt_lower``, ``never_isolated``, ``confirm_any_revision``,
        ``confirm_at_end_of_read``, ``majority_although_behind``, ``no_push``,
        or empty for the unchanged protocol.
    n_revisions : int
        Maximum number of accepted revisions, including the first.

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
            revision_decreased=state.revision_decreased or after < before,
        )

    def confirm(state, node, revision, age):
        if state.in_force[node] < revision and mutation != "confirm_any_revision":
            return state
        age = min(state.confirmation_ages[node], age)
        return state._replace(
            confirmation_ages=_put(state.confirmation_ages, node, age)
        )

    def reachable(state, node):
        return not (state.is_isolated and node == ISOLATED_NODE)

    def transitions(state):
        if not state.service_down and state.revision < n_revisions:
            after = state._replace(revision=state.revision + 1)
            yield "accept_other_change", after
            if not state.withdrawn:
                yield "accept_withdrawal", after._replace(withdrawn=after.revision)
        yield from _reads(state)
        for node in NODES:
            if not reachable(state, node):
                continue
            # Offered by a lagging watch, a delayed message or the operator's push.
            for revision in range(1, state.revision + 1):
                yield f"offer_{revision}_to_{node}", adopt(state, node, revision)
            for peer in NODES:
                if peer != node and reachable(state, peer):
                    yield f"gossip_{peer}_to_{node}", _gossip(state, peer, node)
        yield (
            "service_up" if state.service_down else "service_down",
            state._replace(service_down=not state.service_down),
        )
        yield (
            "reconnect" if state.is_isolated else "isolate",
            state._replace(is_isolated=not state.is_isolated),
        )
        if _push_has_finished(state):
            yield "second", _advance_second(state)

    def _reads(state):
        if not state.service_down:
            after = adopt(state, 0, state.revision)
            yield "read_by_0", confirm(after, 0, state.revision, 0)
            if state.pending_read == () and reachable(state, ISOLATED_NODE):
                yield "start_read", state._replace(pending_read=(0, state.revision))
        # The response may have been in transit when the connections were lost.
        if state.pending_read:
            age, revision = state.pending_read
            if mutation == "confirm_at_end_of_read":
                age = 0
            after = adopt(state, ISOLATED_NODE, revision)
            yield (
                "end_read",
                confirm(after, ISOLATED_NODE, revision, age)._replace(pending_read=()),
            )

    def _gossip(state, peer, node):
        # The age is taken before the content is fetched, so the node may not yet have
        # the revision that it would confirm.
        return confirm(state, node, state.in_force[peer], state.confirmation_ages[peer])

    def _push_has_finished(state):
        if mutation == "no_push" or not state.withdrawn or state.withdrawn_for > 0:
            return True
        return all(
            state.in_force[node] >= state.withdrawn
            for node in NODES
            if reachable(state, node)
        )

    def _advance_second(state):
        older = tuple(min(age + 1, BOUND_S) for age in state.confirmation_ages)
        withdrawn_for = min(state.withdrawn_for + 1, BOUND_S) if state.withdrawn else 0
        pending_read = (
            (min(state.pending_read[0] + 1, BOUND_S), state.pending_read[1])
            if state.pending_read
            else ()
        )
        return state._replace(
            confirmation_ages=older,
            withdrawn_for=withdrawn_for,
            pending_read=pending_read,
        )

    def serves(state, node):
        if state.confirmation_ages[node] < BOUND_S or mutation == "never_isolated":
            return True
        reachable_peers = [peer for peer in NODES if reachable(state, peer)]
        if node not in reachable_peers or len(reachable_peers) * 2 <= len(NODES):
            return False
        newest = max(state.in_force[peer] for peer in reachable_peers)
        return state.in_force[node] >= newest or mutation == "majority_although_behind"

    def no_late_work(values):
        state = Spread(**values)
        return (
            not state.withdrawn
            or state.withdrawn_for < BOUND_S
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
            "a_revision_never_goes_back": lambda state: not state["revision_decreased"],
            "no_new_work_in_a_withdrawn_zone_after_the_bound": no_late_work,
        },
    )


# Mutations that must be refuted, each with the property that it violates.
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
    """Check a model or a mutation of it.

    Parameters
    ----------
    build : callable
        `acceptance` or `spread`.
    mutation : str
        Name of the mutation, or empty for the unchanged protocol.
    refute : str
        Name of the property to refute. The search ends at its first violation, which
        is conclusive although the search is then not exhaustive.
    **sizes : int
        Size limits passed to ``build``.

    Returns
    -------
    tuple of (dict, float)
        The result of `minicheck` and the seconds it took.
    """
    started_at = time.perf_counter()
    model = build(mutation, **sizes)
    if refute:
        model = _stop_at_violation(model, refute)
    return check_safety(model, max_states=MAX_STATES), time.perf_counter() - started_at


def _stop_at_violation(model, name):
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
    """Print results; exit with 1 if a verdict is not as expected."""
    failed = False
    for build in (acceptance, spread):
        result, seconds = run(build)
        for name, property_result in result["properties"].items():
            verdict = "proved" if property_result["holds"] else "FAILED"
            failed = failed or not property_result["holds"]
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
