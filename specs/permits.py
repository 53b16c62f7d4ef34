"""Model of permits and takeovers on one cold endpoint that takes one request.

Coordinators 0 and 1 may each take the group over at any time, whether the other one
runs or not. Reads are answered late, answers and grants may be delayed or lost, and
processes pause. Time is counted in units: the tenure is 2, a permit must be used
within 1 of the request's own time, and a new holder waits for 3 (their sum).

``make_protocol`` builds the model for an endpoint that checks fencing numbers or not,
with the protocol as it is or with one mutation.
"""

from collections import namedtuple

from minicheck import Protocol

TENURE = 2
START_BY = 1
COLD_WAIT = TENURE + START_BY
MAX_FENCE = 2
LIMIT = 1

# Each mutation with the endpoint (whether it checks fencing) and the property for
# which it is refuted.
MUTATIONS = {
    "no_cold_wait": (False, "one_coordinator_grants_cold"),
    "tenure_ignored": (False, "one_coordinator_grants_cold"),
    "tenure_from_answer": (False, "work_within_limit"),
    "late_permit_used": (False, "work_within_limit"),
    "request_time_renewed": (False, "work_within_limit"),
    "listing_before_wait": (False, "work_within_limit"),
    "role_regained": (True, "work_within_limit"),
    "write_without_compare": (True, "fences_never_go_back"),
    "lower_fence_accepted": (True, "fences_never_go_back"),
}

# A request: "n" has not arrived, "w" waits with an age, "r" runs, "d" is over.
# ``grant`` is the fence of a grant on its way, 0 for none.
Slot = namedtuple("Slot", "phase age grant")
# ``read`` is a read on its way, as (age, holder, fence), or None. ``listed`` tells
# that the endpoint's work was read since the wait; ``account`` is a bit mask of the
# slots that the coordinator takes for running.
# ``held`` is the highest fence that was ever held or given up.
Node = namedtuple("Node", "role tenure wait read listed account paused held")
State = namedtuple("State", "holder fence nodes slots entry_fence endpoint_fence back")

FIELDS = State._fields


def _running(slots):
    return sum(1 << number for number, slot in enumerate(slots) if slot.phase == "r")


def may_grant_cold(node, *, mutation=None):
    """Tell whether a coordinator may grant on the cold endpoint."""
    tenure_runs = node.tenure > 0 or mutation == "tenure_ignored"
    return bool(node.role and tenure_runs and node.wait == 0 and node.listed)


def _dropped(node, held):
    """Give up a role; what was known for it is void."""
    return node._replace(role=0, tenure=0, wait=0, listed=False, account=0, held=held)


def _normal(state):
    """Order the requests, which are alike, so that fewer states are reached."""
    first, second = state.slots
    if first <= second:
        return state
    nodes = tuple(
        node._replace(account=(node.account >> 1) | (node.account & 1) << 1)
        for node in state.nodes
    )
    return state._replace(slots=(second, first), nodes=nodes)


def _replace(sequence, index, value):
    return (*sequence[:index], value, *sequence[index + 1 :])


def make_protocol(*, checks_fencing, mutation=None, pausing=(0, 1)):
    """Build the model.

    Parameters
    ----------
    checks_fencing : bool
        Whether the endpoint refuses work with a fence below the highest it saw.
    mutation : str, optional
        One of `MUTATIONS`.
    pausing : sequence of int
        Which coordinators may be paused.

    Returns
    -------
    minicheck.Protocol
        The model with its invariants.
    """
    cold_wait = 0 if mutation == "no_cold_wait" else COLD_WAIT

    def put_node(state, number, node, **more):
        nodes = _replace(state.nodes, number, node)
        if more:
            return state._replace(nodes=nodes, **more)
        # Building a tuple is several times as fast as replacing fields.
        return State(state.holder, state.fence, nodes, *state[3:])

    def tick_node(node):
        if node.tenure == 1 and node.role and mutation != "tenure_ignored":
            node = _dropped(node, node.held)
        read = node.read
        return Node(
            role=node.role,
            tenure=max(0, node.tenure - 1),
            wait=max(0, node.wait - 1),
            read=(min(TENURE, read[0] + 1), *read[1:]) if read else None,
            listed=node.listed,
            account=node.account,
            paused=min(2, node.paused + 1) if node.paused else 0,
            held=node.held,
        )

    def tick_slot(slot):
        if slot.phase != "w":
            return slot
        return Slot("w", min(START_BY + 1, slot.age + 1), slot.grant)

    def tick(state):
        nodes = tuple(tick_node(node) for node in state.nodes)
        slots = tuple(tick_slot(slot) for slot in state.slots)
        return State(state.holder, state.fence, nodes, slots, *state[4:])

    def read_answered(state, number):
        node = state.nodes[number]
        age, holder, fence = node.read
        node = node._replace(read=None)
        left = TENURE if mutation == "tenure_from_answer" else TENURE - age
        if holder != number:
            if fence > node.role:
                node = _dropped(node, node.held)
        elif node.role == fence:
            node = node._replace(tenure=max(node.tenure, left))
        elif node.held < fence or mutation == "role_regained":
            if left <= 0:
                return put_node(state, number, _dropped(node, fence))
            # An endpoint that checks fencing refuses older permits after the
            # listing, which carries the fence; any other needs the wait.
            wait = 0 if checks_fencing else cold_wait
            node = node._replace(
                role=fence,
                tenure=left,
                wait=wait,
                listed=False,
                account=0,
                held=fence,
            )
        return put_node(state, number, node)

    def coordinator_steps(state, number):
        node = state.nodes[number]
        if node.paused:
            # The guard drops all roles after a pause of more than one unit.
            dropped = node.paused > 1
            resumed = node._replace(paused=0)
            if dropped:
                held = state.fence if state.holder == number else node.held
                resumed = _dropped(resumed, held)._replace(read=None)
            yield "resume", put_node(state, number, resumed)
            return
        if number in pausing:
            yield "pause", put_node(state, number, node._replace(paused=1))
        if node.read is None:
            read = (0, state.holder, state.fence)
            yield "read", put_node(state, number, node._replace(read=read))
        else:
            yield "answer", read_answered(state, number)
        if not node.role and state.fence < MAX_FENCE:
            fence = state.fence + 1
            read = (0, number, fence)
            yield (
                "take_over",
                put_node(
                    state, number, node._replace(read=read), holder=number, fence=fence
                ),
            )
        if mutation == "write_without_compare" and node.read and not node.role:
            fence = node.read[2] + 1
            written = put_node(
                state, number, node._replace(read=None), holder=number, fence=fence
            )
            yield (
                "take_over",
                written._replace(back=state.back or fence <= state.fence),
            )
        waited = node.wait == 0 or mutation == "listing_before_wait"
        if node.role and node.tenure and waited and not node.listed:
            account = node.account | _running(state.slots)
            seen = max(state.endpoint_fence, node.role) if checks_fencing else 0
            listed = node._replace(listed=True, account=account)
            yield "list", put_node(state, number, listed, endpoint_fence=seen)
        if may_grant_cold(node, mutation=mutation):
            if node.account.bit_count() >= LIMIT:
                return
            for index, slot in enumerate(state.slots):
                if slot.phase == "w" and not slot.grant:
                    granted = put_node(
                        state, number, node._replace(account=node.account | 1 << index)
                    )
                    slots = _replace(state.slots, index, slot._replace(grant=node.role))
                    yield f"grant_{index}", granted._replace(slots=slots)

    def slot_steps(state, index):
        slot = state.slots[index]

        def put(new, **more):
            return state._replace(slots=_replace(state.slots, index, new), **more)

        if slot.phase == "n":
            yield "arrive", put(slot._replace(phase="w"))
        if slot.phase == "w" and mutation == "request_time_renewed" and slot.age:
            yield "ask_again", put(slot._replace(age=0))
        if slot.phase == "w" and slot.grant:
            over = slot._replace(phase="d", grant=0, age=0)
            in_time = slot.age <= START_BY or mutation == "late_permit_used"
            fresh = slot.grant >= state.entry_fence
            accepted = fresh or mutation == "lower_fence_accepted"
            if not (in_time and accepted):
                yield "discard", put(over)
            elif checks_fencing and slot.grant < state.endpoint_fence:
                yield "refused", put(over, back=state.back or not fresh)
            else:
                yield (
                    "start",
                    put(
                        slot._replace(phase="r", grant=0, age=0),
                        entry_fence=max(state.entry_fence, slot.grant),
                        endpoint_fence=max(state.endpoint_fence, slot.grant)
                        if checks_fencing
                        else 0,
                        back=state.back or not fresh,
                    ),
                )
        if slot.phase == "r":
            finished = put(slot._replace(phase="d", age=0))
            # The release reaches both coordinators.
            nodes = tuple(
                node._replace(account=node.account & ~(1 << index))
                for node in state.nodes
            )
            yield "finish", finished._replace(nodes=nodes)

    def transitions(state):
        state = State(*state)
        steps = [("tick", tick(state))]
        for number in range(2):
            steps += [
                (f"{label}@{number}", each)
                for label, each in coordinator_steps(state, number)
            ]
        for index in range(2):
            steps += [
                (f"{label}#{index}", each) for label, each in slot_steps(state, index)
            ]
        return [(label, _normal(each)) for label, each in steps]

    def within_limit(values):
        return _running(values["slots"]).bit_count() <= LIMIT

    def one_granter(values):
        if checks_fencing:
            # Two may grant, but the endpoint refuses the lower fence.
            return True
        granting = [may_grant_cold(n, mutation=mutation) for n in values["nodes"]]
        return sum(granting) <= 1

    first = Node(1, TENURE, 0, None, True, 0, 0, 1)
    other = Node(0, 0, 0, None, False, 0, 0, 0)
    absent = Slot("n", 0, 0)
    return Protocol(
        name=f"permits, fencing={checks_fencing}, mutation={mutation}",
        candidate=mutation is None,
        fields=FIELDS,
        initial=tuple(State(0, 1, (first, other), (absent, absent), 1, 0, False)),
        transitions=transitions,
        invariants={
            "work_within_limit": within_limit,
            "fences_never_go_back": lambda values: not values["back"],
            "one_coordinator_grants_cold": one_granter,
        },
    )
