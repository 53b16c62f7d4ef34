import json
from hashlib import sha256
from types import SimpleNamespace

import gevent
import pytest
from falcon import testing
from gevent import socket

from savoryhill.config.model import Workspace
from savoryhill.demo.deployment import BEARER_KEY
from savoryhill.node.front import front_application, workspace_of

CHAT_PATH = "/v1/chat/completions"
COMPLETIONS_PATH = "/v1/completions"
FULL_TEXT = "".join(f"t{n} " for n in range(8))


def messages(content="hello"):
    return [{"role": "user", "content": content}]


class TestCompletions:
    def test_completion_has_the_openai_format(self, stack, engines):
        status, answer = stack.post(COMPLETIONS_PATH, stack.body())
        assert status == 200
        choice = answer["choices"][0]
        assert (choice["text"], choice["finish_reason"]) == (FULL_TEXT, "length")
        assert answer["usage"]["completion_tokens"] == 8

    def test_chat_completion_streams_deltas_and_usage(self, stack, engines):
        body = {
            "model": "assistant",
            "messages": messages([{"type": "text", "text": "hello"}]),
            "max_completion_tokens": 8,
            "stream": True,
            "stream_options": {"include_usage": True},
        }
        status, headers, answer = stack.request(
            "POST", CHAT_PATH, json.dumps(body).encode()
        )
        lines = [line for line in answer.decode().split("\n\n") if line]
        assert (status, lines[-1]) == (200, "data: [DONE]")
        events = [json.loads(line.removeprefix("data: ")) for line in lines[:-1]]
        deltas = [event["choices"][0]["delta"] for event in events if event["choices"]]
        assert deltas[0]["role"] == "assistant"
        assert "".join(delta.get("content", "") for delta in deltas) == FULL_TEXT
        assert events[-1]["usage"]["completion_tokens"] == 8

    # Guards against invalid requests that are rejected only by the engine.
    @pytest.mark.parametrize(
        ("path", "change", "location"),
        [
            (COMPLETIONS_PATH, {"model": None}, "model"),
            (COMPLETIONS_PATH, {"prompt": 7}, "prompt"),
            (COMPLETIONS_PATH, {"prompt": ["a", "b"]}, "prompt"),
            (COMPLETIONS_PATH, {"prompt": "\ud800"}, "prompt"),
            (COMPLETIONS_PATH, {"max_tokens": 0}, "max_tokens"),
            (COMPLETIONS_PATH, {"max_tokens": True}, "max_tokens"),
            (COMPLETIONS_PATH, {"max_tokens": 10**9}, "max_tokens"),
            (COMPLETIONS_PATH, {"stream": "yes"}, "stream"),
            (COMPLETIONS_PATH, {"n": 2}, "n"),
            (COMPLETIONS_PATH, {"temperature": 3}, "temperature"),
            (COMPLETIONS_PATH, {"stop": [1]}, "stop"),
            (COMPLETIONS_PATH, {"echo": True}, "echo"),
            (CHAT_PATH, {"messages": []}, "messages"),
            (CHAT_PATH, {"messages": [{"role": "user"}]}, "messages[0].content"),
            (CHAT_PATH, {"messages": ["x"]}, "messages[0]"),
        ],
    )
    def test_invalid_body_is_refused_with_the_location(
        self, stack, path, change, location
    ):
        body = {"model": "assistant", "prompt": "x", "messages": messages(), **change}
        status, problem = stack.post(path, body)
        assert (status, problem["execution"]) == (400, "not_run")
        assert problem["detail"].startswith(f"{location}:")

    def test_problem_lists_all_findings(self, stack):
        _, problem = stack.post(COMPLETIONS_PATH, {"max_tokens": 0})
        assert len(problem["findings"]) == 3

    @pytest.mark.parametrize("content", [b"", b"[]", b"{", b"\xff", b"[" * 100_000])
    def test_body_that_is_not_an_object_is_refused(self, stack, content):
        status, headers, answer = stack.request("POST", COMPLETIONS_PATH, content)
        assert status == 400
        assert headers["content-type"] == "application/problem+json"

    @pytest.mark.parametrize(
        ("headers", "status"),
        [
            ({"Savoryhill-Deadline-Ms": "0"}, 400),
            ({"Savoryhill-Deadline-Ms": "-5"}, 400),
            ({"Savoryhill-Deadline-Ms": "1e3"}, 400),
            ({"Savoryhill-Kind": "unheard"}, 400),
        ],
    )
    def test_invalid_headers_are_refused(self, stack, headers, status):
        assert stack.post(COMPLETIONS_PATH, stack.body(), headers)[0] == status

    # Guards against a caller that occupies resources beyond the deadline of its kind by
    # sending a longer one in the header.
    def test_deadline_is_limited_by_the_kind(self, stack, engines):
        stack.script.append(["hang"])
        headers = {"Savoryhill-Deadline-Ms": "99999999", "Savoryhill-Kind": "query"}
        job = gevent.spawn(stack.post, COMPLETIONS_PATH, stack.body(), headers)
        stack.wait(lambda: stack.request_state.requests_by_id)
        (request,) = stack.request_state.requests_by_id.values()
        remaining_s = request.spec.deadline_at - stack.node.clock.monotonic()
        assert 4.0 < remaining_s < 5.0
        stack.clock_offset_s += 6.0
        status, problem = job.get(timeout=5)
        assert (status, problem["execution"]) == (504, "unknown")

    # Guards against an error response that arrives after the caller's deadline.
    def test_error_arrives_by_the_deadline(self, stack, engines):
        stack.script.append(["hang"])
        started = stack.node.clock.monotonic()
        headers = {"Savoryhill-Deadline-Ms": "1000"}
        status, _ = stack.post(COMPLETIONS_PATH, stack.body(max_tokens=1), headers)
        assert status == 504
        assert stack.node.clock.monotonic() - started < 1.0 + 0.05

    def test_unknown_models_and_paths_are_refused(self, stack):
        status, problem = stack.post(COMPLETIONS_PATH, stack.body(model="other"))
        assert (status, problem["execution"]) == (404, "not_run")
        assert stack.post("/v1/nothing", {})[0] == 404
        status, headers, _ = stack.request("GET", COMPLETIONS_PATH)
        assert (status, headers["allow"]) == (405, "POST, OPTIONS")

    def test_models_are_listed(self, stack):
        _, _, answer = stack.request("GET", "/v1/models")
        assert json.loads(answer)["data"][0]["id"] == "assistant"
        assert stack.request("GET", "/v1/models/assistant")[0] == 200


class TestAuthentication:
    @pytest.mark.parametrize("key", ["", "wrong", "demo-key-of-workspace-on"])
    def test_unknown_keys_are_refused_before_the_body_is_read(self, stack, key):
        status, headers, answer = stack.request("POST", COMPLETIONS_PATH, b"{", key=key)
        assert status == 401
        assert headers["www-authenticate"] == "Bearer"
        assert BEARER_KEY not in answer.decode()

    # Guards against a key lookup whose cost grows with the number of workspaces.
    def test_key_lookup_does_not_scan_the_table(self):
        class Table(dict):
            def __iter__(self):
                raise AssertionError("the table was scanned")

            items = keys = values = __iter__

        table = Table({sha256(b"secret").hexdigest(): "w"})
        active = SimpleNamespace(workspace_names_by_key_hash=table)
        state = SimpleNamespace(active=active)
        node = SimpleNamespace(runtime=SimpleNamespace(state=state))
        request = SimpleNamespace(auth="Bearer secret")
        assert workspace_of(node, request) == "w"


class TestServices:
    def test_order_is_executed_once_per_idempotency_key(self, stack):
        answers = [stack.call_order(key="once") for _ in range(3)]
        assert [status for status, _ in answers] == [200] * 3
        assert answers[0][1] == answers[2][1]
        assert stack.n_executions("once") == 1

    def test_reused_key_with_another_body_is_refused(self, stack):
        stack.call_order(key="body", body={"n": 1})
        status, problem = stack.call_order(key="body", body={"n": 2})
        assert (status, problem["execution"]) == (422, "not_run")

    @pytest.mark.parametrize("key", [" ", "x" * 256, "k\u00e9y"])
    def test_invalid_idempotency_keys_are_refused(self, stack, key):
        assert stack.call_order(key=key)[0] == 400

    # Guards against returning the stored response of another workspace that used the
    # same idempotency key.
    def test_idempotency_keys_are_separate_per_workspace(self, stack):
        other = Workspace(name="two", key_hashes=(sha256(b"key-two").hexdigest(),))
        table = stack.node.runtime.state.active.workspace_names_by_key_hash
        table[other.key_hashes[0]] = other.name
        stack.call_order(key="shared", body={"secret": "one"})
        path = "/services/orders/call/order"
        headers = {"Idempotency-Key": "shared"}
        status, answer = stack.post(path, {"mine": 2}, headers, key="key-two")
        assert status == 200
        assert stack.n_executions("shared") == 1
        assert stack.n_executions("shared", "two") == 1

    # Guards against losing an order, or executing its repeat again, because its caller
    # disconnected.
    def test_order_is_journaled_after_its_caller_disconnects(self, stack):
        stack.service.delay_s, original_delay_s = 0.3, stack.service.delay_s
        job = gevent.spawn(stack.call_order, key="gone")
        stack.wait(lambda: stack.n_executions("gone"))
        job.kill()
        stack.wait(lambda: not stack.request_state.requests_by_id)
        stack.service.delay_s = original_delay_s
        assert stack.call_order(key="gone")[0] == 200
        assert stack.n_executions("gone") == 1

    def test_unknown_services_and_calls_are_not_found(self, stack):
        assert stack.post("/services/nothing/x", {})[0] == 404
        assert stack.post("/services/orders/call/nothing", {})[0] == 404
        assert stack.request("DELETE", "/services/orders/call/order")[0] == 404


@pytest.fixture(scope="module")
def limited_stack(make_stack):
    """A node with low limits on sizes, times and connections."""
    running = make_stack(
        max_connections_per_address=6,
        max_header_bytes=2000,
        max_body_bytes=5000,
        max_bodies_bytes=8000,
        header_s=0.3,
        body_s=0.3,
        idle_s=0.5,
    )
    yield running
    running.stop()


def send_raw(stack, *parts):
    """Send raw bytes and return all bytes received until the connection closes."""
    host, port = stack.address.split(":")
    with socket.create_connection((host, int(port)), timeout=5) as sock:
        for part in parts:
            sock.sendall(part)
        answer = b""
        while block := sock.recv(65536):
            answer += block
        return answer


HEAD = f"POST /v1/completions HTTP/1.1\r\nAuthorization: Bearer {BEARER_KEY}\r\n"
GET = b"GET /healthz HTTP/1.1\r\n"


class TestLimits:
    # Guards against callers that occupy a connection without sending a request.
    def test_slow_headers_time_out(self, limited_stack):
        assert b" 408 " in send_raw(limited_stack, GET + b"X-Slow: ")

    def test_idle_connection_is_closed(self, limited_stack):
        assert send_raw(limited_stack) == b""

    def test_slow_body_times_out(self, limited_stack):
        answer = send_raw(
            limited_stack, HEAD.encode() + b"Content-Length: 100\r\n\r\n{"
        )
        assert b" 408 " in answer
        assert b"not_run" in answer

    def test_large_headers_are_refused(self, limited_stack):
        assert b" 431 " in send_raw(
            limited_stack, GET + b"X: " + b"y" * 3000 + b"\r\n\r\n"
        )
        many = b"".join(b"X-%d: y\r\n" % n for n in range(300))
        assert b" 431 " in send_raw(limited_stack, GET + many + b"\r\n")

    # Guards against reading a refused body to its end.
    def test_large_body_is_refused_without_reading_it(self, limited_stack):
        head = HEAD.encode() + b"Content-Length: 900000000\r\n\r\n"
        assert b" 413 " in send_raw(limited_stack, head)

    def test_large_chunked_body_is_refused(self, limited_stack):
        head = HEAD.encode() + b"Transfer-Encoding: chunked\r\n\r\n"
        chunk = b"1000\r\n" + b"x" * 0x1000 + b"\r\n"
        assert b" 413 " in send_raw(limited_stack, head, chunk, chunk, b"0\r\n\r\n")

    def test_total_size_of_bodies_is_limited(self, limited_stack):
        caller_server = limited_stack.node.callers
        caller_server.n_body_bytes += 7000
        try:
            answer = send_raw(
                limited_stack, HEAD.encode() + b"Content-Length: 2000\r\n\r\n"
            )
        finally:
            caller_server.n_body_bytes -= 7000
        assert b" 503 " in answer
        assert caller_server.n_body_bytes == 0

    def test_malformed_requests_get_a_problem_document(self, limited_stack):
        assert b"problem+json" in send_raw(limited_stack, b"nonsense\r\n\r\n")
        length = b"Content-Length: -1\r\n\r\n"
        assert b"problem+json" in send_raw(limited_stack, HEAD.encode() + length)

    # Guards against one address that uses up all connections.
    def test_connections_per_address_are_limited(self, limited_stack):
        host, port = limited_stack.address.split(":")
        limited_stack.wait(lambda: limited_stack.node.callers.n_connections == 0)
        sockets = [socket.create_connection((host, int(port))) for _ in range(6)]
        try:
            limited_stack.wait(lambda: limited_stack.node.callers.n_connections == 6)
            assert b" 503 " in send_raw(limited_stack, b"")
        finally:
            for sock in sockets:
                sock.close()


class TestReadiness:
    # Guards against a load balancer that routes to a node which refuses requests.
    @pytest.mark.parametrize(
        ("draining", "active", "isolated", "reason"),
        [
            (False, "any", False, ""),
            (True, "any", False, "draining"),
            (False, None, False, "no configuration"),
            (False, "any", True, "isolated"),
        ],
    )
    def test_node_that_refuses_requests_is_not_ready(
        self, draining, active, isolated, reason
    ):
        state = SimpleNamespace(
            draining=draining,
            active=active,
            configuration=SimpleNamespace(isolated=isolated),
        )
        node = SimpleNamespace(runtime=SimpleNamespace(state=state))
        client = testing.TestClient(front_application(node))
        answer = client.simulate_get("/readyz")
        assert answer.json == {"ready": not reason, "reason": reason}
        assert answer.status_code == (503 if reason else 200)
        assert client.simulate_get("/healthz").status_code == 200
