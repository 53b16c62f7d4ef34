"""Stand-in for the platform: key-value service, host list and weight store.

Faults are attributes of `PlatformState`; ``POST /control/fault`` sets them from
outside the process.
"""

import json
import time
from base64 import b64decode
from collections import Counter
from dataclasses import dataclass, field
from random import Random

import falcon
import gevent
from gevent import socket
from gevent.queue import Empty, Queue

from savoryhill.httpapp import make_resource
from savoryhill.platform.budget import make_bucket, take_token
from savoryhill.standins import platform_store as kv

PROGRESS_INTERVAL_S = 1.0
# Faults that the control call may set, with the type of their value.
FAULTS = {
    "down": bool,
    "delay_s": float,
    "lose_next_answers": int,
    "lose_answer_share": float,
    "close_lost_answers": bool,
    "silent_watches": bool,
    "writes_per_s": float,
    "reads_per_s": float,
    "weights_per_s": float,
    "hosts_lag_s": float,
}


@dataclass(kw_only=True)
class PlatformState(kv.StoreState):
    """Contents and switched faults of the platform stand-in.

    ``lose_next_answers`` and ``lose_answer_share`` lose answers of writes after
    they took effect: as status 504, or by closing the connection if
    ``close_lost_answers`` is set. Limits of 0 calls a second mean no limit.
    """

    hosts_by_node: dict[str, dict] = field(default_factory=dict)
    host_lists: list[tuple[float, list]] = field(default_factory=list)
    weights_by_name: dict[str, bytes] = field(default_factory=dict)
    down: bool = False
    delay_s: float = 0.0
    lose_next_answers: int = 0
    lose_answer_share: float = 0.0
    close_lost_answers: bool = False
    silent_watches: bool = False
    writes_per_s: float = 0.0
    reads_per_s: float = 0.0
    weights_per_s: float = 0.0
    hosts_lag_s: float = 0.0
    n_reads: int = 0
    n_writes: int = 0
    n_refused: Counter = field(default_factory=Counter)
    buckets: dict = field(default_factory=dict)
    random: Random = field(default_factory=lambda: Random(1))


def set_faults(state, values):
    """Switch faults by name.

    Raises
    ------
    ValueError
        If a name is unknown or a value has the wrong type.
    """
    for name, value in values.items():
        if name not in FAULTS:
            raise ValueError(f"unknown fault {name!r}")
        kind = FAULTS[name]
        accepted = (int, float) if kind is float else kind
        if not isinstance(value, accepted) or (
            kind is not bool and isinstance(value, bool)
        ):
            raise ValueError(f"{name}: {value!r} is not a {kind.__name__}")
    for name, value in values.items():
        setattr(state, name, value)


def _admit(state, kind):
    """Apply outage, delay and rate limit before a call is executed."""
    if state.down:
        state.n_refused["down"] += 1
        raise falcon.HTTPServiceUnavailable(description="outage is switched on")
    if state.delay_s:
        gevent.sleep(state.delay_s)
    rate = getattr(state, f"{kind}_per_s")
    if not rate:
        return
    bucket = state.buckets.get(kind)
    if bucket is None or bucket.rate_per_s != rate:
        bucket = state.buckets[kind] = make_bucket(rate)
    if take_token(bucket, time.monotonic(), max_wait_s=0.0) is None:
        state.n_refused[kind] += 1
        raise falcon.HTTPTooManyRequests(description=f"over {rate:g} {kind} a second")


def _answer_write(state, req, resp, answer):
    """Answer a write that has taken effect, or lose the answer."""
    lost = state.lose_next_answers > 0
    if lost:
        state.lose_next_answers -= 1
    elif state.lose_answer_share:
        lost = state.random.random() < state.lose_answer_share
    if not lost:
        resp.media = answer
    elif state.close_lost_answers:
        req.env["wsgi.input"].socket.shutdown(socket.SHUT_RDWR)
    else:
        raise falcon.HTTPGatewayTimeout(description="answer lost")


def _on_range(state, req, resp):
    state.n_reads += 1
    _admit(state, "reads")
    kv.expire(state, time.monotonic())
    resp.media = kv.apply_range(state, req.get_media())


def _on_txn(state, req, resp):
    state.n_writes += 1
    body = req.get_media()
    _admit(state, "writes")
    kv.expire(state, time.monotonic())
    try:
        answer = kv.apply_transaction(state, body)
    except kv.RefusedRequest as error:
        raise falcon.HTTPBadRequest(description=str(error)) from error
    _answer_write(state, req, resp, answer)


def _on_lease(state, req, resp, action):
    state.n_writes += 1
    body = req.get_media()
    _admit(state, "writes")
    now = time.monotonic()
    if action == "grant":
        answer = kv.grant(state, int(body["TTL"]), now)
    elif action == "keepalive":
        answer = kv.keep_alive(state, int(body["ID"]), now)
    elif action == "revoke":
        answer = kv.revoke(state, int(body["ID"]))
    else:
        raise falcon.HTTPNotFound(description=f"no lease call {action!r}")
    _answer_write(state, req, resp, answer)


def _on_watch(state, req, resp):
    state.n_reads += 1
    _admit(state, "reads")
    create = req.get_media()["create_request"]
    resp.stream = _watch_lines(
        state,
        b64decode(create["key"]),
        b64decode(create.get("range_end", "")),
        int(create.get("start_revision", 0)),
    )


def _watch_lines(state, start, end, first):
    queue = Queue()

    def listener(revision, key, value):
        if value is not None and kv.matches(key, start, end):
            queue.put(kv.kv_json(key, value, revision))

    state.listeners.append(listener)
    try:
        yield _watch_line(state, {"created": True})
        for revision, key, value in list(state.history):
            wanted = value is not None and kv.matches(key, start, end)
            if wanted and revision >= first:
                events = [{"kv": kv.kv_json(key, value, revision)}]
                yield _watch_line(state, {"events": events})
        while not state.down:
            try:
                events = [{"kv": queue.get(timeout=PROGRESS_INTERVAL_S)}]
            except Empty:
                events = []
            if not state.silent_watches:
                yield _watch_line(state, {"events": events})
    finally:
        state.listeners.remove(listener)


def _watch_line(state, result):
    result["header"] = {"revision": str(state.revision)}
    return json.dumps({"result": result}).encode() + b"\n"


def _on_hosts(state, req, resp):
    now = time.monotonic()
    current = list(state.hosts_by_node.values())
    if not state.host_lists or state.host_lists[-1][1] != current:
        state.host_lists.append((now, [dict(host) for host in current]))
    shown_at = now - state.hosts_lag_s
    shown = [hosts for at, hosts in state.host_lists if at <= shown_at]
    resp.media = {"hosts": shown[-1] if shown else state.host_lists[0][1]}


def _on_weights(state, req, resp, name):
    _admit(state, "weights")
    if name not in state.weights_by_name:
        raise falcon.HTTPNotFound(description=f"no weights {name!r}")
    resp.content_type = "application/octet-stream"
    resp.data = state.weights_by_name[name]


def _on_fault(state, req, resp):
    try:
        set_faults(state, req.get_media())
    except ValueError as error:
        raise falcon.HTTPBadRequest(description=str(error)) from error
    resp.media = {name: getattr(state, name) for name in FAULTS}


def _on_counts(state, req, resp):
    resp.media = {
        "reads": state.n_reads,
        "writes": state.n_writes,
        "refused": dict(state.n_refused),
    }


def platform_application(state):
    """Build the WSGI application of the platform stand-in."""
    application = falcon.App()
    add = application.add_route
    add("/v3/kv/range", make_resource(state, post=_on_range))
    add("/v3/kv/txn", make_resource(state, post=_on_txn))
    add("/v3/lease/{action}", make_resource(state, post=_on_lease))
    add("/v3/watch", make_resource(state, post=_on_watch))
    add("/hosts", make_resource(state, get=_on_hosts))
    add("/weights/{name}", make_resource(state, get=_on_weights, head=_on_weights))
    add("/control/fault", make_resource(state, post=_on_fault))
    add("/control/counts", make_resource(state, get=_on_counts))
    return application
