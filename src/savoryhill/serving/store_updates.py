"""Builds the messages that pass changes of the store to other nodes."""

from savoryhill.core.scheduling.messages import StoreItem, StoreUpdate


def build_store_update(rows, revision, *, base_revision, is_complete):
    """Return a message with rows of the store for other nodes.

    Parameters
    ----------
    rows : iterable of StoreRow
        Changes after ``base_revision``, or a full snapshot.
    revision : int
        Revision that a node has reached once it has applied the rows.
    base_revision : int
        The rows are all changes after this revision.
    is_complete : bool
        Whether the rows are a full snapshot.

    Returns
    -------
    StoreUpdate
    """
    return StoreUpdate(
        base_revision=base_revision,
        revision=revision,
        is_complete=is_complete,
        rows=tuple(
            StoreItem(
                key=row.key,
                value=row.value,
                revision=row.revision,
                is_deleted=row.is_deleted,
            )
            for row in rows
        ),
    )


def missing_changes(cluster_view, known_revision):
    """Return the changes after the revision that a node knows.

    The update is a full snapshot if some of these changes are no longer kept.
    """
    rows = cluster_view.rows_after(known_revision)
    if rows is None:
        return build_store_update(
            cluster_view.rows_by_key.values(),
            cluster_view.revision,
            base_revision=0,
            is_complete=True,
        )
    return build_store_update(
        rows, cluster_view.revision, base_revision=known_revision, is_complete=False
    )
