"""Model of tenure, tenure extension and provisional roles around an outage.

The cluster has coordinators 0 and 1 and a third node. At any time, each coordinator
may lose access to the key-value service, and either may be cut off from the other two
nodes. Evidence is valid for a window of 2 units, which is also the tenure and the
time in which news spreads among connected nodes; a permit must be used within 1 unit.
"""

from collections import namedtuple

from minicheck import Protocol

TENURE = 2
WINDOW = 2
START_BY = 1
# The previous holder learns of the takeover within one window, or is cut off before
# that and extends its tenure for another window.
COLD_WAIT = 2 * WINDOW + START_BY
# A holder that has been silent for a window, and that could reach the service when it
# was last heard, cannot extend its tenure.
PROMPT_COLD_WAIT = TENURE + START_BY
MAX_FENCE = 2

# Each mutation with the property that it violates.
MUTATIONS = {
    "wait_not_confirmed": "cold_grants_are_apart",
    "always_prompt": "cold_grants_are_apart",
    "isolation_forgotten": "cold_grants_are_apart",
    "extension_without_majority": "cold_grants_are_apart",
    "extension_despite_news": "cold_grants_are_apart",
    "provisional_grants_cold": "cold_grants_are_apart",
    "provisional_without_majority": "provisional_on_majority_side",
    "fence_not_raised": "one_holder_of_a_fence",
}

# ``role`` is the fence under which the node holds the role, 0 for none.
# ``held_in_contact`` is the time since the takeover; it restarts if contact with a
# majority is lost before the wait is confirmed. ``evidence_left`` is the remainder of
# the window of the newest evidence from a majority, ``takeover_known_in`` the time
# until the node learns of a takeover by the other coordinator (0 for none), and
# ``permit_valid_for`` the time for which a permit on the cold endpoint may still be
# used. ``isolated`` tells whether that evidence has run out since the last read.
Node = namedtuple(
    "Node",
    "role tenure wait held_in_contact confirmed evidence_left takeover_known_in "
    "provisional permit_valid_for isolated",
)
# ``service_reachable`` tells which coordinators can reach the key-value service.
# ``contact_lost_for`` is the time since the two coordinators lost contact,
# ``reached_service_at_loss`` which of them could reach the service at that moment.
State = namedtuple(
    "State",
    "holder fence service_reachable cut_off contact_lost_for reached_service_at_loss "
    "nodes",
)


def make_protocol(*, mutation=None):
    """Build the model, optionally with one of `MUTATIONS`."""

    def may_grant_cold(node):
        if node.provisional and mutation != "provisional_grants_cold":
            return False
        if mutation == "provisional_grants_cold" and node.provisional:
            return True
        return bool(
            node.role
            and node.tenure
            and node.confirmed
            and node.held_in_contact >= node.wait
        )

    def without_role(node):
        return Node(
            0,
            0,
            0,
            0,
            False,
            node.evidence_left,
            0,
            False,
            node.permit_valid_for,
            False,
        )

    def put_node(state, number, node, **changes):
        nodes = (node, state.nodes[1]) if number == 0 else (state.nodes[0], node)
        return state._replace(nodes=nodes, **changes)

    def tick_node(state, number):
        node = state.nodes[number]
        connected = state.cut_off != number
        in_contact = state.cut_off is None
        # News of a takeover reaches the third node first, which relays it.
        news_spreads = state.cut_off != (
            1 - number if node.takeover_known_in == WINDOW else number
        )
        evidence_left = WINDOW if connected else max(0, node.evidence_left - 1)
        permit_valid_for = (
            START_BY if may_grant_cold(node) else max(0, node.permit_valid_for - 1)
        )
        learns_of_takeover = node.takeover_known_in == 1 and news_spreads
        takeover_known_in = (
            node.takeover_known_in - 1
            if node.takeover_known_in and news_spreads
            else node.takeover_known_in
        )
        node = node._replace(
            evidence_left=evidence_left,
            permit_valid_for=permit_valid_for,
            takeover_known_in=takeover_known_in,
        )
        if learns_of_takeover and mutation != "extension_despite_news":
            return without_role(node)
        if node.provisional:
            has_evidence = evidence_left or mutation == "provisional_without_majority"
            if not has_evidence or in_contact or state.service_reachable[number]:
                return without_role(node)
            return node
        if not node.role:
            return node
        if not evidence_left and mutation != "isolation_forgotten":
            node = node._replace(isolated=True)
        held_in_contact = min(node.wait, node.held_in_contact + 1)
        if (
            not node.confirmed
            and mutation != "wait_not_confirmed"
            and not evidence_left
        ):
            held_in_contact = 0
        evidence_age = WINDOW - evidence_left
        min_held_at_evidence = 0 if node.wait == PROMPT_COLD_WAIT else WINDOW
        confirmed = node.confirmed or (
            evidence_left and held_in_contact - evidence_age >= min_held_at_evidence
        )
        if mutation == "wait_not_confirmed":
            confirmed = True
        node = node._replace(held_in_contact=held_in_contact, confirmed=bool(confirmed))
        if node.confirmed and held_in_contact >= node.wait:
            # Merge states that differ only in counters unused after the wait.
            node = node._replace(wait=0, held_in_contact=0)
        if node.tenure > 1:
            return node._replace(tenure=node.tenure - 1)
        has_majority = evidence_left and not node.isolated
        has_majority = has_majority or mutation == "extension_without_majority"
        if has_majority and not state.service_reachable[number]:
            return node._replace(tenure=1)
        return without_role(node)

    def node_steps(state, number):
        node, other = state.nodes[number], state.nodes[1 - number]
        if state.service_reachable[number]:
            if node.role and not node.provisional and node.role == state.fence:
                renewed = node._replace(tenure=TENURE, isolated=not node.evidence_left)
                yield "read", put_node(state, number, renewed)
            elif node.role:
                yield "read", put_node(state, number, without_role(node))
            elif state.fence < MAX_FENCE:
                fence = state.fence + (mutation != "fence_not_raised")
                other_is_silent = (
                    state.cut_off == 1 - number and state.contact_lost_for >= WINDOW
                )
                is_prompt = (
                    other_is_silent
                    and state.reached_service_at_loss[1 - number]
                    and node.evidence_left
                )
                is_prompt = is_prompt or mutation == "always_prompt"
                successor = node._replace(
                    role=fence,
                    tenure=TENURE,
                    wait=PROMPT_COLD_WAIT if is_prompt else COLD_WAIT,
                    held_in_contact=0,
                    confirmed=False,
                    takeover_known_in=0,
                )
                successor = put_node(
                    state, number, successor, holder=number, fence=fence
                )
                notified = other._replace(takeover_known_in=WINDOW if other.role else 0)
                yield "take_over", put_node(successor, 1 - number, notified)
        elif not node.role:
            on_majority_side = node.evidence_left and state.cut_off == 1 - number
            if on_majority_side or mutation == "provisional_without_majority":
                role = node._replace(role=state.fence, provisional=True, tenure=1)
                yield "provisional", put_node(state, number, role)

    def transitions(state):
        state = State(*state)
        nodes = tuple(tick_node(state, number) for number in range(2))
        contact_lost_for = (
            min(WINDOW, state.contact_lost_for + 1) if state.cut_off is not None else 0
        )
        steps = [
            ("tick", state._replace(nodes=nodes, contact_lost_for=contact_lost_for))
        ]
        for number in range(2):
            steps += [
                (f"{label}@{number}", each) for label, each in node_steps(state, number)
            ]
            service_reachable = list(state.service_reachable)
            service_reachable[number] = not service_reachable[number]
            steps.append(
                (
                    f"service@{number}",
                    state._replace(service_reachable=tuple(service_reachable)),
                )
            )
        for cut_off in (None, 0, 1):
            if cut_off == state.cut_off:
                continue
            changed = state._replace(cut_off=cut_off)
            if cut_off is None:
                changed = changed._replace(
                    contact_lost_for=0, reached_service_at_loss=(False, False)
                )
            else:
                changed = changed._replace(
                    contact_lost_for=0, reached_service_at_loss=state.service_reachable
                )
            steps.append((f"cut_off={cut_off}", changed))
        return steps

    def cold_grants_do_not_overlap(values):
        first, second = values["nodes"]
        return not (
            (
                may_grant_cold(first)
                and (may_grant_cold(second) or second.permit_valid_for)
            )
            or (may_grant_cold(second) and first.permit_valid_for)
        )

    def provisional_on_majority_side(values):
        # Evidence may be up to one window old.
        return all(
            node.evidence_left or not node.provisional or number != values["cut_off"]
            for number, node in enumerate(values["nodes"])
        )

    def fence_has_one_holder(values):
        first, second = values["nodes"]
        return (
            first.provisional
            or second.provisional
            or not (first.role and first.role == second.role)
        )

    holder = Node(1, TENURE, 0, 0, True, WINDOW, 0, False, 0, False)
    other = Node(0, 0, 0, 0, False, WINDOW, 0, False, 0, False)
    return Protocol(
        name=f"outage, mutation={mutation}",
        candidate=mutation is None,
        fields=State._fields,
        initial=tuple(
            State(0, 1, (True, True), None, 0, (False, False), (holder, other))
        ),
        transitions=transitions,
        invariants={
            "cold_grants_are_apart": cold_grants_do_not_overlap,
            "provisional_on_majority_side": provisional_on_majority_side,
            "one_holder_of_a_fence": fence_has_one_holder,
        },
    )
