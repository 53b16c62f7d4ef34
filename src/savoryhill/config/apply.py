"""Apply changed answers as a new revision, by compare-and-swap."""

import re
from copy import deepcopy
from dataclasses import asdict, dataclass

from savoryhill.config.findings import Finding, QuestionnaireError, dump_yaml
from savoryhill.config.merge import (
    Change,
    compare_answers,
    merge_answers,
    value_at,
)
from savoryhill.config.model import dump_configuration, load_configuration
from savoryhill.config.questionnaire import (
    generate_configuration,
    load_questionnaire,
    parse_answers,
)
from savoryhill.config.records import Record, compute_digest, pack_content
from savoryhill.config.store import (
    delete_expired_parts,
    keep_in_history,
    list_revisions,
    read_current,
    read_revision,
    replace_current,
)
from savoryhill.errors import (
    ConfigurationError,
    OutcomeUnknownError,
    PlatformUnreachableError,
)

# Each attempt loses only to another accepted change.
MAX_ATTEMPTS = 20
MAX_UNKNOWN = 5
TAKEN_FROM = "taken_from"
_TAKEN_FROM_LINE = re.compile(rf"^{TAKEN_FROM}:.*$", re.MULTILINE)


@dataclass(frozen=True, kw_only=True, slots=True)
class ConflictWith:
    """A path that another operator changed as well."""

    path: tuple[str, ...]
    taken_from: object
    mine: object
    theirs: object
    author: str
    revision: int


class ConflictError(ConfigurationError):
    """A change cannot be applied to the accepted revision.

    ``conflicts`` lists the paths with both values; it is empty when the file's
    revision itself is the reason.
    """

    def __init__(self, message, *, conflicts=()):
        self.conflicts = tuple(conflicts)
        super().__init__(message)


@dataclass(frozen=True, kw_only=True, slots=True)
class AcceptedRevision:
    """A revision that the service accepted.

    ``changed`` is false when the answers were in force already; ``merged_with``
    lists the revisions of others that were merged.
    """

    revision: int
    author: str
    changed: bool
    configuration: bytes
    changes: tuple[Change, ...] = ()
    merged_with: tuple[int, ...] = ()


def with_taken_from(text, revision):
    """Return answers with the revision that they were taken from."""
    line = f"{TAKEN_FROM}: {revision}"
    if _TAKEN_FROM_LINE.search(text):
        return _TAKEN_FROM_LINE.sub(line, text, count=1)
    return f"{line}\n{text}"


def plain_answers(text, *, place="answers"):
    """Return answers as plain data, without the revision they were taken from."""
    values, _, _ = parse_answers(text, place=place)
    # The parsed values are shared with later calls for the same text.
    return deepcopy({key: each for key, each in values.items() if key != TAKEN_FROM})


def apply_answers(
    store,
    text,
    *,
    place,
    author,
    attempt,
    note="",
    taken_from=None,
    above=0,
    now_s=0.0,
):
    """Apply answers as a new revision.

    Parameters
    ----------
    store : Store
        The key-value service.
    text : str
        The answers as YAML; they name the revision they were taken from.
    place : str
        Where they come from, for messages.
    author : str
        Who applies them.
    attempt : str
        An identity of this call that no other call has.
    note : str
        Why, for the history.
    taken_from : int, optional
        Overrides the revision named in the answers.
    above : int
        The new revision is above this one. Needed when the service was restored and
        nodes hold a higher revision than it does.
    now_s : float
        Wall-clock time in seconds, for the history.

    Returns
    -------
    AcceptedRevision
        The accepted revision.

    Raises
    ------
    QuestionnaireError
        If the answers, or the merged answers, have findings.
    ConflictError
        If another operator changed the same path, or the answers were taken from a
        revision that is no longer known.
    PlatformUnreachableError
        If nothing was applied.
    OutcomeUnknownError
        If the service did not answer often enough to tell.
    """
    answers = load_questionnaire(text, place=place)
    base = answers.taken_from if taken_from is None else taken_from
    n_unknown = 0
    tried_revisions = set()
    for _ in range(MAX_ATTEMPTS):
        try:
            current = read_current(store)
            won = _won_before(store, current, attempt, tried_revisions)
            if won is not None:
                return won
            prepared = _prepare(
                store,
                text,
                place=place,
                base=base,
                current=current,
                author=author,
                above=above,
            )
            if prepared.record is None:
                return prepared.accepted
            record = _record(prepared, attempt=attempt, note=note, now_s=now_s)
            if current is not None:
                keep_in_history(store, current)
            tried_revisions.add(record.revision)
            mod_revision = current.mod_revision if current is not None else 0
            if replace_current(store, record, mod_revision=mod_revision):
                delete_expired_parts_quietly(store, record.revision)
                return prepared.accepted
        except OutcomeUnknownError:
            # The next round reads back whether this attempt was accepted.
            n_unknown += 1
            if n_unknown >= MAX_UNKNOWN:
                raise
        except PlatformUnreachableError as error:
            if not tried_revisions:
                raise
            # An earlier write whose answer was lost may have been accepted.
            raise OutcomeUnknownError(
                f"the change may have been accepted as revision "
                f"{max(tried_revisions)}: {error}"
            ) from error
    raise ConflictError(f"other changes came first {MAX_ATTEMPTS} times; apply again")


def delete_expired_parts_quietly(store, revision):
    """Delete parts that left the history; the next change tries again."""
    try:
        delete_expired_parts(store, revision)
    except OutcomeUnknownError:
        return


@dataclass(frozen=True, kw_only=True, slots=True)
class _Prepared:
    accepted: AcceptedRevision
    record: dict | None


def _record(prepared, *, attempt, note, now_s):
    return Record(attempt=attempt, note=note, applied_at_s=now_s, **prepared.record)


def _won_before(store, current, attempt, tried_revisions):
    """Return the revision that an attempt with a lost answer has written."""
    if current is None:
        return None
    for revision in sorted(tried_revisions):
        if revision > current.record.revision:
            continue
        found = read_revision(store, revision)
        if found is not None and found.record.attempt == attempt:
            return AcceptedRevision(
                revision=revision,
                author=found.record.author,
                changed=True,
                configuration=found.configuration,
            )
    return None


def _prepare(store, text, *, place, base, current, author, above):
    mine = plain_answers(text, place=place)
    known = current.record.revision if current is not None else 0
    theirs = plain_answers(current.answers) if current is not None else {}
    if base > known:
        raise ConflictError(
            f"the answers were taken from revision {base}, but the service holds "
            f"revision {known}; it has lost changes or is another service"
        )
    merged_text, merged_with = text, ()
    if base < known:
        merged = _merge(store, mine, theirs, base=base, known=known)
        merged_with = tuple(range(base + 1, known + 1))
        if merged != mine:
            merged_text = dump_yaml(merged)
            place = f"{place} merged with revision {known}"
        mine = merged
    changes = tuple(compare_answers(theirs, mine))
    if not changes and above < known + 1:
        accepted = AcceptedRevision(
            revision=known,
            author=current.record.author,
            changed=False,
            configuration=current.configuration,
        )
        return _Prepared(accepted=accepted, record=None)
    answers = load_questionnaire(merged_text, place=place)
    revision = max(known, above) + 1
    previous = load_configuration(current.configuration) if current else None
    _refuse_other_shards(answers, previous, place)
    configuration = dump_configuration(
        generate_configuration(
            answers, revision=revision, author=author, previous=previous
        )
    )
    accepted = AcceptedRevision(
        revision=revision,
        author=author,
        changed=True,
        configuration=configuration,
        changes=changes,
        merged_with=merged_with,
    )
    record = {
        "revision": revision,
        "author": author,
        "taken_from": base,
        "digest": compute_digest(configuration),
        "changed": tuple(change.path for change in changes),
        "content": pack_content(with_taken_from(merged_text, revision), configuration),
    }
    return _Prepared(accepted=accepted, record=record)


def _refuse_other_shards(answers, previous, place):
    """Refuse another number of journal shards while entries may exist.

    The number decides in which shard a key is looked for; with another one a
    repeated call would not be found and would run a second time.
    """
    if previous is None or previous.journal.n_shards == answers.journal.n_shards:
        return
    message = (
        f"{answers.journal.n_shards} cannot replace {previous.journal.n_shards}: "
        "repeated calls would no longer be found in the journal"
    )
    path = "journal.n_shards"
    raise QuestionnaireError([Finding(place=place, line=0, path=path, message=message)])


def _merge(store, mine, theirs, *, base, known):
    ancestor = None
    if base > 0:
        ancestor = read_revision(store, base)
        if ancestor is None:
            raise ConflictError(
                f"the answers were taken from revision {base}, which the history no "
                f"longer holds; take revision {known} and repeat the change"
            )
    start = plain_answers(ancestor.answers) if ancestor is not None else {}
    merged, conflicts = merge_answers(start, mine, theirs)
    blamed = [_blame(store, each, base=base, known=known) for each in conflicts]
    blamed += _undone(store, start, mine, theirs, base=base, known=known)
    if not blamed:
        return merged
    lines = [
        f"{'.'.join(each.path)}: here {each.mine!r}, in revision {each.revision} of "
        f"{each.author} {each.theirs!r}, before {each.taken_from!r}"
        for each in blamed
    ]
    message = f"changed by others since revision {base}:\n" + "\n".join(lines)
    raise ConflictError(message, conflicts=blamed)


def _undone(store, start, mine, theirs, *, base, known):
    """Find changes of others that were undone since, and that ``mine`` would repeat.

    The present value is that of the file's own revision, so the merge sees no
    conflict, but the file was written without knowing why the change was undone.
    """
    changes = [
        change
        for change in compare_answers(start, mine)
        if value_at(theirs, change.path) == change.before
    ]
    if not changes:
        return
    for record in list_revisions(store, n_last=known - base):
        if record.revision <= base:
            return
        for change in tuple(changes):
            if any(_overlap(change.path, path) for path in record.changed):
                changes.remove(change)
                yield ConflictWith(
                    path=change.path,
                    taken_from=change.before,
                    mine=change.after,
                    theirs=change.before,
                    author=record.author,
                    revision=record.revision,
                )


def _overlap(path, other):
    n_common = min(len(path), len(other))
    return path[:n_common] == other[:n_common]


def _blame(store, conflict, *, base, known):
    """Find the revision that gave a conflicting path its present value."""
    found = None
    for revision in range(known, base, -1):
        stored = read_revision(store, revision)
        if stored is None:
            continue
        value = value_at(plain_answers(stored.answers), conflict.path)
        if value != conflict.theirs:
            break
        found = stored.record
    author = found.author if found is not None else "unknown"
    revision = found.revision if found is not None else known
    return ConflictWith(author=author, revision=revision, **asdict(conflict))
