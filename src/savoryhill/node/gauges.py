"""Metrics of a node that are read when they are asked for."""


def _by(name, counts):
    return {((name, str(key)),): value for key, value in counts.items()}


def make_gauges(node):
    """Return the functions that read a node's gauges, by metric name."""
    state = node.runtime.state

    def effects():
        return _by("effect", node.runtime.n_effects_by_name)

    def events():
        return _by("event", node.runtime.n_events_by_name)

    def phases():
        counts = {}
        for request in state.requests.requests_by_id.values():
            counts[request.phase] = counts.get(request.phase, 0) + 1
        return _by("phase", counts)

    return {
        "caller_connections": lambda: node.callers.n_connections,
        "caller_body_bytes": lambda: node.callers.n_body_bytes,
        "callers_refused": lambda: _by("reason", node.callers.n_refused_by_reason),
        "configuration_revision": lambda: state.active.revision if state.active else 0,
        "core_effects": effects,
        "core_events": events,
        "draining": lambda: int(state.draining),
        "isolated": lambda: int(state.configuration.isolated),
        "key_value_calls": lambda: _by("status", node.runtime.n_answers_by_status),
        "peer_frames_dropped": lambda: _by(
            "reason", node.transport.n_dropped_by_reason
        ),
        "peer_frames_sent": lambda: _by("channel", node.transport.n_sent_by_channel),
        "requests": phases,
        "retry_tokens": lambda: state.requests.retry_tokens,
    }
