"""Keeps the cluster view of a node current by calls to the store.

Usually only the leader, the node that schedules for the others, watches the store and
passes the changes on. The other nodes call the store if these updates stop.
"""

import gevent

from savoryhill.errors import HistoryLostError, PlatformError
from savoryhill.serving.store_position import StorePosition

# Short, so that even without changes a response confirms twice a second that the view
# is current.
WATCH_TIMEOUT_S = 0.5
# Wait after a response with changes, so that a burst of changes needs fewer calls.
BATCH_DELAY_S = 0.1
MIN_RETRY_S = 0.25
MAX_RETRY_S = 0.5
# A node that has had no current update from the leader for this long calls the store
# itself.
FALLBACK_AGE_S = 1.2
POLL_S = 0.1
# While the leader is linked, its followers stagger their calls: each waits for a random
# time of up to this value times the number of nodes. The first one that gets a response
# tells the leader, which passes it on to all others.
STAGGER_S_PER_NODE = 0.05


class Watcher:
    """Watches the store while ``must_watch()`` holds, or if other updates stop.

    Parameters
    ----------
    store : Store
        The platform's store.
    cluster_view : ClusterView
        The view to which rows are applied.
    must_watch : callable
        Returns whether this node watches continuously; checked before each call.
    publish : callable
        Called with the rows and the position of each response.
    on_contact : callable
        Called after each response from the store.
    must_stagger : callable
        Returns whether calls are staggered, as other nodes pass on what they read.
    random : Random
        Draws the delays of staggered calls.
    clock : Clock
        The runtime's clock.
    """

    def __init__(
        self,
        *,
        store,
        cluster_view,
        must_watch,
        publish,
        on_contact,
        must_stagger,
        random,
        clock,
    ):
        self._store = store
        self._cluster_view = cluster_view
        self._must_watch = must_watch
        self._publish = publish
        self._on_contact = on_contact
        self._must_stagger = must_stagger
        self._random = random
        self._next_call_at = None
        self._clock = clock
        self._needs_snapshot = True
        self._is_disconnected = False
        self._retry_delay_s = MIN_RETRY_S / 2

    def run(self):
        """Watch until the greenlet is killed."""
        while True:
            self._cluster_view.remove_lapsed_endpoints()
            self._cluster_view.release_retained_rows()
            if not self._is_due():
                gevent.sleep(POLL_S)
                continue
            self._next_call_at = None
            try:
                self._read_store()
            except HistoryLostError as error:
                self._needs_snapshot = True
                self._cluster_view.record("store.history_lost", {"cause": str(error)})
                gevent.sleep(BATCH_DELAY_S)
            except PlatformError as error:
                self._cluster_view.note_failed_call()
                if not self._is_disconnected:
                    self._cluster_view.record("store.lost", {"cause": str(error)})
                self._is_disconnected = True
                # Starts at half of MIN_RETRY_S, so the first delay is MIN_RETRY_S.
                self._retry_delay_s = min(MAX_RETRY_S, 2.0 * self._retry_delay_s)
                gevent.sleep(self._retry_delay_s)

    def _is_due(self):
        """Return whether this node calls the store now."""
        if self._needs_snapshot or self._must_watch():
            return True
        if self._cluster_view.contact_age_s() <= FALLBACK_AGE_S:
            self._next_call_at = None
            return False
        if not self._must_stagger():
            return True
        now = self._clock.monotonic()
        if self._next_call_at is None:
            n_nodes = len(self._cluster_view.nodes_by_name)
            self._next_call_at = now + self._random.uniform(
                0, STAGGER_S_PER_NODE * n_nodes
            )
        return now >= self._next_call_at

    def _read_store(self):
        called_at = self._clock.monotonic()
        if self._needs_snapshot:
            response = self._store.read_prefix("")
            self._needs_snapshot = False
            self._apply_response(
                response, called_at, base=StorePosition(), is_complete=True
            )
            return
        base = self._cluster_view.position
        response = self._store.watch(
            "", after_revision=base.revision, wait_s=WATCH_TIMEOUT_S
        )
        if response.era > base.era:
            # The changes are those after a revision that has been given out again.
            raise HistoryLostError(
                f"store came back from a copy: era {response.era} after {base.era}"
            )
        self._apply_response(
            response, self._clock.monotonic(), base=base, is_complete=False
        )
        if response.rows:
            gevent.sleep(BATCH_DELAY_S)

    def _apply_response(self, response, at, *, base, is_complete):
        view = self._cluster_view
        if response.era and response.era < view.era:
            # Sent before the store was restored, as another node has learned meanwhile.
            return
        self._is_disconnected = False
        self._retry_delay_s = MIN_RETRY_S / 2
        known = view.position
        position = view.resolve(era=response.era, revision=response.revision)
        view.note_contact(at)
        view.apply(
            response.rows,
            position.revision,
            base_revision=base.revision,
            is_complete=is_complete,
            era=position.era,
            base_era=base.era,
        )
        changes = view.rows_after(known) if is_complete else None
        if changes is not None:
            # Other nodes that know the previous position need no snapshot.
            self._publish(changes, view.position, base=known, is_complete=False)
        else:
            self._publish(response.rows, position, base=base, is_complete=is_complete)
        self._on_contact()
