"""Checks that nodes act on what endpoints say of themselves in their answers."""

from collections import Counter

from savoryhill.soak.observations import Finding

LEAVING_BOUND_S = 2.0
# Time to act on a wanted pause, and requests of a node that may still arrive in it.
PAUSE_BOUND_S = 0.5
MAX_WITHIN_PAUSE = 2


def check_spoken_leaves(spans, *, is_disturbed):
    """Check that endpoints get nothing after they have said that they leave.

    Parameters
    ----------
    spans : sequence of tuple
        Endpoint stand-in, and start and end of the span in which it said so.
    is_disturbed : callable
        Takes the start and the end of a span.

    Returns
    -------
    list of Finding
        The violations.
    """
    findings = []
    for endpoint, start, end in spans:
        ends = [at for _, at in endpoint.crashes if start < at < end]
        end = min([end, *ends])
        # A request may be left without an answer; the first answer tells the nodes.
        said_at = min(
            (at for at in endpoint.said_leaving_at if at > start), default=end
        )
        late = [
            arrival.at
            for arrival in endpoint.arrivals
            if said_at + LEAVING_BOUND_S < arrival.at < end
            and not is_disturbed(arrival.at - LEAVING_BOUND_S, arrival.at)
        ]
        if late:
            findings.append(
                Finding(
                    invariant="endpoints that say that they leave get nothing",
                    detail=f"{endpoint.id} got {len(late)} requests too late",
                )
            )
    return findings


def check_wanted_pauses(spans, node_by_id, *, is_disturbed):
    """Check that endpoints get what they want from a node that they turned away.

    Parameters
    ----------
    spans : sequence of tuple
        Endpoint stand-in, pause in seconds, and start and end of the span in which it
        turned all requests away and named the pause.
    node_by_id : dict of str to object
        The node, with its start, that sent each attempt.
    is_disturbed : callable
        Takes the start and the end of a span.

    Returns
    -------
    list of Finding
        The violations.
    """
    n_by_endpoint_and_node = Counter()
    for endpoint, pause_s, start, end in spans:
        refused = [
            (node_by_id.get(arrival.attempt_id), arrival.at)
            for arrival in endpoint.arrivals
            if start < arrival.at < end
        ]
        for node, at in refused:
            if is_disturbed(at, at + pause_s):
                continue
            n_within = sum(
                other == node and at + PAUSE_BOUND_S < other_at < at + pause_s
                for other, other_at in refused
            )
            key = endpoint.id, node
            n_by_endpoint_and_node[key] = max(n_by_endpoint_and_node[key], n_within)
    return [
        Finding(
            invariant="endpoints get nothing within a pause that they want",
            detail=f"{endpoint_id} got {n} requests of {node}",
        )
        for (endpoint_id, node), n in n_by_endpoint_and_node.items()
        if n > MAX_WITHIN_PAUSE
    ]
