"""Stand-in for the platform: key-value service, host list and weight store."""

import json
from base64 import b64decode, b64encode
from dataclasses import dataclass, field

import falcon
import gevent
from gevent.queue import Queue

from savoryhill.httpapp import make_resource

MAX_VALUE_BYTES = 1_000_000


@dataclass(kw_only=True)
class PlatformState:
    """Contents and switched faults of the platform stand-in."""

    revision: int = 1
    rows_by_key: dict[bytes, tuple[bytes, int]] = field(default_factory=dict)
    watchers: list[tuple[bytes, bytes, Queue]] = field(default_factory=list)
    history: list[tuple[int, bytes, bytes]] = field(default_factory=list)
    hosts_by_node: dict[str, dict] = field(default_factory=dict)
    down: bool = False
    delay_s: float = 0.0
    lose_next_answers: int = 0
    n_reads: int = 0
    n_writes: int = 0


def _matches(key, start, end):
    return key == start if not end else start <= key < end


def _kv(key, value, revision):
    return {
        "key": b64encode(key).decode(),
        "value": b64encode(value).decode(),
        "mod_revision": str(revision),
    }


def _write(state, key, value, revision):
    if value is None:
        state.rows_by_key.pop(key, None)
    else:
        state.rows_by_key[key] = (value, revision)
    state.history.append((revision, key, value))
    del state.history[:-10_000]
    for start, end, queue in state.watchers:
        if value is not None and _matches(key, start, end):
            queue.put(_kv(key, value, revision))


def _check_faults(state):
    if state.down:
        raise falcon.HTTPServiceUnavailable(description="outage is switched on")
    if state.delay_s:
        gevent.sleep(state.delay_s)


def _on_range(state, req, resp):
    _check_faults(state)
    state.n_reads += 1
    body = req.get_media()
    start = b64decode(body["key"])
    end = b64decode(body.get("range_end", ""))
    rows = sorted(
        (key, row)
        for key, row in state.rows_by_key.items()
        if _matches(key, start, end)
    )
    resp.media = {
        "header": {"revision": str(state.revision)},
        "kvs": [_kv(key, value, revision) for key, (value, revision) in rows],
        "count": str(len(rows)),
    }


def _holds(state, compare):
    key = b64decode(compare["key"])
    _, revision = state.rows_by_key.get(key, (b"", 0))
    return revision == int(compare.get("mod_revision", 0))


def _on_txn(state, req, resp):
    _check_faults(state)
    state.n_writes += 1
    body = req.get_media()
    succeeded = all(_holds(state, compare) for compare in body.get("compare", ()))
    operations = body.get("success" if succeeded else "failure", ())
    if operations:
        state.revision += 1
    for operation in operations:
        if "request_put" in operation:
            put = operation["request_put"]
            value = b64decode(put.get("value", ""))
            if len(value) > MAX_VALUE_BYTES:
                raise falcon.HTTPBadRequest(description="value is too large")
            _write(state, b64decode(put["key"]), value, state.revision)
        else:
            key = b64decode(operation["request_delete_range"]["key"])
            _write(state, key, None, state.revision)
    if state.lose_next_answers > 0:
        state.lose_next_answers -= 1
        raise falcon.HTTPGatewayTimeout(description="answer lost")
    resp.media = {
        "header": {"revision": str(state.revision)},
        "succeeded": succeeded,
        "responses": [],
    }


def _on_watch(state, req, resp):
    _check_faults(state)
    state.n_reads += 1
    create = req.get_media()["create_request"]
    start = b64decode(create["key"])
    end = b64decode(create.get("range_end", ""))
    first = int(create.get("start_revision", 0))

    def lines():
        queue = Queue()
        watcher = (start, end, queue)
        state.watchers.append(watcher)
        try:
            yield _watch_line(state, {"created": True})
            for revision, key, value in list(state.history):
                wanted = value is not None and _matches(key, start, end)
                if wanted and revision >= first:
                    events = [{"kv": _kv(key, value, revision)}]
                    yield _watch_line(state, {"events": events})
            while not state.down:
                yield _watch_line(state, {"events": [{"kv": queue.get()}]})
        finally:
            state.watchers.remove(watcher)

    resp.stream = lines()


def _watch_line(state, result):
    result["header"] = {"revision": str(state.revision)}
    return json.dumps({"result": result}).encode() + b"\n"


def _on_hosts(state, req, resp):
    resp.media = {"hosts": list(state.hosts_by_node.values())}


def _on_fault(state, req, resp):
    for name, value in req.get_media().items():
        if name not in ("down", "delay_s", "lose_next_answers"):
            raise falcon.HTTPBadRequest(description=f"unknown fault {name!r}")
        setattr(state, name, value)
    resp.media = {}


def _on_counts(state, req, resp):
    resp.media = {"reads": state.n_reads, "writes": state.n_writes}


def platform_application(state):
    """Build the WSGI application of the platform stand-in."""
    application = falcon.App()
    application.add_route("/v3/kv/range", make_resource(state, post=_on_range))
    application.add_route("/v3/kv/txn", make_resource(state, post=_on_txn))
    application.add_route("/v3/watch", make_resource(state, post=_on_watch))
    application.add_route("/hosts", make_resource(state, get=_on_hosts))
    application.add_route("/control/fault", make_resource(state, post=_on_fault))
    application.add_route("/control/counts", make_resource(state, get=_on_counts))
    return application
