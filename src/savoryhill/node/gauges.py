"""Gauges of a node that are computed when the metrics are read."""


def _labeled_values(label, counts):
    return {((label, str(key)),): value for key, value in counts.items()}


def make_gauges(node):
    """Return the functions that compute the gauges of a node, by metric name."""
    state = node.runtime.state

    def read_effects():
        return _labeled_values("effect", node.runtime.n_effects_by_name)

    def read_events():
        return _labeled_values("event", node.runtime.n_events_by_name)

    def count_phases():
        counts = {}
        for request in state.requests.requests_by_id.values():
            counts[request.phase] = counts.get(request.phase, 0) + 1
        return _labeled_values("phase", counts)

    return {
        "caller_connections": lambda: node.callers.n_connections,
        "caller_body_bytes": lambda: node.callers.n_body_bytes,
        "callers_refused": lambda: _labeled_values(
            "reason", node.callers.n_refused_by_reason
        ),
        "configuration_revision": lambda: state.active.revision if state.active else 0,
        "core_effects": read_effects,
        "core_events": read_events,
        "draining": lambda: int(state.draining),
        "isolated": lambda: int(state.configuration.isolated),
        "key_value_calls": lambda: _labeled_values(
            "status", node.runtime.n_key_value_responses_by_status
        ),
        "peer_frames_dropped": lambda: _labeled_values(
            "reason", node.transport.n_dropped_by_reason
        ),
        "peer_frames_sent": lambda: _labeled_values(
            "channel", node.transport.n_sent_by_channel
        ),
        "requests": count_phases,
        "retry_tokens": lambda: state.requests.retry_tokens,
    }
