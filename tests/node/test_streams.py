import json

import gevent
from gevent import socket

from savoryhill.demo.deployment import BEARER_KEY
from savoryhill.node.relay import MAX_QUEUED_BYTES

FULL_TEXT = "".join(f"t{n} " for n in range(8))


def text_of(events):
    """Join the text of a stream and check its offsets."""
    assert events[-1] == "[DONE]"
    texts, offset = [], 0
    for event in map(json.loads, events[:-1]):
        text = event["choices"][0]["text"]
        assert event["offset"] == offset, "offsets are not in order"
        offset += text.count(" ")
        texts.append(text)
    return "".join(texts)


class TestStreams:
    # Guards against a repeated or missing token after a reset connection.
    def test_a_reset_stream_resumes_at_its_offset(self, stack, engines):
        stack.script.append([("chunk", 0, 2), ("chunk", 2, 1), "break"])
        assert text_of(stack.stream(stack.body())) == FULL_TEXT
        (used,) = [engine for engine in engines if engine.calls]
        assert [offset for _, offset in used.calls] == [0, 3]

    # Guards against a client that reads an ended stream for ever: it blocked the
    # whole node.
    def test_a_stream_that_ends_without_its_last_event_resumes(self, stack, engines):
        stack.script.append([("chunk", 0, 3)])
        assert text_of(stack.stream(stack.body())) == FULL_TEXT

    # Guards against a connection that is silent for ever while new ones work.
    def test_a_silent_stream_resumes_on_a_new_connection(self, stack, engines):
        stack.script.append([("chunk", 0, 5), "hang"])
        job = gevent.spawn(stack.stream, stack.body())
        stack.wait(lambda: any(r.next_offset for r in relays(stack)))
        stack.clock_offset_s += 4.0
        assert text_of(job.get(timeout=5)) == FULL_TEXT

    # Guards against a long prefill that is taken for a silent connection.
    def test_waiting_for_the_first_token_is_no_silence(self, stack, engines):
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

    # Guards against chunks of another request on this one's connection.
    def test_a_crossed_chunk_does_not_reach_the_caller(self, stack, engines):
        stack.script.append([("chunk", 0, 1), ("chunk", 1, 3, "other")])
        assert text_of(stack.stream(stack.body())) == FULL_TEXT

    # Guards against a chunk that is delivered twice or out of order.
    def test_late_chunks_are_dropped_and_counted(self, stack, engines):
        before = stack.counter("dropped_chunks")
        steps = [("chunk", 0, 4), ("chunk", 0, 4), ("chunk", 5, 3), ("chunk", 4, 4)]
        stack.script.append([*steps, "done"])
        assert text_of(stack.stream(stack.body())) == FULL_TEXT
        assert stack.counter("dropped_chunks") == before + 2

    # Guards against an answer that is lost with its engine.
    def test_a_stream_continues_on_another_endpoint(self, stack, engines):
        stack.script.append([("chunk", 0, 6), "break"])
        stack.script.append(["break"])
        first, second = engines
        events = stack.stream(stack.body())
        assert text_of(events) == FULL_TEXT
        offsets = sorted(offset for _, offset in first.calls + second.calls)
        assert offsets == [0, 6, 6]
        assert first.calls and second.calls

    # Guards against an engine that works on for a caller who has left.
    def test_a_caller_that_leaves_cancels_a_plain_answer(self, stack, engines):
        stack.script.append([("chunk", 0, 1), "hang"])
        sock = raw_post(stack, stack.body())
        stack.wait(lambda: any(engine.calls for engine in engines))
        sock.close()
        stack.wait(lambda: any(engine.cancelled for engine in engines))
        assert not stack.request_state.requests_by_id

    # Guards against a slow caller that fills the node's memory.
    def test_a_slow_caller_stops_the_reading_from_the_engine(self, stack, engines):
        # Small enough that the predicted time fits into the deadline; as events
        # these are about a megabyte.
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
