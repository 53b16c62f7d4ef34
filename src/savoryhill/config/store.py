"""Revisions of the configuration in the key-value service."""

from collections.abc import Callable
from dataclasses import dataclass, replace
from functools import partial

from savoryhill.config.records import (
    CURRENT_KEY,
    HEAD_KEY,
    Record,
    assemble_content,
    decode_record,
    encode_head,
    encode_record,
    history_key,
    parts_prefix,
    split_parts,
    unpack_content,
)
from savoryhill.core.effects import Compare
from savoryhill.platform.key_value import make_key_value_client, read_range, transact

# Includes the accepted revision. 200 revisions of 100 kB take 20 MB in the key-value
# service and cover about 2 hours at 2,600 changes a day.
MAX_REVISIONS = 200


@dataclass(frozen=True, kw_only=True)
class Store:
    """Access to the key-value service.

    ``read`` takes a key and ``prefix`` like `read_range`; ``write`` takes ``compares``,
    ``puts`` and ``deletes`` like `transact` of `savoryhill.platform.key_value`.
    """

    read: Callable
    write: Callable


@dataclass(frozen=True, kw_only=True, slots=True)
class StoredRevision:
    """A revision with its decompressed content.

    ``mod_revision`` is the modification revision of the key it was read from.
    """

    record: Record
    answers: str
    configuration: bytes
    mod_revision: int


def make_store(address):
    """Make a store on the key-value service at ``ip:port``."""
    client = make_key_value_client(address)
    return Store(read=partial(read_range, client), write=partial(transact, client))


def read_current(store):
    """Return the accepted revision, or None before the first one.

    Raises
    ------
    ConfigurationError
        If the stored record is damaged.
    PlatformError
        If the key-value service did not respond.
    """
    return _read(store, CURRENT_KEY)


def read_revision(store, revision):
    """Return a revision, or None if the history no longer holds it."""
    current = read_current(store)
    if current is not None and current.record.revision == revision:
        return current
    return _read(store, history_key(revision))


def _read(store, key):
    rows = store.read(key).rows
    if not rows:
        return None
    record = decode_record(rows[0].value)
    parts = ()
    if record.n_parts:
        prefix = parts_prefix(record.revision, record.attempt)
        parts = [row.value for row in store.read(prefix, prefix=True).rows]
    answers, configuration = unpack_content(assemble_content(record, parts))
    return StoredRevision(
        record=record,
        answers=answers,
        configuration=configuration,
        mod_revision=rows[0].mod_revision,
    )


def list_revisions(store, *, n_last):
    """Return the records of the latest revisions, newest first.

    Parameters
    ----------
    store : Store
        Access to the key-value service.
    n_last : int
        Maximum number of revisions.

    Returns
    -------
    list of Record
        The records, with empty ``content``.
    """
    rows = store.read(CURRENT_KEY).rows
    if not rows:
        return []
    records = [decode_record(rows[0].value)]
    newest = records[0].revision
    for revision in range(newest - 1, max(0, newest - n_last), -1):
        rows = store.read(history_key(revision)).rows
        if rows:
            records.append(decode_record(rows[0].value))
    return [replace(record, content=b"") for record in records]


def copy_to_history(store, current):
    """Copy the accepted revision to the history before it is replaced.

    Every writer makes an identical copy, so a lost response or a race does no harm.
    The copy is a write of its own because together with the new revision it may exceed
    the size limit of a transaction.
    """
    record = current.record
    if record.n_parts == 0:
        rows = store.read(CURRENT_KEY).rows
        if not rows or rows[0].mod_revision != current.mod_revision:
            return
        value = rows[0].value
    else:
        value = encode_record(record)
    key = history_key(record.revision)
    store.write(compares=(Compare(key=key, mod_revision=0),), puts=((key, value),))


def replace_current(store, record, *, mod_revision):
    """Make a revision the accepted one unless another write came first.

    Parameters
    ----------
    store : Store
        Access to the key-value service.
    record : Record
        The new revision with its content.
    mod_revision : int
        Modification revision of the current key when it was read, 0 if the key did
        not exist.

    Returns
    -------
    bool
        Whether the revision was accepted; False if another write came first.

    Raises
    ------
    PlatformUnreachableError
        If nothing was written.
    OutcomeUnknownError
        If the response was lost; `Record.attempt` of the accepted revision then tells
        which write was accepted.
    """
    parts = split_parts(record)
    # Parts are written before the record, so that a reader of the record finds them
    # all.
    for key, value in parts:
        store.write(compares=(), puts=((key, value),))
    if parts:
        record = replace(record, content=b"", n_parts=len(parts))
    expired = record.revision - MAX_REVISIONS
    deletes = (history_key(expired),) if expired > 0 else ()
    response = store.write(
        compares=(Compare(key=CURRENT_KEY, mod_revision=mod_revision),),
        puts=((CURRENT_KEY, encode_record(record)), (HEAD_KEY, encode_head(record))),
        deletes=deletes,
    )
    if not response.succeeded and parts:
        store.write(compares=(), puts=(), deletes=tuple(key for key, _ in parts))
    return response.succeeded


def delete_expired_parts(store, revision):
    """Delete the parts of the revision that ``revision`` removed from the history."""
    expired = revision - MAX_REVISIONS
    if expired > 0:
        rows = store.read(parts_prefix(expired), prefix=True).rows
        if rows:
            store.write(compares=(), deletes=tuple(row.key for row in rows))
