"""Findings in a questionnaire, with their place, and where YAML keys stand."""

from dataclasses import asdict, dataclass
from difflib import get_close_matches

import yaml

from savoryhill.errors import ConfigurationError


@dataclass(frozen=True, kw_only=True, slots=True)
class Finding:
    """Something wrong in a questionnaire."""

    place: str
    line: int
    path: str
    message: str

    def __str__(self):
        return f"{self.place}:{self.line}: {self.path or 'document'}: {self.message}"


class QuestionnaireError(ConfigurationError):
    """A questionnaire has findings, all of which are in ``findings``."""

    def __init__(self, findings):
        self.findings = tuple(findings)
        super().__init__("\n".join(map(str, self.findings)))


def findings_as_data(findings):
    """Return findings as plain data for JSON output."""
    return [asdict(finding) for finding in findings]


def suggestion(name, known):
    """Return a hint at a similar known name, or an empty string."""
    similar = get_close_matches(str(name), list(map(str, known)), n=1, cutoff=0.6)
    return f"; did you mean {similar[0]!r}?" if similar else ""


def path_text(path):
    """Return the dotted form of a path of keys and list positions."""
    return ".".join(map(str, path))


def index_lines(text):
    """Find the line of every key and list item, and repeated keys.

    Parameters
    ----------
    text : str
        A YAML document.

    Returns
    -------
    tuple of (dict of tuple to int, list of tuple)
        Line numbers from 1 by path, and the paths of keys that occur twice.

    Raises
    ------
    yaml.YAMLError
        If the text is not YAML.
    """
    lines_by_path = {(): 1}
    repeated = []
    root = yaml.compose(text, Loader=yaml.SafeLoader)
    pending = [((), root)] if root is not None else []
    while pending:
        path, node = pending.pop()
        if isinstance(node, yaml.MappingNode):
            seen = set()
            for key, value in node.value:
                inner = (*path, key.value)
                if key.value in seen:
                    repeated.append((inner, key.start_mark.line + 1))
                seen.add(key.value)
                lines_by_path[inner] = key.start_mark.line + 1
                pending.append((inner, value))
        elif isinstance(node, yaml.SequenceNode):
            for number, value in enumerate(node.value):
                inner = (*path, str(number))
                lines_by_path[inner] = value.start_mark.line + 1
                pending.append((inner, value))
    return lines_by_path, repeated


def line_of(lines_by_path, path):
    """Return the line of a path, or that of its nearest parent in the document."""
    path = tuple(map(str, path))
    while path not in lines_by_path:
        path = path[:-1]
    return lines_by_path[path]
