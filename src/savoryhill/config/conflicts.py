"""Merge of changed answers with those of others, and the conflicts that it finds."""

from dataclasses import asdict, dataclass

from savoryhill.config.answer_text import plain_answers
from savoryhill.config.merge import compare_answers, merge_answers, value_at
from savoryhill.config.store import list_revisions, read_revision
from savoryhill.errors import ConfigurationError


@dataclass(frozen=True, kw_only=True, slots=True)
class AttributedConflict:
    """A path that another operator changed as well, with that change's author.

    Operators see the field names in the command line's JSON output.
    """

    path: tuple[str, ...]
    taken_from: object
    mine: object
    theirs: object
    author: str
    revision: int


class ConflictError(ConfigurationError):
    """A change cannot be applied to the accepted revision.

    ``conflicts`` lists the conflicting paths with both values. It is empty if no path
    conflicts, for example when the history no longer holds the file's revision.
    """

    def __init__(self, message, *, conflicts=()):
        self.conflicts = tuple(conflicts)
        super().__init__(message)


def merge_with_accepted(store, mine, theirs, *, base, current_revision):
    """Merge answers based on an earlier revision with the accepted answers.

    Parameters
    ----------
    store : KeyValueStore
        Store that holds the history of the configuration.
    mine, theirs : dict
        The changed answers, and the accepted ones.
    base : int
        Revision on which the changed answers are based; 0 if none.
    current_revision : int
        The accepted revision.

    Returns
    -------
    dict
        The merged answers.

    Raises
    ------
    ConflictError
        If others changed the same paths since ``base``, or the history no longer holds
        that revision.
    """
    ancestor = None
    if base > 0:
        ancestor = read_revision(store, base)
        if ancestor is None:
            raise ConflictError(
                f"the answers were taken from revision {base}, which the history no "
                f"longer holds; take revision {current_revision} and repeat the change"
            )
    ancestor_answers = plain_answers(ancestor.answers) if ancestor is not None else {}
    merged, conflicts = merge_answers(ancestor_answers, mine, theirs)
    attributed = [
        _attribute_conflict(
            store, conflict, base=base, current_revision=current_revision
        )
        for conflict in conflicts
    ]
    attributed += _find_reverted(
        store,
        ancestor_answers,
        mine,
        theirs,
        base=base,
        current_revision=current_revision,
    )
    if not attributed:
        return merged
    lines = [
        f"{'.'.join(conflict.path)}: here {conflict.mine!r}, "
        f"in revision {conflict.revision} of {conflict.author} {conflict.theirs!r}, "
        f"before {conflict.taken_from!r}"
        for conflict in attributed
    ]
    message = f"changed by others since revision {base}:\n" + "\n".join(lines)
    raise ConflictError(message, conflicts=attributed)


def _find_reverted(store, ancestor_answers, mine, theirs, *, base, current_revision):
    """Yield changes in ``mine`` to paths that others changed and reverted since.

    The current value equals the one in the file's base revision, so the merge finds no
    conflict. It is reported as one because the file was written without knowledge of
    why the value was reverted.
    """
    changes = [
        change
        for change in compare_answers(ancestor_answers, mine)
        if value_at(theirs, change.path) == change.before
    ]
    if not changes:
        return
    for record in list_revisions(store, n_last=current_revision - base):
        if record.revision <= base:
            return
        for change in tuple(changes):
            if any(_paths_overlap(change.path, path) for path in record.changed):
                changes.remove(change)
                yield AttributedConflict(
                    path=change.path,
                    taken_from=change.before,
                    mine=change.after,
                    theirs=change.before,
                    author=record.author,
                    revision=record.revision,
                )


def _paths_overlap(path, other):
    """Return whether the paths are equal or one is a prefix of the other."""
    n_common = min(len(path), len(other))
    return path[:n_common] == other[:n_common]


def _attribute_conflict(store, conflict, *, base, current_revision):
    """Add the author and revision that set a conflicting path to its current value."""
    found = None
    for revision in range(current_revision, base, -1):
        stored = read_revision(store, revision)
        if stored is None:
            continue
        value = value_at(plain_answers(stored.answers), conflict.path)
        if value != conflict.theirs:
            break
        found = stored.record
    author = found.author if found is not None else "unknown"
    revision = found.revision if found is not None else current_revision
    return AttributedConflict(author=author, revision=revision, **asdict(conflict))
