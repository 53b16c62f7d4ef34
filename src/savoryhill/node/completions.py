"""Handlers of OpenAI-compatible completion requests."""

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
    find_kind,
    parse_object,
    read_timeout_s,
)
from savoryhill.prompts import estimate_tokens, prefix_hashes

DEFAULT_KIND = "completion"
TEXT_OBJECT = "text_completion"
CHAT_OBJECT = "chat.completion"
_quote = json.encoder.encode_basestring_ascii


def on_completion(node, req, resp, workspace):
    """Serve ``POST /v1/completions``."""
    body = parse_object(admission.read_body(node, req))
    check_completion(body)
    _serve_completion(node, req, resp, workspace, body, TEXT_OBJECT)


def on_chat_completion(node, req, resp, workspace):
    """Serve ``POST /v1/chat/completions``."""
    body = parse_object(admission.read_body(node, req))
    check_chat(body)
    _serve_completion(node, req, resp, workspace, body, CHAT_OBJECT)


def _serve_completion(node, req, resp, workspace, body, object_name):
    active = node.runtime.state.active
    if not any(model.name == body["model"] for model in active.models):
        detail = f"model: no model is named {body['model'][:80]!r}"
        write_problem(resp, status=404, detail=detail)
        return
    kind_name = req.get_header("Savoryhill-Kind") or DEFAULT_KIND
    is_kind_given = req.get_header("Savoryhill-Kind") is not None
    kind = (
        find_kind(active, kind_name)
        if is_kind_given
        else active.kinds_by_name.get(kind_name)
    )
    timeout_s = read_timeout_s(req.get_header("Savoryhill-Deadline-Ms"), kind)
    prompt = body["prompt"].encode()
    spec = RequestSpec(
        request_id=uuid.uuid4().hex,
        workspace=workspace,
        kind=kind_name,
        target=body["model"],
        is_model=True,
        prompt_tokens=estimate_tokens(len(prompt)),
        max_tokens=body["max_tokens"],
        deadline_at=admission.deadline_at(req, timeout_s),
        prefix_hashes=prefix_hashes(prompt),
    )
    options = body.pop("stream_options", None) or {}
    stream = bool(body.get("stream"))
    relay = Relay(spec=spec, body=body)
    resp.set_header("Savoryhill-Request-Id", spec.request_id)
    watchers = admission.start_request(node, req, relay)
    is_streamed = False
    try:
        chunks = take_chunks(relay)
        if stream and (chunks or admission.is_completed(relay.finish)):
            resp.content_type = "text/event-stream"
            resp.set_header("Cache-Control", "no-store")
            usage = bool(options.get("include_usage"))
            resp.stream = _stream_events(
                node, relay, chunks, object_name, usage, watchers
            )
            is_streamed = True
            return
        texts = [chunk.text for chunk in chunks]
        while relay.finish is None and not relay.caller_gone:
            texts += [chunk.text for chunk in take_chunks(relay)]
        texts += [chunk.text for chunk in relay.chunks]
    finally:
        if not is_streamed:
            admission.stop_watchers(watchers)
    if relay.finish is None or relay.finish.execution != "completed":
        _write_failure(resp, relay)
        return
    resp.text = json.dumps(_completion_document(relay, object_name, "".join(texts)))


def _write_failure(resp, relay):
    if relay.finish is not None:
        write_finish(resp, relay.finish)
    else:
        write_problem(resp, status=499, detail="caller gone", execution="unknown")


def _completion_document(relay, object_name, text):
    choice = {"index": 0, "finish_reason": relay.finish_reason or "length"}
    if object_name == CHAT_OBJECT:
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


def _stream_events(node, relay, chunks, object_name, with_usage, watchers):
    """Yield server-sent events; all queued chunks are joined into one write."""
    is_chat = object_name == CHAT_OBJECT
    common_fields = {
        "id": relay.spec.request_id,
        "object": "chat.completion.chunk" if is_chat else object_name,
        "created": int(time.time()),
        "model": relay.spec.target,
    }
    # The JSON around the offset and the text is the same for each chunk and built once.
    event_start = "data: " + json.dumps(common_fields)[:-1] + ', "offset": '
    event_middle = ', "choices": [{"index": 0, "finish_reason": null, '
    event_middle += '"delta": {"content": ' if is_chat else '"text": '
    event_end = "}}]}\n\n" if is_chat else "}]}\n\n"

    def encode_final_event(choice):
        document = {**common_fields, "offset": relay.next_offset, "choices": choice}
        return b"data: " + json.dumps(document).encode() + b"\n\n"

    has_finished = False
    try:
        if is_chat:
            role = {"role": "assistant", "content": ""}
            yield (
                b"data: "
                + json.dumps(
                    {
                        **common_fields,
                        "offset": 0,
                        "choices": [{"index": 0, "delta": role, "finish_reason": None}],
                    }
                ).encode()
                + b"\n\n"
            )
        while chunks:
            yield "".join(
                [
                    f"{event_start}{chunk.offset}{event_middle}{_quote(chunk.text)}{event_end}"
                    for chunk in chunks
                ]
            ).encode()
            chunks = take_chunks(relay)
        has_finished = relay.finish is not None
        if not has_finished:
            return
        if relay.finish.execution == "completed":
            reason = relay.finish_reason or "length"
            content = {"delta": {}} if is_chat else {"text": ""}
            yield encode_final_event([{"index": 0, "finish_reason": reason, **content}])
            if with_usage:
                document = {**common_fields, "choices": [], "usage": _usage(relay)}
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
        admission.stop_watchers(watchers)
        if not has_finished:
            admission.report_caller_gone(node, relay)
