"""Text of answers and the revision on which it is based."""

import re
from copy import deepcopy

from savoryhill.config.questionnaire import parse_answers

TAKEN_FROM = "taken_from"
_TAKEN_FROM_LINE = re.compile(rf"^{TAKEN_FROM}:.*$", re.MULTILINE)


def with_taken_from(text, revision):
    """Return YAML answers with the revision they are based on set to ``revision``."""
    line = f"{TAKEN_FROM}: {revision}"
    if _TAKEN_FROM_LINE.search(text):
        return _TAKEN_FROM_LINE.sub(line, text, count=1)
    return f"{line}\n{text}"


def plain_answers(text, *, place="answers"):
    """Return answers as plain data, without the revision they are based on."""
    values, _, _ = parse_answers(text, place=place)
    # Copied because the parser caches the values and returns them for the same text.
    return deepcopy({key: value for key, value in values.items() if key != TAKEN_FROM})
