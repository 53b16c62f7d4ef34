"""The HTTP surface towards callers."""

import hmac
import json
import uuid
from hashlib import sha256

import falcon

from savoryhill.core.effects import FinishRequest
from savoryhill.core.events import CallerGone, RequestArrived
from savoryhill.core.messages import RequestSpec
from savoryhill.httpapp import make_resource
from savoryhill.node.relay import Relay
from savoryhill.node.runtime import submit
from savoryhill.prompts import estimate_tokens, prefix_hashes

MAX_BODY_BYTES = 16 * 1024 * 1024
DEFAULT_MAX_TOKENS = 64


def front_application(node):
    """Build the WSGI application for callers."""
    application = falcon.App()
    add = application.add_route
    add("/healthz", make_resource(node, get=_on_health))
    add("/readyz", make_resource(node, get=_on_ready))
    add("/v1/models", make_resource(node, get=_on_models))
    add("/v1/completions", make_resource(node, post=_on_completion))
    add("/v1/chat/completions", make_resource(node, post=_on_chat_completion))
    add(
        "/services/{name}/{path:path}",
        make_resource(node, get=_on_service, post=_on_service),
    )
    return application


def _on_health(node, req, resp):
    resp.media = {"status": "ok"}


def _on_ready(node, req, resp):
    state = node.runtime.state
    ready = state.active is not None and not state.draining
    resp.status = falcon.HTTP_200 if ready else falcon.HTTP_503
    resp.media = {"ready": ready, "draining": state.draining}


def _on_models(node, req, resp):
    _authenticate(node, req)
    models = node.runtime.state.active.models
    resp.media = {
        "object": "list",
        "data": [{"id": model.name, "object": "model"} for model in models],
    }


def _authenticate(node, req):
    """Return the caller's workspace or raise a 401."""
    scheme, _, key = (req.auth or "").partition(" ")
    digest = sha256(key.encode()).hexdigest()
    active = node.runtime.state.active
    if scheme.lower() == "bearer" and active is not None:
        known = active.workspace_names_by_key_hash
        for key_hash, workspace in known.items():
            if hmac.compare_digest(key_hash, digest):
                return workspace
    raise falcon.HTTPUnauthorized(description="unknown bearer key")


def _deadline_at(node, req, kind):
    header = req.get_header_as_int("Savoryhill-Deadline-Ms")
    limit_s = kind.deadline_s if kind is not None else 60.0
    seconds = header / 1000 if header is not None else limit_s
    return node.clock.monotonic() + seconds


def _kind(node, req, default):
    active = node.runtime.state.active
    name = req.get_header("Savoryhill-Kind") or default
    return name, active.kinds_by_name.get(name)


def _read_json(req):
    if (req.content_length or 0) > MAX_BODY_BYTES:
        raise falcon.HTTPContentTooLarge(
            description=f"body exceeds {MAX_BODY_BYTES} bytes"
        )
    body = req.get_media()
    if not isinstance(body, dict) or not isinstance(body.get("model"), str):
        raise falcon.HTTPBadRequest(description="expected an object with a model")
    return body


def _on_completion(node, req, resp):
    body = _read_json(req)
    if not isinstance(body.get("prompt"), str):
        raise falcon.HTTPBadRequest(description="prompt must be a string")
    _complete(node, req, resp, body, "text_completion")


def _on_chat_completion(node, req, resp):
    body = _read_json(req)
    try:
        lines = [f"{m['role']}: {m['content']}" for m in body.pop("messages")]
    except (KeyError, TypeError) as error:
        raise falcon.HTTPBadRequest(
            description="messages must be a list of objects with role and content"
        ) from error
    body["prompt"] = "\n".join(lines)
    _complete(node, req, resp, body, "chat.completion")


def _complete(node, req, resp, body, object_name):
    workspace = _authenticate(node, req)
    kind_name, kind = _kind(node, req, "completion")
    prompt = body["prompt"].encode()
    spec = RequestSpec(
        request_id=uuid.uuid4().hex,
        workspace=workspace,
        kind=kind_name,
        target=body["model"],
        is_model=True,
        prompt_tokens=estimate_tokens(len(prompt)),
        max_tokens=int(body.setdefault("max_tokens", DEFAULT_MAX_TOKENS)),
        deadline_at=_deadline_at(node, req, kind),
        prefix_hashes=prefix_hashes(prompt),
    )
    relay = Relay(spec=spec, body=body)
    first = _start(node, relay)
    if body.get("stream") and not isinstance(first, FinishRequest):
        resp.content_type = "text/event-stream"
        resp.stream = _events(node, relay, first, object_name)
        return
    texts = []
    while not isinstance(first, FinishRequest):
        texts.append(first.text)
        first = relay.mailbox.get()
    if first.status != 200:
        _problem(resp, first)
        return
    choice = {"index": 0, "finish_reason": "length"}
    if object_name == "chat.completion":
        choice["message"] = {"role": "assistant", "content": "".join(texts)}
    else:
        choice["text"] = "".join(texts)
    resp.media = {
        "id": spec.request_id,
        "object": object_name,
        "model": spec.target,
        "choices": [choice],
        "usage": {
            "prompt_tokens": spec.prompt_tokens,
            "completion_tokens": relay.next_offset,
        },
    }


def _start(node, relay):
    """Admit a request and wait for its first content or its end."""
    node.relays_by_request[relay.spec.request_id] = relay
    submit(node.runtime, RequestArrived(at=node.clock.monotonic(), spec=relay.spec))
    return relay.mailbox.get()


def _events(node, relay, item, object_name):
    ended = False
    try:
        while not isinstance(item, FinishRequest):
            choice = {"index": 0, "finish_reason": None}
            if object_name == "chat.completion":
                choice["delta"] = {"content": item.text}
            else:
                choice["text"] = item.text
            event = {
                "id": relay.spec.request_id,
                "object": object_name,
                "offset": item.offset,
                "choices": [choice],
            }
            yield b"data: " + json.dumps(event).encode() + b"\n\n"
            item = relay.mailbox.get()
        ended = True
        if item.status == 200:
            yield b"data: [DONE]\n\n"
        else:
            yield b"event: error\ndata: " + json.dumps(_document(item)).encode()
            yield b"\n\n"
    finally:
        if not ended:
            _caller_gone(node, relay)


def _caller_gone(node, relay):
    submit(
        node.runtime,
        CallerGone(at=node.clock.monotonic(), request_id=relay.spec.request_id),
    )


def _document(finish):
    return {
        "type": "about:blank",
        "title": falcon.code_to_http_status(finish.status),
        "status": finish.status,
        "detail": finish.detail,
        "execution": finish.execution,
    }


def _problem(resp, finish):
    resp.status = falcon.code_to_http_status(finish.status)
    resp.content_type = "application/problem+json"
    if finish.retry_after_s:
        resp.set_header("Retry-After", str(max(1, round(finish.retry_after_s))))
    resp.data = json.dumps(_document(finish)).encode()


def _find_call(service, method, path):
    for call in service.calls:
        if call.method == method and path == call.path:
            return call
    return None


def _on_service(node, req, resp, name, path):
    workspace = _authenticate(node, req)
    service = node.runtime.state.active.services_by_name.get(name)
    if service is None:
        raise falcon.HTTPNotFound(description=f"no service {name!r}")
    call = _find_call(service, req.method, f"/{path}")
    if call is None:
        raise falcon.HTTPNotFound(description=f"no call {req.method} /{path}")
    kind_name, kind = _kind(node, req, call.kind)
    body = req.bounded_stream.read()
    request_id = uuid.uuid4().hex
    key = req.get_header("Idempotency-Key") or request_id
    identity = f"{workspace}\0{name}\0{key}".encode()
    spec = RequestSpec(
        request_id=request_id,
        workspace=workspace,
        kind=kind_name,
        target=name,
        is_model=False,
        prompt_tokens=0,
        max_tokens=0,
        deadline_at=_deadline_at(node, req, kind),
        idempotent=call.idempotent,
        journal_key=b"" if call.idempotent else sha256(identity).digest()[:16],
        body_digest=sha256(f"{req.method} {path}\0".encode() + body).digest()[:16],
        lookup_path="" if call.idempotent else call.lookup_path,
    )
    relay = Relay(
        spec=spec,
        body=body,
        method=req.method,
        path=f"/{path}",
        idempotency_key=key,
        content_type=req.content_type or "application/json",
    )
    finish = _start(node, relay)
    if finish.execution == "completed" and not finish.answer_missing:
        resp.status = falcon.code_to_http_status(finish.status)
        resp.content_type = finish.content_type or relay.content_type
        resp.data = finish.response
    else:
        _problem(resp, finish)
