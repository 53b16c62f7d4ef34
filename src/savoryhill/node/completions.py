"""OpenAI-compatible completions."""

import json
import time
import uuid

from savoryhill.core.messages import RequestSpec
from savoryhill.node import admission
from savoryhill.node.problems import problem_document, write_finish, write_problem
from savoryhill.node.relay import Relay, take_chunks
from savoryhill.node.validation import (
    check_chat,
    check_completion,
    deadline_seconds,
    parse_object,
    read_kind,
)
from savoryhill.prompts import estimate_tokens, prefix_hashes

DEFAULT_KIND = "completion"
TEXT = "text_completion"
CHAT = "chat.completion"
_quote = json.encoder.encode_basestring_ascii


def on_completion(node, req, resp, workspace):
    """Serve ``POST /v1/completions``."""
    body = parse_object(admission.read_body(node, req))
    check_completion(body)
    _complete(node, req, resp, workspace, body, TEXT)


def on_chat_completion(node, req, resp, workspace):
    """Serve ``POST /v1/chat/completions``."""
    body = parse_object(admission.read_body(node, req))
    check_chat(body)
    _complete(node, req, resp, workspace, body, CHAT)


def _complete(node, req, resp, workspace, body, object_name):
    active = node.runtime.state.active
    if not any(model.name == body["model"] for model in active.models):
        detail = f"model: no model is named {body['model'][:80]!r}"
        write_problem(resp, status=404, detail=detail)
        return
    kind_name = req.get_header("Savoryhill-Kind") or DEFAULT_KIND
    named = req.get_header("Savoryhill-Kind") is not None
    kind = (
        read_kind(active, kind_name) if named else active.kinds_by_name.get(kind_name)
    )
    seconds = deadline_seconds(req.get_header("Savoryhill-Deadline-Ms"), kind)
    prompt = body["prompt"].encode()
    spec = RequestSpec(
        request_id=uuid.uuid4().hex,
        workspace=workspace,
        kind=kind_name,
        target=body["model"],
        is_model=True,
        prompt_tokens=estimate_tokens(len(prompt)),
        max_tokens=body["max_tokens"],
        deadline_at=admission.deadline_at(req, seconds),
        prefix_hashes=prefix_hashes(prompt),
    )
    options = body.pop("stream_options", None) or {}
    stream = bool(body.get("stream"))
    relay = Relay(spec=spec, body=body)
    resp.set_header("Savoryhill-Request-Id", spec.request_id)
    watchers = admission.start(node, req, relay)
    handed_over = False
    try:
        chunks = take_chunks(relay)
        if stream and (chunks or admission.finished(relay.finish)):
            resp.content_type = "text/event-stream"
            resp.set_header("Cache-Control", "no-store")
            usage = bool(options.get("include_usage"))
            resp.stream = _events(node, relay, chunks, object_name, usage, watchers)
            handed_over = True
            return
        texts = [chunk.text for chunk in chunks]
        while relay.finish is None and not relay.caller_gone:
            texts += [chunk.text for chunk in take_chunks(relay)]
        texts += [chunk.text for chunk in relay.chunks]
    finally:
        if not handed_over:
            admission.stop_watching(watchers)
    if relay.finish is None or relay.finish.execution != "completed":
        _write_failure(resp, relay)
        return
    resp.text = json.dumps(_whole_answer(relay, object_name, "".join(texts)))


def _write_failure(resp, relay):
    if relay.finish is not None:
        write_finish(resp, relay.finish)
    else:
        write_problem(resp, status=499, detail="caller gone", execution="unknown")


def _whole_answer(relay, object_name, text):
    choice = {"index": 0, "finish_reason": relay.finish_reason or "length"}
    if object_name == CHAT:
        choice["message"] = {"role": "assistant", "content": text}
    else:
        choice["text"] = text
    choice["logprobs"] = None
    return {
        "id": relay.spec.request_id,
        "object": object_name,
        "created": int(time.time()),
        "model": relay.spec.target,
        "choices": [choice],
        "usage": _usage(relay),
    }


def _usage(relay):
    return {
        "prompt_tokens": relay.spec.prompt_tokens,
        "completion_tokens": relay.next_offset,
        "total_tokens": relay.spec.prompt_tokens + relay.next_offset,
    }


def _events(node, relay, chunks, object_name, with_usage, watchers):
    """Yield server-sent events; all chunks that wait go into one write."""
    chat = object_name == CHAT
    fixed = {
        "id": relay.spec.request_id,
        "object": "chat.completion.chunk" if chat else object_name,
        "created": int(time.time()),
        "model": relay.spec.target,
    }
    opening = "data: " + json.dumps(fixed)[:-1] + ', "offset": '
    before = ', "choices": [{"index": 0, "finish_reason": null, '
    before += '"delta": {"content": ' if chat else '"text": '
    after = "}}]}\n\n" if chat else "}]}\n\n"

    def closing(choice):
        document = {**fixed, "offset": relay.next_offset, "choices": choice}
        return b"data: " + json.dumps(document).encode() + b"\n\n"

    ended = False
    try:
        if chat:
            role = {"role": "assistant", "content": ""}
            yield (
                b"data: "
                + json.dumps(
                    {
                        **fixed,
                        "offset": 0,
                        "choices": [{"index": 0, "delta": role, "finish_reason": None}],
                    }
                ).encode()
                + b"\n\n"
            )
        while chunks:
            yield "".join(
                [
                    f"{opening}{chunk.offset}{before}{_quote(chunk.text)}{after}"
                    for chunk in chunks
                ]
            ).encode()
            chunks = take_chunks(relay)
        ended = relay.finish is not None
        if not ended:
            return
        if relay.finish.execution == "completed":
            reason = relay.finish_reason or "length"
            content = {"delta": {}} if chat else {"text": ""}
            yield closing([{"index": 0, "finish_reason": reason, **content}])
            if with_usage:
                document = {**fixed, "choices": [], "usage": _usage(relay)}
                yield b"data: " + json.dumps(document).encode() + b"\n\n"
            yield b"data: [DONE]\n\n"
        else:
            document = problem_document(
                status=relay.finish.status,
                detail=relay.finish.detail,
                execution=relay.finish.execution,
            )
            yield b"event: error\ndata: " + json.dumps(document).encode() + b"\n\n"
    finally:
        admission.stop_watching(watchers)
        if not ended:
            admission.caller_gone(node, relay)
