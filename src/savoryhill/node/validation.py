"""Check callers' requests; every fault is reported with its location."""

import json

from savoryhill.node.problems import FindingsError

DEFAULT_MAX_TOKENS = 64
LARGEST_MAX_TOKENS = 131_072
MAX_KEY_CHARACTERS = 255
DEFAULT_DEADLINE_S = 60.0
# Fields that change the answer in a way this layer does not carry.
UNSUPPORTED = ("tools", "functions", "logprobs", "top_logprobs", "suffix", "echo")
_SINGLE = ("n", "best_of")
_RANGES = {
    "temperature": (0.0, 2.0),
    "top_p": (0.0, 1.0),
    "presence_penalty": (-2.0, 2.0),
    "frequency_penalty": (-2.0, 2.0),
}


def parse_object(content):
    """Decode a JSON object.

    Raises
    ------
    FindingsError
        If the content is not a JSON object.
    """
    try:
        body = json.loads(content)
    except (ValueError, RecursionError) as error:
        raise FindingsError([f"body: not valid JSON: {error}"]) from error
    if not isinstance(body, dict):
        raise FindingsError(["body: expected a JSON object"])
    return body


def _is_int(value):
    return isinstance(value, int) and not isinstance(value, bool)


def _check_common(body, findings):
    if not isinstance(body.get("model"), str) or not body.get("model"):
        findings.append("model: expected the name of a model")
    for name in ("stream",):
        if not isinstance(body.get(name) or False, bool):
            findings.append(f"{name}: expected true or false")
    for name in _SINGLE:
        if body.get(name) not in (None, 1):
            findings.append(f"{name}: only 1 is supported")
    for name in UNSUPPORTED:
        if body.get(name):
            findings.append(f"{name}: is not supported")
    for name, (low, high) in _RANGES.items():
        value = body.get(name)
        if value is None:
            continue
        number = isinstance(value, int | float) and not isinstance(value, bool)
        if not number or not low <= value <= high:
            findings.append(f"{name}: expected a number from {low} to {high}")
    stop = body.get("stop")
    stops = [stop] if isinstance(stop, str) else stop
    valid = stops is None or (
        isinstance(stops, list)
        and len(stops) <= 4
        and all(isinstance(each, str) for each in stops)
    )
    if not valid:
        findings.append("stop: expected a string or up to four of them")
    options = body.get("stream_options")
    if options is not None and not isinstance(options, dict):
        findings.append("stream_options: expected an object")


def _check_max_tokens(body, findings):
    value = body.pop("max_completion_tokens", None)
    if value is None:
        value = body.get("max_tokens")
    if value is None:
        value = DEFAULT_MAX_TOKENS
    if not _is_int(value) or not 1 <= value <= LARGEST_MAX_TOKENS:
        findings.append(
            f"max_tokens: expected an integer from 1 to {LARGEST_MAX_TOKENS}"
        )
    body["max_tokens"] = value


def check_completion(body):
    """Check the body of a text completion and normalize it in place.

    Raises
    ------
    FindingsError
        With every fault.
    """
    findings = []
    _check_common(body, findings)
    _check_max_tokens(body, findings)
    prompt = body.get("prompt")
    if isinstance(prompt, list) and len(prompt) == 1:
        prompt = prompt[0]
    if not isinstance(prompt, str) or not prompt:
        findings.append("prompt: expected a string that is not empty")
    else:
        _check_text(prompt, "prompt", findings)
    body["prompt"] = prompt
    if findings:
        raise FindingsError(findings)


def _check_text(text, location, findings):
    try:
        text.encode()
    except UnicodeEncodeError:
        findings.append(f"{location}: has unpaired surrogates")


def _message_text(message, location, findings):
    if not isinstance(message, dict):
        findings.append(f"{location}: expected an object")
        return ""
    role, content = message.get("role"), message.get("content")
    if not isinstance(role, str) or not role:
        findings.append(f"{location}.role: expected a string")
    if isinstance(content, list):
        texts = []
        for number, part in enumerate(content):
            text = part.get("text") if isinstance(part, dict) else None
            if not isinstance(text, str) or part.get("type") != "text":
                findings.append(f"{location}.content[{number}]: expected a text part")
            else:
                texts.append(text)
        content = "".join(texts)
    if not isinstance(content, str):
        findings.append(f"{location}.content: expected a string")
        return ""
    _check_text(content, f"{location}.content", findings)
    return f"{role}: {content}"


def check_chat(body):
    """Check the body of a chat completion and turn it into one with a prompt.

    Raises
    ------
    FindingsError
        With every fault.
    """
    findings = []
    _check_common(body, findings)
    _check_max_tokens(body, findings)
    messages = body.pop("messages", None)
    if not isinstance(messages, list) or not messages:
        findings.append("messages: expected a list that is not empty")
        messages = []
    lines = [
        _message_text(message, f"messages[{number}]", findings)
        for number, message in enumerate(messages)
    ]
    body["prompt"] = "\n".join(lines)
    if findings:
        raise FindingsError(findings)


def read_kind(active, name):
    """Return the kind of a request.

    Raises
    ------
    FindingsError
        If the caller named a kind that the configuration does not have.
    """
    kind = active.kinds_by_name.get(name)
    if kind is None and active.kinds_by_name:
        known = ", ".join(sorted(active.kinds_by_name))
        raise FindingsError(
            [f"Savoryhill-Kind: unknown kind {name[:80]!r}; known are {known}"]
        )
    return kind


def deadline_seconds(header, kind):
    """Return the seconds from a request's arrival to its deadline.

    Parameters
    ----------
    header : str or None
        ``Savoryhill-Deadline-Ms``.
    kind : RequestKind or None
        Bounds what the header may ask for.

    Raises
    ------
    FindingsError
        If the header is not a positive integer.
    """
    longest = kind.deadline_s if kind is not None else DEFAULT_DEADLINE_S
    if header is None:
        return longest
    if not (header.isascii() and header.isdigit() and 0 < len(header) <= 12):
        raise FindingsError(["Savoryhill-Deadline-Ms: expected an integer above 0"])
    if int(header) == 0:
        raise FindingsError(["Savoryhill-Deadline-Ms: expected an integer above 0"])
    return min(longest, int(header) / 1000)


def check_idempotency_key(key):
    """Check the caller's ``Idempotency-Key``.

    Raises
    ------
    FindingsError
        If it is empty, too long or not printable ASCII.
    """
    if key is None:
        return
    printable = key.isascii() and key.isprintable()
    if not key.strip() or len(key) > MAX_KEY_CHARACTERS or not printable:
        raise FindingsError(
            [
                "Idempotency-Key: expected 1 to "
                f"{MAX_KEY_CHARACTERS} printable ASCII characters"
            ]
        )
