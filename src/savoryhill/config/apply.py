"""Apply changed answers as a new revision, by compare-and-swap.

Changes of other operators since the revision that the answers are based on are merged.
"""

from dataclasses import dataclass

from savoryhill.config.answer_text import plain_answers, with_taken_from
from savoryhill.config.conflicts import ConflictError, merge_with_accepted
from savoryhill.config.findings import Finding, QuestionnaireError, dump_yaml
from savoryhill.config.merge import (
    Change,
    compare_answers,
)
from savoryhill.config.model import dump_configuration, load_configuration
from savoryhill.config.questionnaire import (
    generate_configuration,
    load_questionnaire,
)
from savoryhill.config.records import Record, compute_digest, pack_content
from savoryhill.config.store import (
    copy_to_history,
    delete_expired_parts,
    read_current,
    read_revision,
    replace_current,
)
from savoryhill.errors import (
    OutcomeUnknownError,
    PlatformUnreachableError,
)

# An attempt fails only if another change was accepted in the meantime.
MAX_ATTEMPTS = 20
MAX_UNKNOWN_OUTCOMES = 5


@dataclass(frozen=True, kw_only=True, slots=True)
class AcceptedRevision:
    """A revision that the key-value service accepted.

    ``changed`` is false if the answers were accepted already and no revision was
    written. ``merged_with`` lists the revisions of others that were merged.
    """

    revision: int
    author: str
    changed: bool
    configuration: bytes
    changes: tuple[Change, ...] = ()
    merged_with: tuple[int, ...] = ()


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
        Access to the key-value service.
    text : str
        The answers as YAML, with the revision they are based on.
    place : str
        Source of the answers, for messages.
    author : str
        Who applies them.
    attempt : str
        Unique identifier of this call.
    note : str
        Reason of the change, for the history.
    taken_from : int, optional
        Overrides the revision in the answers that they are based on.
    above : int
        The new revision is higher than this one. Needed if the key-value service was
        restored to an earlier state and nodes hold a higher revision than it does.
    now_s : float
        Wall-clock time in seconds, for the history.

    Returns
    -------
    AcceptedRevision
        The accepted revision, also if another attempt of this call wrote it.

    Raises
    ------
    QuestionnaireError
        If the answers or the merged answers have findings.
    ConflictError
        If another operator changed the same path, the answers are based on a revision
        that the history no longer holds or that the key-value service never held, or
        other changes were accepted first `MAX_ATTEMPTS` times.
    PlatformUnreachableError
        If nothing was applied.
    OutcomeUnknownError
        If responses were lost, so that the change may or may not have been accepted.
    """
    answers = load_questionnaire(text, place=place)
    base = answers.taken_from if taken_from is None else taken_from
    n_unknown = 0
    tried_revisions = set()
    for _ in range(MAX_ATTEMPTS):
        try:
            current = read_current(store)
            accepted = _find_accepted_write(store, current, attempt, tried_revisions)
            if accepted is not None:
                return accepted
            prepared = _prepare(
                store,
                text,
                place=place,
                base=base,
                current=current,
                author=author,
                above=above,
            )
            if prepared.record_values is None:
                return prepared.accepted
            record = _make_record(prepared, attempt=attempt, note=note, now_s=now_s)
            if current is not None:
                copy_to_history(store, current)
            tried_revisions.add(record.revision)
            mod_revision = current.mod_revision if current is not None else 0
            if replace_current(store, record, mod_revision=mod_revision):
                try_delete_expired_parts(store, record.revision)
                return prepared.accepted
        except OutcomeUnknownError:
            # The next iteration reads back whether this write was accepted.
            n_unknown += 1
            if n_unknown >= MAX_UNKNOWN_OUTCOMES:
                raise
        except PlatformUnreachableError as error:
            if not tried_revisions:
                raise
            # An earlier write whose response was lost may have been accepted.
            raise OutcomeUnknownError(
                f"the change may have been accepted as revision "
                f"{max(tried_revisions)}: {error}"
            ) from error
    raise ConflictError(f"other changes came first {MAX_ATTEMPTS} times; apply again")


def try_delete_expired_parts(store, revision):
    """Delete parts that left the history, ignoring a lost response.

    If the deletion had no effect, the parts remain; later changes delete only the
    parts of later revisions.
    """
    try:
        delete_expired_parts(store, revision)
    except OutcomeUnknownError:
        return


@dataclass(frozen=True, kw_only=True, slots=True)
class _PreparedChange:
    accepted: AcceptedRevision
    record_values: dict | None


def _make_record(prepared, *, attempt, note, now_s):
    return Record(
        attempt=attempt, note=note, applied_at_s=now_s, **prepared.record_values
    )


def _find_accepted_write(store, current, attempt, tried_revisions):
    """Return the revision that an earlier write of this call created, or None.

    The response to that write was lost, so it is recognised by its attempt identifier.
    """
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
    """Merge the answers with the accepted ones and generate the new revision."""
    mine = plain_answers(text, place=place)
    current_revision = current.record.revision if current is not None else 0
    theirs = plain_answers(current.answers) if current is not None else {}
    if base > current_revision:
        raise ConflictError(
            f"the answers were taken from revision {base}, but the service holds "
            f"revision {current_revision}; it has lost changes or is another service"
        )
    merged_text, merged_with = text, ()
    if base < current_revision:
        merged = merge_with_accepted(
            store, mine, theirs, base=base, current_revision=current_revision
        )
        merged_with = tuple(range(base + 1, current_revision + 1))
        if merged != mine:
            merged_text = dump_yaml(merged)
            place = f"{place} merged with revision {current_revision}"
        mine = merged
    changes = tuple(compare_answers(theirs, mine))
    if not changes and above < current_revision + 1:
        accepted = AcceptedRevision(
            revision=current_revision,
            author=current.record.author,
            changed=False,
            configuration=current.configuration,
        )
        return _PreparedChange(accepted=accepted, record_values=None)
    answers = load_questionnaire(merged_text, place=place)
    revision = max(current_revision, above) + 1
    previous = load_configuration(current.configuration) if current else None
    _check_shard_count(answers, previous, place)
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
    record_values = {
        "revision": revision,
        "author": author,
        "taken_from": base,
        "digest": compute_digest(configuration),
        "changed": tuple(change.path for change in changes),
        "content": pack_content(with_taken_from(merged_text, revision), configuration),
    }
    return _PreparedChange(accepted=accepted, record_values=record_values)


def _check_shard_count(answers, previous, place):
    """Raise an error if the answers change the number of journal shards.

    The number determines the shard in which an idempotency key is looked up. The
    journal may hold entries once a configuration exists; with another number, a
    repeated call would not be found there and would run a second time.
    """
    if previous is None or previous.journal.n_shards == answers.journal.n_shards:
        return
    message = (
        f"{answers.journal.n_shards} cannot replace {previous.journal.n_shards}: "
        "repeated calls would no longer be found in the journal"
    )
    path = "journal.n_shards"
    raise QuestionnaireError([Finding(place=place, line=0, path=path, message=message)])
