"""Stand-in for the platform: key-value service, host list and weights store.

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
from savoryhill.platform.rate_limit import make_bucket, take_token
from savoryhill.standins import platform_store as kv

PROGRESS_INTERVAL_S = 1.0
# Faults that `POST /control/fault` can set, with the type of their value.
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
    """Contents, active faults and counters of the platform stand-in.

    ``lose_next_answers`` (a number) and ``lose_answer_share`` (a probability) lose
    responses to writes that have taken effect: the caller gets status 504, or a
    closed connection if ``close_lost_answers`` is set. A limit of 0 calls per second
    means no limit.
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
    """Set faults by name, all of them or none.

    Raises
    ------
    ValueError
        If a name is unknown or a value has the wrong type.
    """
    for name, value in values.items():
        if name not in FAULTS:
            raise ValueError(f"unknown fault {name!r}")
        value_type = FAULTS[name]
        accepted = (int, float) if value_type is float else value_type
        if not isinstance(value, accepted) or (
            value_type is not bool and isinstance(value, bool)
        ):
            raise ValueError(f"{name}: {value!r} is not a {value_type.__name__}")
    for name, value in values.items():
        setattr(state, name, value)


def _admit_call(state, kind):
    """Apply the outage, delay and rate limit faults before executing a call."""
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


def _respond_to_write(state, req, resp, response):
    """Respond to a write that has taken effect, or lose the response."""
    is_lost = state.lose_next_answers > 0
    if is_lost:
        state.lose_next_answers -= 1
    elif state.lose_answer_share:
        is_lost = state.random.random() < state.lose_answer_share
    if not is_lost:
        resp.media = response
    elif state.close_lost_answers:
        req.env["wsgi.input"].socket.shutdown(socket.SHUT_RDWR)
    else:
        raise falcon.HTTPGatewayTimeout(description="answer lost")


def _on_range(state, req, resp):
    state.n_reads += 1
    _admit_call(state, "reads")
    kv.expire_leases(state, time.monotonic())
    resp.media = kv.apply_range(state, req.get_media())


def _on_txn(state, req, resp):
    state.n_writes += 1
    body = req.get_media()
    _admit_call(state, "writes")
    kv.expire_leases(state, time.monotonic())
    try:
        response = kv.apply_transaction(state, body)
    except kv.RequestRefusedError as error:
        raise falcon.HTTPBadRequest(description=str(error)) from error
    _respond_to_write(state, req, resp, response)


def _on_lease(state, req, resp, action):
    state.n_writes += 1
    body = req.get_media()
    _admit_call(state, "writes")
    now = time.monotonic()
    if action == "grant":
        response = kv.grant_lease(state, int(body["TTL"]), now)
    elif action == "keepalive":
        response = kv.renew_lease(state, int(body["ID"]), now)
    elif action == "revoke":
        response = kv.revoke_lease(state, int(body["ID"]))
    else:
        raise falcon.HTTPNotFound(description=f"no lease call {action!r}")
    _respond_to_write(state, req, resp, response)


def _on_watch(state, req, resp):
    state.n_reads += 1
    _admit_call(state, "reads")
    create_request = req.get_media()["create_request"]
    resp.stream = _watch_lines(
        state,
        b64decode(create_request["key"]),
        b64decode(create_request.get("range_end", "")),
        int(create_request.get("start_revision", 0)),
    )


def _watch_lines(state, start, end, start_revision):
    queue = Queue()

    def enqueue_row(revision, key, value):
        if value is not None and kv.is_in_range(key, start, end):
            queue.put(kv.encode_row(key, value, revision))

    state.listeners.append(enqueue_row)
    try:
        yield _watch_line(state, {"created": True})
        for revision, key, value in list(state.history):
            is_wanted = value is not None and kv.is_in_range(key, start, end)
            if is_wanted and revision >= start_revision:
                events = [{"kv": kv.encode_row(key, value, revision)}]
                yield _watch_line(state, {"events": events})
        while not state.down:
            try:
                events = [{"kv": queue.get(timeout=PROGRESS_INTERVAL_S)}]
            except Empty:
                events = []
            if not state.silent_watches:
                yield _watch_line(state, {"events": events})
    finally:
        state.listeners.remove(enqueue_row)


def _watch_line(state, result):
    result["header"] = {"revision": str(state.revision)}
    return json.dumps({"result": result}).encode() + b"\n"


def _on_hosts(state, req, resp):
    now = time.monotonic()
    current = list(state.hosts_by_node.values())
    if not state.host_lists or state.host_lists[-1][1] != current:
        state.host_lists.append((now, [dict(host) for host in current]))
    visible_at = now - state.hosts_lag_s
    visible = [hosts for at, hosts in state.host_lists if at <= visible_at]
    resp.media = {"hosts": visible[-1] if visible else state.host_lists[0][1]}


def _on_weights(state, req, resp, name):
    _admit_call(state, "weights")
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
    add_route = application.add_route
    add_route("/v3/kv/range", make_resource(state, post=_on_range))
    add_route("/v3/kv/txn", make_resource(state, post=_on_txn))
    add_route("/v3/lease/{action}", make_resource(state, post=_on_lease))
    add_route("/v3/watch", make_resource(state, post=_on_watch))
    add_route("/hosts", make_resource(state, get=_on_hosts))
    add_route(
        "/weights/{name}", make_resource(state, get=_on_weights, head=_on_weights)
    )
    add_route("/control/fault", make_resource(state, post=_on_fault))
    add_route("/control/counts", make_resource(state, get=_on_counts))
    return application
