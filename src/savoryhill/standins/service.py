"""Stand-in for a plain service that counts every execution by key."""

from collections import Counter
from dataclasses import dataclass, field

import falcon
import gevent

from savoryhill.httpapp import make_resource


@dataclass(kw_only=True)
class ServiceState:
    """Executions and switched faults; instances of one service share it."""

    id: str
    delay_s: float = 0.002
    n_running: int = 0
    drop_answers: int = 0
    executions_by_key: Counter = field(default_factory=Counter)


def _on_call(state, req, resp, path):
    key = req.get_header("Idempotency-Key") or ""
    body = req.bounded_stream.read()
    state.n_running += 1
    try:
        if req.method != "GET":
            state.executions_by_key[key] += 1
        gevent.sleep(state.delay_s)
    finally:
        state.n_running -= 1
    if state.drop_answers > 0:
        state.drop_answers -= 1
        raise falcon.HTTPGatewayTimeout(description="answer lost")
    resp.media = {"path": path, "key": key, "n_bytes": len(body)}


def _on_load(state, req, resp):
    resp.media = {
        "incarnation": f"{state.id}#1",
        "warm": True,
        "running": state.n_running,
        "memory_used_tokens": 0,
        "streams": [],
    }


def _on_executions(state, req, resp):
    resp.media = dict(state.executions_by_key)


def service_application(state):
    """Build the WSGI application of a service stand-in."""
    application = falcon.App()
    application.add_route("/admin/load", make_resource(state, get=_on_load))
    application.add_route(
        "/control/executions", make_resource(state, get=_on_executions)
    )
    application.add_route(
        "/call/{path:path}", make_resource(state, get=_on_call, post=_on_call)
    )
    return application
