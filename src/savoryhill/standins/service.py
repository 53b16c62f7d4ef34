"""Stand-in for an application service that counts executions by idempotency key.

Instances of one service may share their executions and responses, so that a call
that one instance executed can be looked up at another.
"""

from collections import Counter
from dataclasses import dataclass, field

import falcon
import gevent
from gevent import socket

from savoryhill.httpapp import make_resource

# Faults that `POST /control/fault` can set, with the type of their value.
FAULTS = {
    "delay_s": float,
    "drop_answers": int,
    "refuse_next": int,
    "kill_next_before": int,
    "kill_next_after": int,
}


@dataclass(kw_only=True)
class ServiceState:
    """Executions and active faults of a service instance.

    Each of these faults applies to the given number of next calls that change
    state: ``drop_answers`` answers 504 after the execution, ``refuse_next`` answers
    429 without executing, and ``kill_next_before`` and ``kill_next_after`` close the
    connection before or after the execution, as a killed process does.
    ``answers_by_key`` holds the first response of each key, for lookups.
    """

    id: str
    delay_s: float = 0.002
    n_running: int = 0
    n_lookups: int = 0
    drop_answers: int = 0
    refuse_next: int = 0
    kill_next_before: int = 0
    kill_next_after: int = 0
    answer_bytes: int = 0
    executions_by_key: Counter = field(default_factory=Counter)
    answers_by_key: dict[str, dict] = field(default_factory=dict)


def _consume_fault(state, fault):
    """Use up one occurrence of a fault; return whether one was left."""
    n_left = getattr(state, fault)
    if n_left > 0:
        setattr(state, fault, n_left - 1)
    return n_left > 0


def _close_connection(req):
    req.env["wsgi.input"].socket.shutdown(socket.SHUT_RDWR)


def _on_call(state, req, resp, path):
    key = req.get_header("Idempotency-Key") or ""
    body = req.bounded_stream.read()
    response = {"path": path, "key": key, "n_bytes": len(body)}
    if state.answer_bytes:
        response["filler"] = "x" * state.answer_bytes
    if req.method == "GET":
        gevent.sleep(state.delay_s)
        resp.media = response
        return
    if _consume_fault(state, "refuse_next"):
        raise falcon.HTTPTooManyRequests(description="refused before execution")
    if _consume_fault(state, "kill_next_before"):
        _close_connection(req)
        return
    state.n_running += 1
    try:
        state.executions_by_key[key] += 1
        state.answers_by_key.setdefault(key, response)
        gevent.sleep(state.delay_s)
    finally:
        state.n_running -= 1
    if _consume_fault(state, "kill_next_after"):
        _close_connection(req)
        return
    if _consume_fault(state, "drop_answers"):
        raise falcon.HTTPGatewayTimeout(description="answer lost")
    resp.media = response


def _on_lookup(state, req, resp):
    state.n_lookups += 1
    key = req.get_header("Idempotency-Key") or ""
    if key not in state.answers_by_key:
        raise falcon.HTTPNotFound(description="this key was not executed")
    resp.media = state.answers_by_key[key]


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


def _on_fault(state, req, resp):
    for name, value in req.get_media().items():
        if name not in FAULTS:
            raise falcon.HTTPBadRequest(description=f"unknown fault {name!r}")
        setattr(state, name, FAULTS[name](value))
    resp.media = {name: getattr(state, name) for name in FAULTS}


def service_application(state):
    """Build the WSGI application of a service instance."""
    application = falcon.App()
    add_route = application.add_route
    add_route("/admin/load", make_resource(state, get=_on_load))
    add_route("/control/executions", make_resource(state, get=_on_executions))
    add_route("/control/fault", make_resource(state, post=_on_fault))
    add_route("/lookup", make_resource(state, get=_on_lookup))
    add_route("/call/{path:path}", make_resource(state, get=_on_call, post=_on_call))
    return application
