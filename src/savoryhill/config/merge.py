"""Compare answers and merge changes of several operators by path."""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class Change:
    """A value that differs between two sets of answers; None if absent."""

    path: tuple[str, ...]
    before: object
    after: object


@dataclass(frozen=True, kw_only=True, slots=True)
class Conflict:
    """A path that two operators changed to different values."""

    path: tuple[str, ...]
    taken_from: object
    mine: object
    theirs: object


_ABSENT = object()


def _shown(value):
    return None if value is _ABSENT else value


def compare_answers(before, after, path=()):
    """Yield every difference between two sets of answers.

    Parameters
    ----------
    before, after : dict
        Answers as plain data; lists count as one value.
    path : tuple of str
        Where the two are in the document.

    Yields
    ------
    Change
        Each path with a difference, in the order of the paths.
    """
    for key in sorted({*before, *after}, key=str):
        old, new = before.get(key, _ABSENT), after.get(key, _ABSENT)
        if old == new:
            continue
        inner = (*path, str(key))
        if isinstance(old, dict) and isinstance(new, dict):
            yield from compare_answers(old, new, inner)
        else:
            yield Change(path=inner, before=_shown(old), after=_shown(new))


def merge_answers(taken_from, mine, theirs, path=()):
    """Merge two changes of the same answers.

    Parameters
    ----------
    taken_from : dict
        The answers that both operators started from.
    mine, theirs : dict
        Their answers.
    path : tuple of str
        Where the three are in the document.

    Returns
    -------
    tuple of (dict, list of Conflict)
        The merged answers, which hold ``mine`` at conflicting paths, and the
        conflicts.
    """
    merged, conflicts = {}, []
    for key in [*theirs, *(key for key in mine if key not in theirs)]:
        base = taken_from.get(key, _ABSENT)
        ours, other = mine.get(key, _ABSENT), theirs.get(key, _ABSENT)
        if ours == other or other == base:
            value = ours
        elif ours == base:
            value = other
        elif isinstance(ours, dict) and isinstance(other, dict):
            start = base if isinstance(base, dict) else {}
            value, inner = merge_answers(start, ours, other, (*path, str(key)))
            conflicts += inner
        else:
            value = ours
            conflicts.append(
                Conflict(
                    path=(*path, str(key)),
                    taken_from=_shown(base),
                    mine=_shown(ours),
                    theirs=_shown(other),
                )
            )
        if value is not _ABSENT:
            merged[key] = value
    return merged, conflicts


def value_at(answers, path):
    """Return the value at a path, None if absent."""
    for step in path:
        if not isinstance(answers, dict):
            return None
        by_text = {str(key): value for key, value in answers.items()}
        answers = by_text.get(step)
    return answers
