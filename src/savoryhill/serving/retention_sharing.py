"""Tells other nodes what stays in force against the store's older copy."""

import gevent

from savoryhill.serving.store_updates import build_retained_rows, read_rows

# Followers retain the same rows as their leader when they apply its update. Only what
# it has not named to them by then is news to it.
LEADER_REPORT_DELAY_S = 0.3


class RetentionSharing:
    """Passes on the rows that this node has begun to retain.

    Load pattern: nodes start while the store comes back from a copy. They link to a
    leader that has not noticed it yet, or that knows only the copy itself, while one
    that ran before is among the followers.

    ``send_to_followers(message)`` and ``send_to_leader(message)`` send a message to
    those linked, if any.
    """

    def __init__(self, *, cluster_view, send_to_followers, send_to_leader):
        self._cluster_view = cluster_view
        self._send_to_followers = send_to_followers
        self._send_to_leader = send_to_leader
        self._positions_known_to_leader = {}
        self._reporter = None
        cluster_view.on_retained.append(self._handle_retained)

    def receive(self, message, *, is_from_leader):
        """Merge the rows of another node."""
        rows = read_rows(message)
        if is_from_leader:
            self._note_known_to_leader(rows)
        self._cluster_view.merge_retained(rows, age_s=message.age_s)

    def greet_follower(self, link):
        """Send a new follower all that is retained."""
        message = build_retained_rows(self._cluster_view)
        if message is not None:
            link.send(message)

    def forget_leader(self):
        """Begin anew with another leader, or over another link."""
        self._positions_known_to_leader.clear()

    def _note_known_to_leader(self, rows):
        self._positions_known_to_leader.update((row.key, row.position) for row in rows)

    def _handle_retained(self, keys):
        message = build_retained_rows(self._cluster_view, keys)
        if message is None:
            # The writers had written again within the same update.
            return
        self._send_to_followers(message)
        if self._reporter is None:
            self._reporter = gevent.spawn_later(
                LEADER_REPORT_DELAY_S, self.report_to_leader
            )

    def report_to_leader(self):
        """Send the leader what it has not named itself."""
        self._reporter = None
        keys = [
            key
            for key, kept in self._cluster_view.retained_by_key.items()
            if self._positions_known_to_leader.get(key) != kept.row.position
        ]
        message = build_retained_rows(self._cluster_view, keys)
        if message is not None and self._send_to_leader(message):
            self._note_known_to_leader(read_rows(message))
