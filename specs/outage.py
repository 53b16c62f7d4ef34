"""Model of tenure, extension and provisional roles around an outage.

Coordinators 0 and 1 and a third node make up a fleet. Each coordinator may lose the
key-value service, and either may be cut off from the other two nodes, at any time.
Evidence counts for a window of 2 units, which is also the tenure and the time in
which news spreads among nodes in contact; a permit must be used within 1 unit.
"""

from collections import namedtuple

from minicheck import Protocol

TENURE = 2
WINDOW = 2
START_BY = 1
# The previous holder hears of the takeover within a window, or is cut off before that
# and extends for another window.
COLD_WAIT = 2 * WINDOW + START_BY
# A holder that was silent for a window and reached the service when it was last heard
# cannot extend its tenure.
PROMPT_COLD_WAIT = TENURE + START_BY
MAX_FENCE = 2

# Each mutation with the property for which it is refuted.
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

# ``heard`` is what is left of the window of the newest evidence of a majority,
# ``news`` the time until a takeover by the other one is known (0 for none), ``held``
# the time since the takeover in contact, ``quiet`` the time for which a permit on the
# cold endpoint may still be used. ``isolated`` tells that only a minority was heard
# since the last read.
Node = namedtuple(
    "Node", "role tenure wait held confirmed heard news provisional quiet isolated"
)
# ``silent`` is the time since the two coordinators lost contact; ``reading`` tells
# which of them reached the service then.
State = namedtuple("State", "holder fence reach cut_off silent reading nodes")


def make_protocol(*, mutation=None):
    """Build the model, with one of `MUTATIONS` if given."""

    def may_grant_cold(node):
        if node.provisional and mutation != "provisional_grants_cold":
            return False
        if mutation == "provisional_grants_cold" and node.provisional:
            return True
        return bool(
            node.role and node.tenure and node.confirmed and node.held >= node.wait
        )

    def dropped(node):
        return Node(0, 0, 0, 0, False, node.heard, 0, False, node.quiet, False)

    def put_node(state, number, node, **more):
        nodes = (node, state.nodes[1]) if number == 0 else (state.nodes[0], node)
        return state._replace(nodes=nodes, **more)

    def tick_node(state, number):
        node = state.nodes[number]
        connected = state.cut_off != number
        in_contact = state.cut_off is None
        # News passes to the third node first, then from there.
        passes = state.cut_off != (1 - number if node.news == WINDOW else number)
        heard = WINDOW if connected else max(0, node.heard - 1)
        quiet = START_BY if may_grant_cold(node) else max(0, node.quiet - 1)
        learned = node.news == 1 and passes
        news = node.news - 1 if node.news and passes else node.news
        node = node._replace(heard=heard, quiet=quiet, news=news)
        if learned and mutation != "extension_despite_news":
            return dropped(node)
        if node.provisional:
            keeps = heard or mutation == "provisional_without_majority"
            if not keeps or in_contact or state.reach[number]:
                return dropped(node)
            return node
        if not node.role:
            return node
        if not heard and mutation != "isolation_forgotten":
            node = node._replace(isolated=True)
        held = min(node.wait, node.held + 1)
        if not node.confirmed and mutation != "wait_not_confirmed" and not heard:
            held = 0
        evidence_age = WINDOW - heard
        needed = 0 if node.wait == PROMPT_COLD_WAIT else WINDOW
        confirmed = node.confirmed or (heard and held - evidence_age >= needed)
        if mutation == "wait_not_confirmed":
            confirmed = True
        node = node._replace(held=held, confirmed=bool(confirmed))
        if node.confirmed and held >= node.wait:
            # Equal states of a role that has waited must not be told apart.
            node = node._replace(wait=0, held=0)
        if node.tenure > 1:
            return node._replace(tenure=node.tenure - 1)
        has_majority = heard and not node.isolated
        has_majority = has_majority or mutation == "extension_without_majority"
        if has_majority and not state.reach[number]:
            return node._replace(tenure=1)
        return dropped(node)

    def node_steps(state, number):
        node, other = state.nodes[number], state.nodes[1 - number]
        if state.reach[number]:
            if node.role and not node.provisional and node.role == state.fence:
                renewed = node._replace(tenure=TENURE, isolated=not node.heard)
                yield "read", put_node(state, number, renewed)
            elif node.role:
                yield "read", put_node(state, number, dropped(node))
            elif state.fence < MAX_FENCE:
                fence = state.fence + (mutation != "fence_not_raised")
                is_silent = state.cut_off == 1 - number and state.silent >= WINDOW
                prompt = is_silent and state.reading[1 - number] and node.heard
                prompt = prompt or mutation == "always_prompt"
                taken = node._replace(
                    role=fence,
                    tenure=TENURE,
                    wait=PROMPT_COLD_WAIT if prompt else COLD_WAIT,
                    held=0,
                    confirmed=False,
                    news=0,
                )
                taken = put_node(state, number, taken, holder=number, fence=fence)
                told = other._replace(news=WINDOW if other.role else 0)
                yield "take_over", put_node(taken, 1 - number, told)
        elif not node.role:
            on_majority_side = node.heard and state.cut_off == 1 - number
            if on_majority_side or mutation == "provisional_without_majority":
                role = node._replace(role=state.fence, provisional=True, tenure=1)
                yield "provisional", put_node(state, number, role)

    def transitions(state):
        state = State(*state)
        nodes = tuple(tick_node(state, number) for number in range(2))
        silent = min(WINDOW, state.silent + 1) if state.cut_off is not None else 0
        steps = [("tick", state._replace(nodes=nodes, silent=silent))]
        for number in range(2):
            steps += [
                (f"{label}@{number}", each) for label, each in node_steps(state, number)
            ]
            reach = list(state.reach)
            reach[number] = not reach[number]
            steps.append((f"service@{number}", state._replace(reach=tuple(reach))))
        for cut_off in (None, 0, 1):
            if cut_off == state.cut_off:
                continue
            changed = state._replace(cut_off=cut_off)
            if cut_off is None:
                changed = changed._replace(silent=0, reading=(False, False))
            else:
                changed = changed._replace(silent=0, reading=state.reach)
            steps.append((f"cut_off={cut_off}", changed))
        return steps

    def windows_apart(values):
        first, second = values["nodes"]
        return not (
            (may_grant_cold(first) and (may_grant_cold(second) or second.quiet))
            or (may_grant_cold(second) and first.quiet)
        )

    def provisional_on_majority_side(values):
        # Evidence may be one window old, no more.
        return all(
            node.heard or not node.provisional or number != values["cut_off"]
            for number, node in enumerate(values["nodes"])
        )

    def one_fence_one_holder(values):
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
            "cold_grants_are_apart": windows_apart,
            "provisional_on_majority_side": provisional_on_majority_side,
            "one_holder_of_a_fence": one_fence_one_holder,
        },
    )
