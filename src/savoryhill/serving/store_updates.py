"""Builds and reads the messages that pass rows of the store to other nodes."""

from savoryhill.core.scheduling.messages import RetainedRows, StoreItem, StoreUpdate
from savoryhill.platform.store import StoreRow


def _to_items(rows):
    return tuple(
        StoreItem(
            key=row.key,
            value=row.value,
            revision=row.revision,
            is_deleted=row.is_deleted,
            era=row.era,
        )
        for row in rows
    )


def read_rows(message):
    """Return the rows of a message."""
    return tuple(
        StoreRow(
            key=item.key,
            value=item.value,
            revision=item.revision,
            is_deleted=item.is_deleted,
            era=item.era,
        )
        for item in message.rows
    )


def build_store_update(rows, position, *, base, is_complete):
    """Return a message with rows of the store for other nodes.

    Parameters
    ----------
    rows : iterable of StoreRow
        Changes after ``base``, or a full snapshot.
    position : StorePosition
        Position that a node has reached once it has applied the rows.
    base : StorePosition
        The rows are all changes after this position.
    is_complete : bool
        Whether the rows are a full snapshot.

    Returns
    -------
    StoreUpdate
    """
    return StoreUpdate(
        base_revision=base.revision,
        revision=position.revision,
        is_complete=is_complete,
        rows=_to_items(rows),
        era=position.era,
        base_era=base.era,
    )


def missing_changes(cluster_view, known):
    """Return the changes after the position that a node knows.

    The update is a full snapshot if some of these changes are no longer kept.
    """
    rows = cluster_view.rows_after(known)
    is_complete = rows is None
    if is_complete:
        rows = cluster_view.history.rows_by_key.values()
    return build_store_update(
        rows, cluster_view.position, base=known, is_complete=is_complete
    )


def build_retained_rows(cluster_view, keys=None):
    """Return a message with what the view retains, or None if it retains nothing.

    Parameters
    ----------
    cluster_view : ClusterView
        The view of the sending node.
    keys : iterable of str or None
        The rows to name, if they are still retained; None for all.
    """
    kept_by_key = cluster_view.retained_by_key
    keys = kept_by_key if keys is None else [key for key in keys if key in kept_by_key]
    if not keys:
        return None
    return RetainedRows(
        age_s=cluster_view.clock.monotonic() - cluster_view.era_began_at,
        rows=_to_items(kept_by_key[key].row for key in keys),
    )
