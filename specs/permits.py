"""Model of permits and takeovers on one cold endpoint with capacity for one request.

Coordinators 0 and 1 may each take over the group at any time, whether or not the
other one is running. Responses to reads may be late, responses and grants may be
delayed or lost, and processes may pause. Time advances in units: the tenure lasts 2,
a permit must be used within 1 unit of the request's own time, and a new holder waits
for 3 (their sum) before it grants on a cold endpoint.

``make_protocol`` builds the model for an endpoint that does or does not check fencing
numbers, either for the unchanged protocol or for one mutation of it.
"""

from collections import namedtuple

from minicheck import Protocol

TENURE = 2
START_BY = 1
COLD_WAIT = TENURE + START_BY
MAX_FENCE = 2
MAX_RUNNING = 1

# For each mutation: whether the endpoint checks fencing, and the violated property.
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

# ``phase`` is "new" (not arrived yet), "waiting", "running" or "done". ``age`` is the
# time waited, ``grant`` the fence of a grant in flight, 0 for none.
Request = namedtuple("Request", "phase age grant")
# ``role`` is the fence under which the node holds the role, 0 for none. ``read`` is a
# read in flight as (age, holder, fence), or None. ``listed`` tells whether the
# endpoint's running requests were listed since the wait ended. ``assumed_running`` is
# a bit mask of the requests that the coordinator assumes to be running.
# ``max_held_fence`` is the highest fence that the node ever held or gave up.
Node = namedtuple(
    "Node", "role tenure wait read listed assumed_running paused max_held_fence"
)
# ``entry_fence`` and ``endpoint_fence`` are the highest fences that the entry node and
# the endpoint have seen. ``fence_decreased`` tells whether a fence ever went back.
State = namedtuple(
    "State", "holder fence nodes requests entry_fence endpoint_fence fence_decreased"
)

FIELDS = State._fields


def _running(requests):
    return sum(
        1 << number
        for number, request in enumerate(requests)
        if request.phase == "running"
    )


def may_grant_cold(node, *, mutation=None):
    """Tell whether a coordinator may grant a permit on the cold endpoint."""
    tenure_runs = node.tenure > 0 or mutation == "tenure_ignored"
    return bool(node.role and tenure_runs and node.wait == 0 and node.listed)


def _without_role(node, max_held_fence):
    """Give up the role and discard the state kept for it."""
    return node._replace(
        role=0,
        tenure=0,
        wait=0,
        listed=False,
        assumed_running=0,
        max_held_fence=max_held_fence,
    )


def _canonical(state):
    """Sort the requests, which are interchangeable, to reduce the number of states."""
    first, second = state.requests
    if first <= second:
        return state
    nodes = tuple(
        node._replace(
            assumed_running=(node.assumed_running >> 1)
            | (node.assumed_running & 1) << 1
        )
        for node in state.nodes
    )
    return state._replace(requests=(second, first), nodes=nodes)


def _replace(sequence, index, value):
    return (*sequence[:index], value, *sequence[index + 1 :])


def make_protocol(*, checks_fencing, mutation=None, pausing=(0, 1)):
    """Build the model, optionally with a mutation.

    Parameters
    ----------
    checks_fencing : bool
        Whether the endpoint refuses work with a fence below the highest it has seen.
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

    def put_node(state, number, node, **changes):
        nodes = _replace(state.nodes, number, node)
        if changes:
            return state._replace(nodes=nodes, **changes)
        # Building the tuple directly is several times as fast as ``_replace``.
        return State(state.holder, state.fence, nodes, *state[3:])

    def tick_node(node):
        if node.tenure == 1 and node.role and mutation != "tenure_ignored":
            node = _without_role(node, node.max_held_fence)
        read = node.read
        return Node(
            role=node.role,
            tenure=max(0, node.tenure - 1),
            wait=max(0, node.wait - 1),
            read=(min(TENURE, read[0] + 1), *read[1:]) if read else None,
            listed=node.listed,
            assumed_running=node.assumed_running,
            paused=min(2, node.paused + 1) if node.paused else 0,
            max_held_fence=node.max_held_fence,
        )

    def tick_request(request):
        if request.phase != "waiting":
            return request
        return Request("waiting", min(START_BY + 1, request.age + 1), request.grant)

    def tick(state):
        nodes = tuple(tick_node(node) for node in state.nodes)
        requests = tuple(tick_request(request) for request in state.requests)
        return State(state.holder, state.fence, nodes, requests, *state[4:])

    def handle_read_response(state, number):
        node = state.nodes[number]
        age, holder, fence = node.read
        node = node._replace(read=None)
        tenure_left = TENURE if mutation == "tenure_from_answer" else TENURE - age
        if holder != number:
            if fence > node.role:
                node = _without_role(node, node.max_held_fence)
        elif node.role == fence:
            node = node._replace(tenure=max(node.tenure, tenure_left))
        elif node.max_held_fence < fence or mutation == "role_regained":
            if tenure_left <= 0:
                return put_node(state, number, _without_role(node, fence))
            # Listing passes the new fence to an endpoint that checks fencing, which
            # then refuses older permits; any other endpoint requires the wait.
            wait = 0 if checks_fencing else cold_wait
            node = node._replace(
                role=fence,
                tenure=tenure_left,
                wait=wait,
                listed=False,
                assumed_running=0,
                max_held_fence=fence,
            )
        return put_node(state, number, node)

    def coordinator_steps(state, number):
        node = state.nodes[number]
        if node.paused:
            # A node gives up all roles after detecting a pause of over one unit.
            dropped = node.paused > 1
            resumed = node._replace(paused=0)
            if dropped:
                max_held_fence = (
                    state.fence if state.holder == number else node.max_held_fence
                )
                resumed = _without_role(resumed, max_held_fence)._replace(read=None)
            yield "resume", put_node(state, number, resumed)
            return
        if number in pausing:
            yield "pause", put_node(state, number, node._replace(paused=1))
        if node.read is None:
            read = (0, state.holder, state.fence)
            yield "read", put_node(state, number, node._replace(read=read))
        else:
            yield "answer", handle_read_response(state, number)
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
                written._replace(
                    fence_decreased=state.fence_decreased or fence <= state.fence
                ),
            )
        waited = node.wait == 0 or mutation == "listing_before_wait"
        if node.role and node.tenure and waited and not node.listed:
            assumed_running = node.assumed_running | _running(state.requests)
            highest_fence = (
                max(state.endpoint_fence, node.role) if checks_fencing else 0
            )
            listed = node._replace(listed=True, assumed_running=assumed_running)
            yield "list", put_node(state, number, listed, endpoint_fence=highest_fence)
        if may_grant_cold(node, mutation=mutation):
            if node.assumed_running.bit_count() >= MAX_RUNNING:
                return
            for index, request in enumerate(state.requests):
                if request.phase == "waiting" and not request.grant:
                    granted = put_node(
                        state,
                        number,
                        node._replace(
                            assumed_running=node.assumed_running | 1 << index
                        ),
                    )
                    requests = _replace(
                        state.requests, index, request._replace(grant=node.role)
                    )
                    yield f"grant_{index}", granted._replace(requests=requests)

    def request_steps(state, index):
        request = state.requests[index]

        def replace_request(new, **changes):
            return state._replace(
                requests=_replace(state.requests, index, new), **changes
            )

        if request.phase == "new":
            yield "arrive", replace_request(request._replace(phase="waiting"))
        if (
            request.phase == "waiting"
            and mutation == "request_time_renewed"
            and request.age
        ):
            yield "ask_again", replace_request(request._replace(age=0))
        if request.phase == "waiting" and request.grant:
            ended = request._replace(phase="done", grant=0, age=0)
            in_time = request.age <= START_BY or mutation == "late_permit_used"
            fresh = request.grant >= state.entry_fence
            accepted = fresh or mutation == "lower_fence_accepted"
            if not (in_time and accepted):
                yield "discard", replace_request(ended)
            elif checks_fencing and request.grant < state.endpoint_fence:
                yield (
                    "refused",
                    replace_request(
                        ended, fence_decreased=state.fence_decreased or not fresh
                    ),
                )
            else:
                yield (
                    "start",
                    replace_request(
                        request._replace(phase="running", grant=0, age=0),
                        entry_fence=max(state.entry_fence, request.grant),
                        endpoint_fence=max(state.endpoint_fence, request.grant)
                        if checks_fencing
                        else 0,
                        fence_decreased=state.fence_decreased or not fresh,
                    ),
                )
        if request.phase == "running":
            finished = replace_request(request._replace(phase="done", age=0))
            # Both coordinators receive the release.
            nodes = tuple(
                node._replace(assumed_running=node.assumed_running & ~(1 << index))
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
                (f"{label}#{index}", each)
                for label, each in request_steps(state, index)
            ]
        return [(label, _canonical(each)) for label, each in steps]

    def within_limit(values):
        return _running(values["requests"]).bit_count() <= MAX_RUNNING

    def one_granter(values):
        if checks_fencing:
            # Both may grant, since the endpoint refuses the lower fence.
            return True
        granting = [may_grant_cold(n, mutation=mutation) for n in values["nodes"]]
        return sum(granting) <= 1

    holder_node = Node(1, TENURE, 0, None, True, 0, 0, 1)
    other_node = Node(0, 0, 0, None, False, 0, 0, 0)
    new_request = Request("new", 0, 0)
    return Protocol(
        name=f"permits, fencing={checks_fencing}, mutation={mutation}",
        candidate=mutation is None,
        fields=FIELDS,
        initial=tuple(
            State(
                0, 1, (holder_node, other_node), (new_request, new_request), 1, 0, False
            )
        ),
        transitions=transitions,
        invariants={
            "work_within_limit": within_limit,
            "fences_never_go_back": lambda values: not values["fence_decreased"],
            "one_coordinator_grants_cold": one_granter,
        },
    )
