"""Handler of calls to plain services."""

import uuid
from hashlib import sha256

import falcon

from savoryhill.core.messages import RequestSpec
from savoryhill.node import admission
from savoryhill.node.problems import write_finish, write_problem
from savoryhill.node.relay import Relay
from savoryhill.node.validation import (
    check_idempotency_key,
    find_kind,
    read_timeout_s,
)


def _find_call(service, method, path):
    for call in service.calls:
        if call.method == method and path == call.path:
            return call
    return None


def on_service(node, req, resp, workspace, name, path):
    """Serve ``/services/<name>/<path>``."""
    active = node.runtime.state.active
    service = active.services_by_name.get(name)
    if service is None:
        raise falcon.HTTPNotFound(description=f"no service is named {name[:80]!r}")
    call = _find_call(service, req.method, f"/{path}")
    if call is None:
        raise falcon.HTTPNotFound(
            description=f"service {name!r} has no call {req.method} /{path[:80]}"
        )
    key = req.get_header("Idempotency-Key")
    check_idempotency_key(key)
    kind_name = req.get_header("Savoryhill-Kind") or call.kind
    kind = find_kind(active, kind_name)
    timeout_s = read_timeout_s(req.get_header("Savoryhill-Deadline-Ms"), kind)
    body = admission.read_body(node, req)
    request_id = uuid.uuid4().hex
    target = call.path + (f"?{req.query_string}" if req.query_string else "")
    key = key or request_id
    # Hashing the parts separately keeps the journal keys of two workspaces apart,
    # whatever idempotency keys their callers choose.
    key_digests = b"\0".join(
        sha256(part.encode()).digest() for part in (workspace, name, key)
    )
    request_hash = sha256(f"{req.method} {target}\0".encode() + body)
    spec = RequestSpec(
        request_id=request_id,
        workspace=workspace,
        kind=kind_name,
        target=name,
        is_model=False,
        prompt_tokens=0,
        max_tokens=0,
        deadline_at=admission.deadline_at(req, timeout_s),
        idempotent=call.idempotent,
        journal_key=b"" if call.idempotent else sha256(key_digests).digest()[:16],
        body_digest=request_hash.digest()[:16],
        lookup_path="" if call.idempotent else call.lookup_path,
    )
    relay = Relay(
        spec=spec,
        body=body,
        method=req.method,
        path=target,
        idempotency_key=key,
        content_type=req.content_type or "application/json",
    )
    resp.set_header("Savoryhill-Request-Id", request_id)
    watchers = admission.start_request(node, req, relay)
    try:
        finish = admission.wait_for_finish(relay)
    finally:
        admission.stop_watchers(watchers)
    if finish is None:
        write_problem(resp, status=499, detail="caller gone", execution="unknown")
    elif finish.execution == "completed" and not finish.response_missing:
        resp.status = falcon.code_to_http_status(finish.status)
        resp.content_type = finish.content_type or "application/octet-stream"
        resp.data = finish.response
    else:
        write_finish(resp, finish)
