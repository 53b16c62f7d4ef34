"""Keeps a node's knowledge current, from the store or from the scheduling node."""

import gevent

from savoryhill.errors import HistoryLostError, PlatformError

# Short, so that an answer proves twice a second that nothing newer is missing.
WATCH_WAIT_S = 0.5
# Changes that come together are taken in one answer.
BATCH_S = 0.1
RETRY_S = 0.25
MAX_RETRY_S = 0.5
# A node that hears nothing current from the scheduling node for this long watches
# the store itself.
FALLBACK_AGE_S = 1.2
CHECK_S = 0.1
# While the scheduling node is linked, its followers take turns at asking the store:
# each waits for a random part of this times the number of nodes. The first one that is
# answered tells the scheduling node, and so all others.
TURN_S_PER_NODE = 0.05


class Watcher:
    """Watches the store while ``must_watch()`` holds.

    Parameters
    ----------
    store : Store
        The platform's store.
    knowledge : Knowledge
        Where rows go.
    must_watch : callable
        Whether this node watches, called before each call.
    publish : callable
        Called with the rows and the revision of each answer.
    on_contact : callable
        Called after each answer of the store.
    takes_turns : callable
        Whether other nodes would pass on what they read.
    random : Random
        Draws the turns.
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
        takes_turns,
        random,
        clock,
    ):
        self._store = store
        self._cluster_view = cluster_view
        self._must_watch = must_watch
        self._publish = publish
        self._on_contact = on_contact
        self._takes_turns = takes_turns
        self._random = random
        self._turn_at = None
        self._clock = clock
        self._needs_snapshot = True
        self._is_lost = False
        self._pause_s = RETRY_S / 2

    def run(self):
        """Watch until the greenlet is killed."""
        while True:
            self._cluster_view.drop_lapsed()
            if not self._is_due():
                gevent.sleep(CHECK_S)
                continue
            self._turn_at = None
            try:
                self._step()
            except HistoryLostError as error:
                self._needs_snapshot = True
                self._cluster_view.record("store.history_lost", {"cause": str(error)})
            except PlatformError as error:
                self._cluster_view.note_failed_call()
                if not self._is_lost:
                    self._cluster_view.record("store.lost", {"cause": str(error)})
                self._is_lost = True
                self._pause_s = min(MAX_RETRY_S, 2.0 * self._pause_s)
                gevent.sleep(self._pause_s)

    def _is_due(self):
        """Tell whether this node asks the store now."""
        if self._needs_snapshot or self._must_watch():
            return True
        if self._cluster_view.contact_age_s() <= FALLBACK_AGE_S:
            self._turn_at = None
            return False
        if not self._takes_turns():
            return True
        now = self._clock.monotonic()
        if self._turn_at is None:
            n_nodes = len(self._cluster_view.nodes_by_name)
            self._turn_at = now + self._random.uniform(0, TURN_S_PER_NODE * n_nodes)
        return now >= self._turn_at

    def _step(self):
        started = self._clock.monotonic()
        if self._needs_snapshot:
            answer = self._store.read_prefix("")
            self._needs_snapshot = False
            self._take(answer, started, base_revision=0, is_complete=True)
            return
        base_revision = self._cluster_view.revision
        answer = self._store.watch(
            "", after_revision=base_revision, wait_s=WATCH_WAIT_S
        )
        self._take(
            answer,
            self._clock.monotonic(),
            base_revision=base_revision,
            is_complete=False,
        )
        if answer.rows:
            gevent.sleep(BATCH_S)

    def _take(self, answer, at, *, base_revision, is_complete):
        self._is_lost = False
        self._pause_s = RETRY_S / 2
        self._cluster_view.note_contact(at)
        update = {"base_revision": base_revision, "is_complete": is_complete}
        self._cluster_view.apply(answer.rows, answer.revision, **update)
        self._publish(answer.rows, answer.revision, **update)
        self._on_contact()
