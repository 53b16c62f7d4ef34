"""Stand-in for a plain service that counts every execution by key.

The instances of one service share their books: a call may run at one instance
and be looked up at another.
"""

from collections import Counter
from dataclasses import dataclass, field

import falcon
import gevent
from gevent import socket

from savoryhill.httpapp import make_resource

# Faults that the control call may set, with the type of their value.
FAULTS = {
    "delay_s": float,
    "drop_answers": int,
    "refuse_next": int,
    "kill_next_before": int,
    "kill_next_after": int,
}


@dataclass(kw_only=True)
class ServiceState:
    """Executions and switched faults; instances of one service share it.

    ``drop_answers`` loses answers after the execution, ``refuse_next`` refuses
    with 429 before it, ``kill_next_before`` and ``kill_next_after`` close the
    connection before or after it, as a process does that is killed.
    ``answers_by_key`` holds the first answer of each key for the lookup call.
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


def _take(state, fault):
    left = getattr(state, fault)
    if left > 0:
        setattr(state, fault, left - 1)
    return left > 0


def _close(req):
    req.env["wsgi.input"].socket.shutdown(socket.SHUT_RDWR)


def _on_call(state, req, resp, path):
    key = req.get_header("Idempotency-Key") or ""
    body = req.bounded_stream.read()
    answer = {"path": path, "key": key, "n_bytes": len(body)}
    if state.answer_bytes:
        answer["filler"] = "x" * state.answer_bytes
    if req.method == "GET":
        gevent.sleep(state.delay_s)
        resp.media = answer
        return
    if _take(state, "refuse_next"):
        raise falcon.HTTPTooManyRequests(description="refused before execution")
    if _take(state, "kill_next_before"):
        _close(req)
        return
    state.n_running += 1
    try:
        state.executions_by_key[key] += 1
        state.answers_by_key.setdefault(key, answer)
        gevent.sleep(state.delay_s)
    finally:
        state.n_running -= 1
    if _take(state, "kill_next_after"):
        _close(req)
        return
    if _take(state, "drop_answers"):
        raise falcon.HTTPGatewayTimeout(description="answer lost")
    resp.media = answer


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
    """Build the WSGI application of a service stand-in."""
    application = falcon.App()
    add = application.add_route
    add("/admin/load", make_resource(state, get=_on_load))
    add("/control/executions", make_resource(state, get=_on_executions))
    add("/control/fault", make_resource(state, post=_on_fault))
    add("/lookup", make_resource(state, get=_on_lookup))
    add("/call/{path:path}", make_resource(state, get=_on_call, post=_on_call))
    return application
