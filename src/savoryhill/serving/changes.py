"""Messages about what changed in the store."""

from savoryhill.core.scheduling.messages import StoreItem, StoreUpdate


def build_store_update(rows, revision, *, base_revision, is_complete):
    """Return the message that passes rows of the store on.

    Parameters
    ----------
    rows : iterable of StoreRow
        Changes after ``base_revision``, or everything.
    revision : int
        What is known with them.
    base_revision : int
        The rows are all changes after this revision.
    is_complete : bool
        Whether the rows are everything.

    Returns
    -------
    StoreUpdate
        The message.
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
    """Return what a node that knows a revision misses, or everything.

    Everything is sent only if not all changes after that revision are known.
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
