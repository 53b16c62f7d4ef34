import json

import gevent
from gevent import socket

from savoryhill.demo.deployment import BEARER_KEY
from savoryhill.node.relay import MAX_QUEUED_BYTES

FULL_TEXT = "".join(f"t{n} " for n in range(8))


def text_of(events):
    """Join the text of a stream after checking that its offsets are contiguous."""
    assert events[-1] == "[DONE]"
    texts, offset = [], 0
    for event in map(json.loads, events[:-1]):
        text = event["choices"][0]["text"]
        assert event["offset"] == offset, "offsets are not in order"
        offset += text.count(" ")
        texts.append(text)
    return "".join(texts)


class TestStreams:
    # Guards against repeated or missing tokens after a connection reset.
    def test_reset_stream_resumes_at_its_offset(self, stack, engines):
        stack.script.append([("chunk", 0, 2), ("chunk", 2, 1), "break"])
        assert text_of(stack.stream(stack.body())) == FULL_TEXT
        (used,) = [engine for engine in engines if engine.calls]
        assert [offset for _, offset in used.calls] == [0, 3]

    # Guards against an endless read loop on a stream that ended early; it blocked the
    # whole node.
    def test_stream_without_final_event_resumes(self, stack, engines):
        stack.script.append([("chunk", 0, 3)])
        assert text_of(stack.stream(stack.body())) == FULL_TEXT

    # Guards against waiting for ever on a silent connection while new ones work.
    def test_silent_stream_resumes_on_a_new_connection(self, stack, engines):
        stack.script.append([("chunk", 0, 5), "hang"])
        job = gevent.spawn(stack.stream, stack.body())
        stack.wait(lambda: any(r.next_offset for r in relays(stack)))
        stack.clock_offset_s += 4.0
        assert text_of(job.get(timeout=5)) == FULL_TEXT

    # Guards against treating a long prefill as a silent connection.
    def test_first_token_has_a_longer_silence_limit(self, stack, engines):
        stack.script.append(["hang"])
        job = gevent.spawn(stack.stream, stack.body(prompt="x" * 4 * 400_000))
        stack.wait(lambda: any(r.silence_limit_s for r in relays(stack)))
        (relay,) = relays(stack)
        assert relay.silence_limit_s >= 8.0
        stack.clock_offset_s += 4.0
        gevent.idle()
        assert relay.connection_number == 1
        stack.clock_offset_s += 10.0
        assert text_of(job.get(timeout=5)) == FULL_TEXT

    # Guards against relaying chunks of another request that arrive on the connection.
    def test_chunk_of_another_request_is_not_relayed(self, stack, engines):
        stack.script.append([("chunk", 0, 1), ("chunk", 1, 3, "other")])
        assert text_of(stack.stream(stack.body())) == FULL_TEXT

    # Guards against relaying a chunk twice or out of order.
    def test_repeated_and_skipped_offsets_are_dropped_and_counted(self, stack, engines):
        before = stack.counter("dropped_chunks")
        steps = [("chunk", 0, 4), ("chunk", 0, 4), ("chunk", 5, 3), ("chunk", 4, 4)]
        stack.script.append([*steps, "done"])
        assert text_of(stack.stream(stack.body())) == FULL_TEXT
        assert stack.counter("dropped_chunks") == before + 2

    # Guards against losing the response when its engine fails.
    def test_stream_continues_on_another_endpoint(self, stack, engines):
        stack.script.append([("chunk", 0, 6), "break"])
        stack.script.append(["break"])
        first, second = engines
        events = stack.stream(stack.body())
        assert text_of(events) == FULL_TEXT
        offsets = sorted(offset for _, offset in first.calls + second.calls)
        assert offsets == [0, 6, 6]
        assert first.calls and second.calls

    # Guards against an engine that continues to generate after the caller disconnected.
    def test_disconnect_cancels_a_completion_without_streaming(self, stack, engines):
        stack.script.append([("chunk", 0, 1), "hang"])
        sock = raw_post(stack, stack.body())
        stack.wait(lambda: any(engine.calls for engine in engines))
        sock.close()
        stack.wait(lambda: any(engine.cancelled for engine in engines))
        assert not stack.request_state.requests_by_id

    # Guards against unbounded memory use for a slow caller.
    def test_slow_caller_pauses_reading_from_the_engine(self, stack, engines):
        # About 1 MB of events, more than the buffers hold, but few enough tokens that
        # the predicted time fits into the deadline.
        n_tokens = 4_000
        chunks = [("chunk", n, 1) for n in range(n_tokens)]
        stack.script.append([*chunks, "done"])
        sock = raw_post(stack, stack.body(max_tokens=n_tokens, stream=True))
        stack.wait(lambda: any(is_queue_full(r) for r in relays(stack)))
        (relay,) = relays(stack)
        assert relay.n_queued_bytes < 2 * MAX_QUEUED_BYTES
        assert relay.next_offset < n_tokens
        assert relay.silence_limit_s == 0.0
        sock.close()
        stack.wait(lambda: not stack.request_state.requests_by_id)


def is_queue_full(relay):
    return relay.n_queued_bytes > MAX_QUEUED_BYTES


def relays(stack):
    return list(stack.node.relays_by_request.values())


def raw_post(stack, body):
    host, port = stack.address.split(":")
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    sock.connect((host, int(port)))
    content = json.dumps(body).encode()
    head = (
        f"POST /v1/completions HTTP/1.1\r\nHost: {host}\r\n"
        f"Authorization: Bearer {BEARER_KEY}\r\nContent-Length: {len(content)}\r\n\r\n"
    )
    sock.sendall(head.encode() + content)
    return sock
