"""WSGI application of the admin address: metrics, status, timeline and drain."""

import hmac

import falcon

from savoryhill.core.coordination.view import holder_of
from savoryhill.httpapp import make_resource
from savoryhill.node.front import unready_reason
from savoryhill.node.problems import add_problem_handlers
from savoryhill.observability.metrics import prometheus_text
from savoryhill.observability.timeline import select_events

MAX_LISTED_REQUESTS = 1000
DEFAULT_TIMELINE_LIMIT = 2000


def admin_application(node, drain):
    """Build the WSGI application of the admin address.

    Parameters
    ----------
    node : Node
        Node that is inspected and drained.
    drain : callable
        Function that starts the graceful shutdown of the node.
    """
    application = falcon.App()
    add_problem_handlers(application)
    add = application.add_route

    def require_admin_key(handler):
        def handle(node, req, resp):
            _check_key(node, req)
            handler(node, req, resp)

        return handle

    def on_drain(node, req, resp):
        drain(node)
        resp.media = {"draining": True}

    add("/metrics", make_resource(node, get=require_admin_key(_on_metrics)))
    add("/admin/status", make_resource(node, get=require_admin_key(_on_status)))
    add("/admin/timeline", make_resource(node, get=require_admin_key(_on_timeline)))
    add("/admin/drain", make_resource(node, post=require_admin_key(on_drain)))
    return application


def _check_key(node, req):
    expected = node.settings.admin_key
    if not expected:
        raise falcon.HTTPForbidden(
            description="admin calls need the setting admin_key, which is not given"
        )
    scheme, _, given = (req.auth or "").partition(" ")
    is_valid = hmac.compare_digest(given.strip().encode(), expected.encode())
    if scheme.lower() != "bearer" or not is_valid:
        raise falcon.HTTPUnauthorized(
            description="missing or wrong admin key", challenges=["Bearer"]
        )


def _on_metrics(node, req, resp):
    resp.content_type = "text/plain; version=0.0.4"
    resp.text = prometheus_text(node.metrics)


def _on_timeline(node, req, resp):
    limit = req.get_param_as_int("limit", min_value=1) or DEFAULT_TIMELINE_LIMIT
    events = select_events(
        node.timeline_events,
        request=req.get_param("request") or "",
        endpoint=req.get_param("endpoint") or "",
        limit=limit,
    )
    settings = node.settings
    resp.media = {
        "node": settings.node,
        "zone": settings.zone,
        "events": [
            {"node": settings.node, "zone": settings.zone, **event} for event in events
        ],
    }


def _on_status(node, req, resp):
    resp.media = node_status(node)


def _list_members(state):
    """List the members; this node is added, as the membership holds only its peers."""
    own_status = "leaving" if state.draining else "live"
    members = {state.node: (own_status, state.address)}
    for name, member in state.membership.members_by_node.items():
        if name != state.node:
            members[name] = (member.status, member.address)
    return [
        {"node": name, "status": status, "address": address}
        for name, (status, address) in sorted(members.items())
    ]


def node_status(node):
    """Return the status of a node as JSON-compatible data."""
    state = node.runtime.state
    active = state.active
    now = node.clock.monotonic()
    reason = unready_reason(state)
    groups = active.groups_by_id if active is not None else {}
    requests = list(state.requests.requests_by_id.values())
    return {
        "node": state.node,
        "zone": state.zone,
        "region": state.region,
        "incarnation": state.incarnation,
        "ready": reason is None,
        "reason": reason or "",
        "draining": state.draining,
        "isolated": state.configuration.isolated,
        "configuration_revision": active.revision if active is not None else 0,
        "callers": {
            "connections": node.callers.n_connections,
            "answering": node.callers.n_answering,
            "body_bytes": node.callers.n_body_bytes,
        },
        "groups": [
            {
                "group": group,
                "target": groups[group].target,
                "coordinator": holder_of(state, group),
                "endpoints": list(groups[group].endpoints),
            }
            for group in sorted(groups)
        ],
        "members": _list_members(state),
        "n_requests": len(requests),
        "requests": [
            {
                "request": request.spec.request_id,
                "workspace": request.spec.workspace,
                "kind": request.spec.kind,
                "phase": request.phase,
                "endpoint": request.endpoint,
                "tries": request.n_attempts,
                "prompt_tokens": request.spec.prompt_tokens,
                "remaining_s": round(request.spec.deadline_at - now, 3),
            }
            for request in requests[:MAX_LISTED_REQUESTS]
        ],
    }
