"""Validate requests of callers; every finding names its location."""

import json

from savoryhill.node.problems import RequestRejectedError

DEFAULT_MAX_TOKENS = 64
MAX_TOKENS_LIMIT = 131_072
MAX_IDEMPOTENCY_KEY_CHARACTERS = 255
DEFAULT_DEADLINE_S = 60.0
# Fields whose effect on the response this layer cannot pass on.
UNSUPPORTED_FIELDS = (
    "tools",
    "functions",
    "logprobs",
    "top_logprobs",
    "suffix",
    "echo",
)
_SINGLE_CHOICE_FIELDS = ("n", "best_of")
_RANGES_BY_FIELD = {
    "temperature": (0.0, 2.0),
    "top_p": (0.0, 1.0),
    "presence_penalty": (-2.0, 2.0),
    "frequency_penalty": (-2.0, 2.0),
}


def parse_object(content):
    """Decode a JSON object.

    Raises
    ------
    RequestRejectedError
        If the content is not a JSON object.
    """
    try:
        body = json.loads(content)
    except (ValueError, RecursionError) as error:
        raise RequestRejectedError([f"body: not valid JSON: {error}"]) from error
    if not isinstance(body, dict):
        raise RequestRejectedError(["body: expected a JSON object"])
    return body


def _is_int(value):
    return isinstance(value, int) and not isinstance(value, bool)


def _check_common(body, findings):
    if not isinstance(body.get("model"), str) or not body.get("model"):
        findings.append("model: expected the name of a model")
    for name in ("stream",):
        if not isinstance(body.get(name) or False, bool):
            findings.append(f"{name}: expected true or false")
    for name in _SINGLE_CHOICE_FIELDS:
        if body.get(name) not in (None, 1):
            findings.append(f"{name}: only 1 is supported")
    for name in UNSUPPORTED_FIELDS:
        if body.get(name):
            findings.append(f"{name}: is not supported")
    for name, (low, high) in _RANGES_BY_FIELD.items():
        value = body.get(name)
        if value is None:
            continue
        is_number = isinstance(value, int | float) and not isinstance(value, bool)
        if not is_number or not low <= value <= high:
            findings.append(f"{name}: expected a number from {low} to {high}")
    stop = body.get("stop")
    stops = [stop] if isinstance(stop, str) else stop
    is_valid = stops is None or (
        isinstance(stops, list)
        and len(stops) <= 4
        and all(isinstance(item, str) for item in stops)
    )
    if not is_valid:
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
    if not _is_int(value) or not 1 <= value <= MAX_TOKENS_LIMIT:
        findings.append(f"max_tokens: expected an integer from 1 to {MAX_TOKENS_LIMIT}")
    body["max_tokens"] = value


def check_completion(body):
    """Check the body of a text completion and normalize it in place.

    Raises
    ------
    RequestRejectedError
        If the body is invalid, with every finding.
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
        raise RequestRejectedError(findings)


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
    """Check the body of a chat completion and replace its messages by a prompt.

    Raises
    ------
    RequestRejectedError
        If the body is invalid, with every finding.
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
        raise RequestRejectedError(findings)


def find_kind(active, name):
    """Return the request kind of a name, None if no kinds are configured.

    Raises
    ------
    RequestRejectedError
        If the configuration has kinds, but none of that name.
    """
    kind = active.kinds_by_name.get(name)
    if kind is None and active.kinds_by_name:
        known = ", ".join(sorted(active.kinds_by_name))
        raise RequestRejectedError(
            [f"Savoryhill-Kind: unknown kind {name[:80]!r}; known are {known}"]
        )
    return kind


def read_timeout_s(header, kind):
    """Return the time from the arrival of a request to its deadline, in seconds.

    Parameters
    ----------
    header : str or None
        Value of ``Savoryhill-Deadline-Ms``.
    kind : RequestKind or None
        Its deadline is the default and the upper limit; `DEFAULT_DEADLINE_S` if None.

    Raises
    ------
    RequestRejectedError
        If the header is not a positive integer.
    """
    max_timeout_s = kind.deadline_s if kind is not None else DEFAULT_DEADLINE_S
    if header is None:
        return max_timeout_s
    if not (header.isascii() and header.isdigit() and 0 < len(header) <= 12):
        raise RequestRejectedError(
            ["Savoryhill-Deadline-Ms: expected an integer above 0"]
        )
    if int(header) == 0:
        raise RequestRejectedError(
            ["Savoryhill-Deadline-Ms: expected an integer above 0"]
        )
    return min(max_timeout_s, int(header) / 1000)


def check_idempotency_key(key):
    """Check the value of ``Idempotency-Key``; None is valid.

    Raises
    ------
    RequestRejectedError
        If it is empty, too long or not printable ASCII.
    """
    if key is None:
        return
    is_printable = key.isascii() and key.isprintable()
    if not key.strip() or len(key) > MAX_IDEMPOTENCY_KEY_CHARACTERS or not is_printable:
        raise RequestRejectedError(
            [
                "Idempotency-Key: expected 1 to "
                f"{MAX_IDEMPOTENCY_KEY_CHARACTERS} printable ASCII characters"
            ]
        )
