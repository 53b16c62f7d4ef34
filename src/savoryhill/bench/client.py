"""Send a planned request and record its result."""

import json
import time
from dataclasses import dataclass
from hashlib import blake2b

from geventhttpclient import HTTPClient

from savoryhill.bench.plan import PlannedRequest, prompt_text
from savoryhill.demo.deployment import BEARER_KEY, MODEL, SERVICE
from savoryhill.standins.engine import answer_text

CONNECT_TIMEOUT_S = 2.0


@dataclass(frozen=True, kw_only=True, slots=True)
class Result:
    """Result of one request.

    ``outcome`` is ``answered``, ``refused_not_run`` or ``failed``. Times are in
    seconds; ``started_s`` is relative to the start of the run. ``right`` tells whether
    an answer has the expected content.
    """

    planned: PlannedRequest
    outcome: str
    status: int
    started_s: float
    took_s: float
    deadline_s: float
    first_token_s: float = 0.0
    right: bool = True
    execution: str = ""
    detail: str = ""


def send(planned, *, address, seed, deadline_s, run_started_at):
    """Send one request and wait until it ends.

    Parameters
    ----------
    planned : PlannedRequest
        The request.
    address : str
        Address of the entry node as ``ip:port``.
    seed : int
        Seed of the run; part of the prompt and of the idempotency key.
    deadline_s : float
        Deadline to send with the request.
    run_started_at : float
        Monotonic time at which the run started.

    Returns
    -------
    Result
        The result; a broken connection counts as ``failed``.
    """
    host, port = address.rsplit(":", 1)
    client = HTTPClient(
        host,
        int(port),
        connection_timeout=CONNECT_TIMEOUT_S,
        network_timeout=deadline_s + 10.0,
    )
    started_at = time.monotonic()
    result_fields = {"outcome": "failed", "status": 0}
    try:
        send_request = _send_order if planned.band == "order" else _send_completion
        result_fields = send_request(client, planned, seed, deadline_s, started_at)
    except (OSError, ValueError, KeyError) as error:
        result_fields["detail"] = repr(error)
    finally:
        client.close()
    return Result(
        planned=planned,
        started_s=started_at - run_started_at,
        took_s=time.monotonic() - started_at,
        deadline_s=deadline_s,
        **result_fields,
    )


def _headers(deadline_s):
    return {
        "Authorization": f"Bearer {BEARER_KEY}",
        "Content-Type": "application/json",
        "Savoryhill-Deadline-Ms": str(int(deadline_s * 1000)),
    }


def _refusal_fields(response):
    problem = json.loads(response.read())
    execution = problem.get("execution", "unknown")
    return {
        "outcome": "refused_not_run" if execution == "not_run" else "failed",
        "status": response.status_code,
        "execution": execution,
        "detail": problem.get("detail", ""),
    }


def _send_order(client, planned, seed, deadline_s, started_at):
    headers = _headers(deadline_s)
    headers["Idempotency-Key"] = f"order-{seed}-{planned.number}"
    body = json.dumps({"order": planned.number}).encode()
    response = client.post(
        f"/services/{SERVICE}/call/order", body=body, headers=headers
    )
    if response.status_code != 200:
        return _refusal_fields(response)
    content = json.loads(response.read())
    return {
        "outcome": "answered",
        "status": 200,
        "execution": "completed",
        # The service gets the key with its workspace as a prefix.
        "right": content["key"].endswith(headers["Idempotency-Key"]),
    }


def _send_completion(client, planned, seed, deadline_s, started_at):
    prompt = prompt_text(planned, seed=seed)
    body = {
        "model": MODEL,
        "prompt": prompt,
        "max_tokens": planned.max_tokens,
        "stream": True,
    }
    response = client.post(
        "/v1/completions", body=json.dumps(body).encode(), headers=_headers(deadline_s)
    )
    if response.status_code != 200:
        return _refusal_fields(response)
    first_token_s, texts = 0.0, []
    while True:
        line = bytes(response.readline(b"\n")).strip()
        if not line:
            continue
        if line.startswith(b"event: error"):
            problem = json.loads(response.readline(b"\n").removeprefix(b"data: "))
            detail = problem.get("detail", "")
            return {"outcome": "failed", "status": 200, "detail": detail}
        data = line.removeprefix(b"data: ")
        if data == b"[DONE]":
            break
        first_token_s = first_token_s or time.monotonic() - started_at
        texts.append(json.loads(data)["choices"][0]["text"])
    digest = blake2b(prompt.encode(), digest_size=16).digest()
    expected_text = answer_text(digest, planned.max_tokens)
    return {
        "outcome": "answered",
        "status": 200,
        "execution": "completed",
        "first_token_s": first_token_s,
        "right": "".join(texts) == expected_text,
    }
