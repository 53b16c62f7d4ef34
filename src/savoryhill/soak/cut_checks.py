"""Checks that clients of nodes which lost their way to endpoints are served."""

from savoryhill.soak.observations import Finding

# Time in which a node finds out that it has lost its way.
CUT_BOUND_S = 2.0
MIN_SERVED_RATIO = 2 / 3
MIN_REQUESTS = 20
UNKNOWN_KEY_STATUS = 401


def check_cut_nodes(requests, spans):
    """Check that cut nodes serve their clients about as often as the others do.

    Parameters
    ----------
    requests : sequence of ObservedRequest
        All requests that clients sent.
    spans : sequence of tuple
        Name of the node, and start and end of the span in which it reached no endpoint.

    Returns
    -------
    list of Finding
        The violations.
    """
    findings = []
    for node, start, end in spans:
        within = [
            request
            for request in requests
            if start + CUT_BOUND_S < request.sent_at
            and request.ended_at < end
            and request.was_undisturbed
            and request.disconnected_at is None
            and request.status != UNKNOWN_KEY_STATUS
        ]
        cut = [request for request in within if request.node == node]
        others = [request for request in within if request.node != node]
        if min(len(cut), len(others)) < MIN_REQUESTS:
            continue
        n_served, n_expected = _count_served(cut), _expect_served(cut, others)
        if n_served < MIN_SERVED_RATIO * n_expected:
            findings.append(
                Finding(
                    invariant="clients of cut nodes are served",
                    detail=f"{node} served {n_served} of {len(cut)} requests; as the "
                    f"others do, it would have served {n_expected:.0f}",
                )
            )
    return findings


def _count_served(requests):
    return sum(request.status == 200 for request in requests)


def _expect_served(requests, others):
    """Return how many requests would be served if each kind was as often as elsewhere.

    Limits that engines name, and requests that end them, concern some kinds only.
    """
    n_expected = 0.0
    for kind in {request.kind for request in requests}:
        n_of_kind = sum(request.kind == kind for request in requests)
        others_of_kind = [request for request in others if request.kind == kind]
        if others_of_kind:
            n_expected += (
                n_of_kind * _count_served(others_of_kind) / len(others_of_kind)
            )
    return n_expected
