"""Send a mix of requests to a demo deployment and check the responses."""

import json
import time
from collections import Counter
from dataclasses import dataclass
from hashlib import blake2b

import gevent
from geventhttpclient import HTTPClient

from savoryhill.demo.deployment import (
    BEARER_KEY,
    MODEL,
    SERVICE,
    start_deployment,
    stop_deployment,
)
from savoryhill.observability.timeline import merge_timelines
from savoryhill.standins.engine import answer_text, memory_used

N_PRINTED_EVENTS = 8
# Upper bound in prompt tokens and label of each line of the report.
PROMPT_LENGTH_BANDS = (
    (4_000, "under 4k"),
    (100_000, "4k to 100k"),
    (10**9, "over 100k"),
)


@dataclass(frozen=True, kw_only=True)
class Answer:
    """Outcome of one request of the demo.

    ``name`` is ``completion`` or ``order``. ``first_token_s`` is 0 if no token was
    received.
    """

    name: str
    status: int
    execution: str
    prompt_tokens: int = 0
    first_token_s: float = 0.0
    text: str = ""


def _make_client(address):
    host, port = address.rsplit(":", 1)
    return HTTPClient(host, int(port), connection_timeout=2, network_timeout=60)


def _headers(**extra):
    return {
        "Authorization": f"Bearer {BEARER_KEY}",
        "Content-Type": "application/json",
        **extra,
    }


def wait_until_ready(node, *, timeout_s=10.0):
    """Wait until a node of this process is ready."""
    wait_until_address_ready(node.settings.listen, timeout_s=timeout_s)


def wait_until_address_ready(address, *, timeout_s=10.0):
    """Wait until the readiness check of the node at ``ip:port`` succeeds.

    Raises
    ------
    TimeoutError
        If the node is not ready within ``timeout_s``.
    """
    deadline = time.monotonic() + timeout_s
    while time.monotonic() < deadline:
        client = _make_client(address)
        try:
            if client.get("/readyz").status_code == 200:
                return
        except OSError:
            pass
        finally:
            client.close()
        gevent.sleep(0.05)
    raise TimeoutError(f"the node at {address} is not ready after {timeout_s} s")


def complete(address, *, prompt, max_tokens, deadline_ms=None):
    """Stream one completion and wait for its end.

    Returns
    -------
    Answer
        The received text and the time to its first token, in seconds.
    """
    client = _make_client(address)
    body = {
        "model": MODEL,
        "prompt": prompt,
        "max_tokens": max_tokens,
        "stream": True,
    }
    extra = {"Savoryhill-Deadline-Ms": str(deadline_ms)} if deadline_ms else {}
    started_at = time.monotonic()
    response = client.post(
        "/v1/completions", body=json.dumps(body).encode(), headers=_headers(**extra)
    )
    prompt_tokens = len(prompt) // 4
    if response.status_code != 200:
        problem = json.loads(response.read())
        return Answer(
            name="completion",
            status=response.status_code,
            execution=problem.get("execution", "not_run"),
            prompt_tokens=prompt_tokens,
        )
    first_token_s, texts, execution = 0.0, [], "unknown"
    while True:
        line = bytes(response.readline(b"\n")).strip()
        if not line:
            continue
        data = line.removeprefix(b"data: ")
        if data == b"[DONE]":
            execution = "completed"
            break
        if line.startswith(b"event: error"):
            break
        first_token_s = first_token_s or time.monotonic() - started_at
        texts.append(json.loads(data)["choices"][0]["text"])
    client.close()
    return Answer(
        name="completion",
        status=200,
        execution=execution,
        prompt_tokens=prompt_tokens,
        first_token_s=first_token_s,
        text="".join(texts),
    )


def order(address, *, key, body):
    """Place one order with an idempotency key."""
    client = _make_client(address)
    response = client.post(
        f"/services/{SERVICE}/call/order",
        body=json.dumps(body).encode(),
        headers=_headers(**{"Idempotency-Key": key}),
    )
    content = json.loads(response.read())
    client.close()
    return Answer(
        name="order",
        status=response.status_code,
        execution=content.get("execution", "completed"),
        text=json.dumps(content, sort_keys=True),
    )


def expected_text(prompt, max_tokens):
    """Return the text that every engine stand-in generates for a prompt."""
    digest = blake2b(prompt.encode(), digest_size=16).digest()
    return answer_text(digest, max_tokens)


@dataclass(frozen=True, kw_only=True)
class DemoResult:
    """Answers, checks and the merged timeline of all nodes.

    ``checks`` holds a description and whether the check holds. ``n_duplicates`` counts
    the executions of orders beyond the first one of each.
    """

    answers: list[Answer]
    checks: list[tuple[str, bool]]
    timeline_events: list[dict]
    n_duplicates: int


def run_demo():
    """Start a deployment, run the demo against it and stop it.

    Returns
    -------
    DemoResult
        The answers and the results of the checks.
    """
    deployment = start_deployment()
    try:
        for node in deployment.nodes:
            wait_until_ready(node)
        gevent.sleep(0.6)
        return _send_all(deployment)
    finally:
        stop_deployment(deployment)


def _send_all(deployment):
    addresses = [node.settings.listen for node in deployment.nodes]
    shared_prefix = "shared instructions " * 2_000
    prompts = [f"question {n} " * 300 for n in range(16)]
    prompts += [shared_prefix + f"part {n}" for n in range(6)]
    prompts += [f"archive {n} " * 50_000 for n in range(2)] + ["x" * 2_000_000]
    completions = [
        gevent.spawn(
            complete, addresses[n % len(addresses)], prompt=prompt, max_tokens=24
        )
        for n, prompt in enumerate(prompts)
    ]
    refused_completion = gevent.spawn(
        complete, addresses[0], prompt="y" * 1_600_000, max_tokens=64, deadline_ms=5
    )
    orders = [
        order(addresses[n % len(addresses)], key="order-1", body={"item": 7})
        for n in range(3)
    ]
    gevent.joinall([*completions, refused_completion])
    answers = [completion.get() for completion in completions] + [
        refused_completion.get()
    ]
    all_texts_match = all(
        completion.get().text == expected_text(prompt, 24)
        for completion, prompt in zip(completions, prompts, strict=True)
    )
    executions = sum(
        (service.executions_by_key for service in deployment.services_by_id.values()),
        Counter(),
    )
    checks = [
        ("every prompt is answered in full", all_texts_match),
        (
            "the request with a 5 ms deadline is refused as not run",
            refused_completion.get().execution == "not_run",
        ),
        ("the order ran once", executions["workspace-one:order-1"] == 1),
        (
            "every repeat got an answer",
            all(answer.status in (200, 409) for answer in orders),
        ),
        ("no memory is left in use", _wait_until_memory_is_free(deployment)),
    ]
    timeline_events = merge_timelines(
        [{"node": node.settings.node, **event} for event in node.timeline_events]
        for node in deployment.nodes
    )
    return DemoResult(
        answers=answers + orders,
        checks=checks,
        timeline_events=timeline_events,
        n_duplicates=sum(count - 1 for count in executions.values()),
    )


def _wait_until_memory_is_free(deployment):
    """Wait up to 2 s until no engine uses memory; return whether that happened."""
    for _ in range(40):
        if not any(map(memory_used, deployment.engines_by_id.values())):
            return True
        gevent.sleep(0.05)
    return False


def print_report(result):
    """Print latencies, timeline and checks; return whether every check holds."""
    lower = 0
    print(f"{'prompt':<12} {'n':>4} {'p50 ms':>8} {'max ms':>8}   time to first token")
    for upper, label in PROMPT_LENGTH_BANDS:
        times_ms = sorted(
            answer.first_token_s * 1000
            for answer in result.answers
            if answer.first_token_s and lower <= answer.prompt_tokens < upper
        )
        lower = upper
        if times_ms:
            median_ms = times_ms[len(times_ms) // 2]
            print(
                f"{label:<12} {len(times_ms):>4} {median_ms:>8.1f} {times_ms[-1]:>8.1f}"
            )
    executions = Counter(answer.execution for answer in result.answers)
    print(
        f"answered {executions['completed']} of {len(result.answers)}, "
        f"refused as not run {executions['not_run']}, "
        f"unknown {executions['unknown']}, duplicates {result.n_duplicates}"
    )
    print("timeline:")
    for event in result.timeline_events[-N_PRINTED_EVENTS:]:
        print("  " + " ".join(f"{key}={value}" for key, value in event.items()))
    for name, holds in result.checks:
        print(f"{'ok' if holds else 'FAILED':<7} {name}")
    return all(holds for _, holds in result.checks)
