"""Comparison of answers and three-way merge of operators' changes, by path."""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class Change:
    """A value that differs between two sets of answers.

    ``before`` or ``after`` is None if the path is absent there.
    """

    path: tuple[str, ...]
    before: object
    after: object


@dataclass(frozen=True, kw_only=True, slots=True)
class Conflict:
    """A path that two operators changed to different values.

    ``taken_from`` is the value in the answers that both started from. A value is None
    if the path is absent.
    """

    path: tuple[str, ...]
    taken_from: object
    mine: object
    theirs: object


_ABSENT = object()


def _none_if_absent(value):
    return None if value is _ABSENT else value


def compare_answers(before, after, path=()):
    """Yield every difference between two sets of answers.

    Parameters
    ----------
    before, after : dict
        Answers as plain data; a list is compared as a single value.
    path : tuple of str
        Path of the two in the document.

    Yields
    ------
    Change
        Each difference, sorted by path.
    """
    for key in sorted({*before, *after}, key=str):
        old, new = before.get(key, _ABSENT), after.get(key, _ABSENT)
        if old == new:
            continue
        inner_path = (*path, str(key))
        if isinstance(old, dict) and isinstance(new, dict):
            yield from compare_answers(old, new, inner_path)
        else:
            yield Change(
                path=inner_path, before=_none_if_absent(old), after=_none_if_absent(new)
            )


def merge_answers(taken_from, mine, theirs, path=()):
    """Merge two changed versions of the same answers.

    Parameters
    ----------
    taken_from : dict
        The answers that both operators started from.
    mine, theirs : dict
        The answers of the operator whose change is merged, and those of the others.
    path : tuple of str
        Path of the three in the document.

    Returns
    -------
    tuple of (dict, list of Conflict)
        The merged answers, with the value of ``mine`` at conflicting paths, and the
        conflicts.
    """
    merged, conflicts = {}, []
    for key in [*theirs, *(key for key in mine if key not in theirs)]:
        base_value = taken_from.get(key, _ABSENT)
        my_value, their_value = mine.get(key, _ABSENT), theirs.get(key, _ABSENT)
        if my_value == their_value or their_value == base_value:
            value = my_value
        elif my_value == base_value:
            value = their_value
        elif isinstance(my_value, dict) and isinstance(their_value, dict):
            ancestor = base_value if isinstance(base_value, dict) else {}
            value, inner_conflicts = merge_answers(
                ancestor, my_value, their_value, (*path, str(key))
            )
            conflicts += inner_conflicts
        else:
            value = my_value
            conflicts.append(
                Conflict(
                    path=(*path, str(key)),
                    taken_from=_none_if_absent(base_value),
                    mine=_none_if_absent(my_value),
                    theirs=_none_if_absent(their_value),
                )
            )
        if value is not _ABSENT:
            merged[key] = value
    return merged, conflicts


def value_at(answers, path):
    """Return the value at a path, or None if the path is absent."""
    for step in path:
        if not isinstance(answers, dict):
            return None
        values_by_text_key = {str(key): value for key, value in answers.items()}
        answers = values_by_text_key.get(step)
    return answers
