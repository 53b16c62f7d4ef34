"""Scripted engine, for tests that exercise one failure at a time.

The script is a queue with one list of steps per call. Several engines may share a
script, so that it applies to whichever engine receives the call. A step is one of:

- ``("chunk", offset, n_tokens)`` sends tokens; a fourth item replaces the request
  id in the event
- ``"break"`` resets the connection
- ``"hang"`` sends nothing more and keeps the connection open
- ``"done"`` ends the stream

When the script is used up, a call receives its complete answer.
"""

import json
from collections import deque
from dataclasses import dataclass, field

import gevent
from gevent.pywsgi import WSGIServer


@dataclass(kw_only=True)
class ScriptedEngine:
    """A running engine.

    ``calls`` holds the request id and the resume offset of each call, and
    ``cancelled`` the ids of the requests that were cancelled.
    """

    name: str
    script: deque
    address: str = ""
    server: WSGIServer | None = None
    calls: list[tuple[str, int]] = field(default_factory=list)
    cancelled: list[str] = field(default_factory=list)


def start_scripted_engine(name, script):
    """Start an engine on a free loopback port.

    Parameters
    ----------
    name : str
        Id of the engine; its incarnation is derived from it.
    script : collections.deque
        The script, as described in the module.

    Returns
    -------
    ScriptedEngine
        The running engine; stop its ``server`` to end it.
    """
    engine = ScriptedEngine(name=name, script=script)
    engine.server = WSGIServer(
        ("127.0.0.1", 0),
        lambda environ, start_response: _serve(engine, environ, start_response),
        log=None,
        error_log=None,
    )
    engine.server.start()
    engine.address = f"127.0.0.1:{engine.server.server_port}"
    return engine


def _serve(engine, environ, start_response):
    path = environ["PATH_INFO"]
    if path == "/v1/completions":
        body = json.loads(environ["wsgi.input"].read())
        start_response("200 OK", [("Content-Type", "text/event-stream")])
        return _stream(engine, environ, body)
    if path.startswith("/admin/cancel/"):
        engine.cancelled.append(path.rsplit("/", 1)[1])
    load = {
        "incarnation": f"{engine.name}#1",
        "warm": True,
        "running": 0,
        "memory_used_tokens": 0,
        "streams": [],
    }
    start_response("200 OK", [("Content-Type", "application/json")])
    return [json.dumps(load).encode()]


def _stream(engine, environ, body):
    request_id = environ["HTTP_X_REQUEST_ID"]
    offset = int(environ.get("HTTP_X_RESUME_OFFSET") or 0)
    engine.calls.append((request_id, offset))
    if engine.script:
        steps = engine.script.popleft()
    else:
        steps = [("chunk", n, 1) for n in range(offset, body["max_tokens"])] + ["done"]
    for step in steps:
        if step == "done":
            yield b"data: [DONE]\n\n"
        elif step == "break":
            raise ConnectionResetError(104, "reset by the script")
        elif step == "hang":
            gevent.sleep(3600)
        else:
            _, start, n_tokens, *event_ids = step
            yield _event(event_ids[0] if event_ids else request_id, start, n_tokens)


def _event(request_id, offset, n_tokens):
    text = "".join(f"t{n} " for n in range(offset, offset + n_tokens))
    event = {
        "id": request_id,
        "offset": offset,
        "n_tokens": n_tokens,
        "choices": [{"index": 0, "text": text, "finish_reason": None}],
    }
    return b"data: " + json.dumps(event).encode() + b"\n\n"
