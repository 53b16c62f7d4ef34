"""Model of one request whose node may send it by its own path or over a relay.

The node connects first and sends only on the connection that it has chosen. A relay
tells what it could do before it gets anything to pass on, connects by itself only, and
holds its connection until either side closes or the time of the request is over. Paths
are cut and heal at any time, the relay may die at any time, and what was sent may
arrive late. ``MUTATIONS`` are protocols without one of the rules.
"""

from typing import NamedTuple

from minicheck import Protocol, check_safety

MAX_SENDS = 2
OWN, RELAY = "own", "relay"


class State(NamedTuple):
    """The node, the relay, the network between them, and the endpoint.

    ``way`` is that of the connection chosen for the present send, and ``relay`` the
    state of the relay: ``idle``, ``asked``, ``connected``, ``refused`` or ``dead``;
    ``holds`` tells whether it has a connection to the endpoint. ``travelling`` counts
    copies of the request that have not arrived. ``n_hops`` is the most nodes that a
    copy has passed.
    """

    own_path: bool = True
    relay_path: bool = True
    way: str = ""
    relay: str = "idle"
    holds: bool = False
    is_sent: bool = False
    has_tried_own: bool = False
    n_sends: int = 0
    travelling: int = 0
    n_runs: int = 0
    n_hops: int = 0
    outcome: str = ""
    is_overdue: bool = False


def transitions(state, *, may_repeat, mutation):
    """Yield the steps that may follow, as pairs of a label and a state."""
    yield from _network_steps(state, mutation)
    yield from _relay_steps(state, mutation)
    if not state.outcome:
        yield from _node_steps(state, may_repeat, mutation)


def _network_steps(state, mutation):
    for name in ("own_path", "relay_path"):
        yield f"{name} changes", state._replace(**{name: not getattr(state, name)})
    if state.travelling:
        arrived = state._replace(travelling=state.travelling - 1)
        yield "the request runs", arrived._replace(n_runs=min(3, state.n_runs + 1))
        yield "the request is lost", arrived


def _relay_steps(state, mutation):
    if state.relay != "dead":
        yield "the relay dies", state._replace(relay="dead", holds=False)
    if state.relay == "asked":
        if state.relay_path:
            connected = state._replace(relay="connected", holds=True)
            yield "the relay connects", connected
        elif mutation == "a relay asks another one":
            yield "asks on", state._replace(relay="connected", holds=True, n_hops=2)
        yield "the relay refuses", state._replace(relay="refused")
    if state.holds and state.outcome:
        released = state._replace(holds=False)
        yield "the relay sees the node close", released
        if mutation != "a relay waits for the node for ever":
            yield "the time of the request ends at the relay", released
        else:
            yield "the node is gone without a close", state._replace(is_overdue=True)


def _node_steps(state, may_repeat, mutation):
    if state.is_sent:
        yield from _steps_after_send(state, may_repeat, mutation)
        return
    if state.relay == "idle":
        asked = state._replace(relay="asked")
        if mutation == "the request goes to the relay before its reply":
            asked = asked._replace(travelling=state.travelling + 1)
        yield "the node asks the relay", asked
    if not state.way and state.own_path:
        yield "the node connects", state._replace(way=OWN, has_tried_own=True)
    if not state.own_path:
        yield "the connect fails", state._replace(has_tried_own=True)
    if not state.way and state.relay == "connected":
        yield "the relay is chosen", state._replace(way=RELAY)
    if state.way:
        yield (
            "the node sends",
            state._replace(
                is_sent=True,
                n_sends=state.n_sends + 1,
                travelling=state.travelling + 1,
                n_hops=max(state.n_hops, 1 if state.way == RELAY else 0),
            ),
        )
    if state.has_tried_own and not state.way and state.relay in ("refused", "dead"):
        is_true = state.n_sends == 0
        yield "no way is left", state._replace(outcome="503" if is_true else "502")


def _steps_after_send(state, may_repeat, mutation):
    if state.n_runs:
        yield "the answer arrives", state._replace(outcome="200")
    may_send = may_repeat or mutation == "the loss of the relay counts as not sent"
    if state.way == RELAY and state.relay == "dead" or not state.own_path:
        if may_send and state.n_sends < MAX_SENDS:
            again = state._replace(way="", is_sent=False, has_tried_own=False)
            yield "the node sends again", again
        status = "502"
        if mutation == "the loss of the relay counts as not sent":
            status = "503"
        yield "the node gives up", state._replace(outcome=status)


def build(*, may_repeat=False, mutation=""):
    """Return the protocol for a request that may run more than once, or must not."""

    def may_run(values):
        return values["n_runs"] + values["travelling"]

    return Protocol(
        name=f"relay, may_repeat={may_repeat}, mutation={mutation}",
        candidate=False,
        fields=State._fields,
        initial=tuple(State()),
        transitions=lambda values: [
            (label, tuple(after))
            for label, after in transitions(
                State(*values), may_repeat=may_repeat, mutation=mutation
            )
        ],
        invariants={
            "runs_within_its_attempts": lambda values: (
                may_run(values) <= (MAX_SENDS if may_repeat else 1)
            ),
            "not_run_is_true": lambda values: (
                values["outcome"] != "503" or not may_run(values)
            ),
            "one_hop": lambda values: values["n_hops"] <= 1,
            "no_connection_is_held_for_ever": lambda values: not values["is_overdue"],
        },
    )


# For each mutation, which removes a rule: the property that it violates.
MUTATIONS = {
    "the request goes to the relay before its reply": "runs_within_its_attempts",
    "the loss of the relay counts as not sent": "not_run_is_true",
    "a relay asks another one": "one_hop",
    "a relay waits for the node for ever": "no_connection_is_held_for_ever",
}


def check(**options):
    """Check a protocol in all states; return the result."""
    return check_safety(build(**options))


if __name__ == "__main__":
    for may_repeat in (False, True):
        print(check(may_repeat=may_repeat))
    for mutation, name in MUTATIONS.items():
        print(mutation, check(mutation=mutation)["properties"][name]["holds"])
