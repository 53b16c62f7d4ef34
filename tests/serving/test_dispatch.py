"""Tests of the dispatcher as leader and as follower, without sockets."""

from dataclasses import replace

import pytest

from savoryhill.core.observations.crashes import CRASH, observe_crash
from savoryhill.core.observations.messages import (
    BalanceReply,
    BalanceRequest,
    ObservationItem,
    SharedObservations,
    TurnReply,
    TurnRequest,
)
from savoryhill.core.observations.rate_limits import unlimited
from savoryhill.core.scheduling.messages import (
    PROTOCOL,
    SHARING_PROTOCOL,
    NodeAside,
    NodeBeat,
    NodeHello,
    RetainedRows,
    StoreItem,
    StoreUpdate,
)
from savoryhill.errors import PeerError
from savoryhill.platform.store import StoreRow
from savoryhill.serving.balance_grants import BalanceGrants
from savoryhill.serving.cluster_view import ClusterView
from savoryhill.serving.dispatch import STEP_DOWN_DELAY_S, Dispatcher
from savoryhill.serving.shared_observations import ObservationSharing
from savoryhill.serving.store_position import StorePosition
from savoryhill.serving.store_updates import read_rows
from savoryhill.serving.turns import Turns

CRASH_ITEM = ObservationItem(
    kind=CRASH,
    subject="p1",
    source="e1",
    version=1,
    age_s=1.0,
    value=0.1,
    workspace="ws-a",
)


class RecordingLink:
    """A link that records what is sent."""

    def __init__(self, *, peer_protocol=SHARING_PROTOCOL):
        self.peer_protocol = peer_protocol
        self.sent = []
        self.frames = []

    def send(self, message):
        self.sent.append(message)

    def send_frame(self, frame):
        self.frames.append(frame)

    def messages_of(self, kind):
        return [message for message in self.sent if isinstance(message, kind)]


@pytest.fixture
def cluster_view(clock):
    return ClusterView(clock=clock, record=lambda event, fields: None, revision=7)


@pytest.fixture
def dispatcher(clock, cluster_view):
    return Dispatcher(
        node="node-a",
        address="127.0.0.1:1",
        clock=clock,
        cluster_view=cluster_view,
        scheduling=None,
        sharing=ObservationSharing(clock=clock),
        turns=Turns(clock=clock, limiter=unlimited()),
        grants=BalanceGrants(clock=clock, random=None, cluster_view=cluster_view),
        record=lambda event, fields: None,
    )


@pytest.fixture
def follower(dispatcher):
    link = RecordingLink()
    dispatcher._follower_links.add(link)
    return link


def current_heartbeat(revision=7):
    return NodeBeat(revision=revision, contact_age_s=0.0)


def store_update(base_revision, revision):
    row = StoreItem(key="op/other", value=b"", revision=revision, is_deleted=False)
    return StoreUpdate(
        base_revision=base_revision,
        revision=revision,
        is_complete=False,
        rows=(row,),
    )


class TestLeaderWithoutStoreContact:
    def test_stays_leader_when_a_follower_notices_the_recovery_of_the_store_first(
        self, clock, dispatcher, follower
    ):
        # Guards against a cascade of replaced leaders: after an outage, the store may
        # answer a follower's call shortly before the leader's.
        dispatcher.note_store_contact()
        clock.now += 8.0
        dispatcher._handle_follower_heartbeat(follower, current_heartbeat())
        clock.now += STEP_DOWN_DELAY_S / 2
        dispatcher.note_store_contact()
        clock.now += STEP_DOWN_DELAY_S
        dispatcher._handle_follower_heartbeat(follower, current_heartbeat())
        assert not follower.messages_of(NodeAside)

    def test_steps_down_when_its_own_calls_keep_failing(
        self, clock, dispatcher, follower
    ):
        dispatcher.note_store_contact()
        clock.now += 2.0
        dispatcher._handle_follower_heartbeat(follower, current_heartbeat())
        clock.now += STEP_DOWN_DELAY_S
        dispatcher._handle_follower_heartbeat(follower, current_heartbeat())
        assert len(follower.messages_of(NodeAside)) == 1

    def test_stays_leader_after_an_outage_for_all_nodes(
        self, clock, dispatcher, follower
    ):
        # Guards against using a follower's report from before an outage as evidence
        # after it.
        dispatcher.note_store_contact()
        clock.now += 2.0
        dispatcher._handle_follower_heartbeat(follower, current_heartbeat())
        clock.now += 8.0
        dispatcher._handle_follower_heartbeat(follower, current_heartbeat())
        assert not follower.messages_of(NodeAside)

    def test_requests_changes_from_a_follower_with_a_newer_revision(
        self, clock, dispatcher, cluster_view, follower
    ):
        # Guards against nodes that the store rejects and that learn of a change only
        # after the leader was replaced.
        dispatcher.note_store_contact()
        clock.now += 2.0
        dispatcher._handle_follower_heartbeat(follower, current_heartbeat(revision=9))
        assert follower.messages_of(NodeHello) == [
            NodeHello(node="node-a", revision=7, protocol=PROTOCOL)
        ]
        assert cluster_view.contact_age_s() > 1.0
        dispatcher._apply_update(follower, store_update(7, 9))
        dispatcher._handle_follower_heartbeat(follower, current_heartbeat(revision=9))
        assert cluster_view.contact_age_s() == 0.0

    def test_follower_sends_its_store_reads_to_a_leader_without_contact(
        self, dispatcher
    ):
        link = RecordingLink()
        dispatcher._link = link
        dispatcher._leader_contact_age_s = 2.0
        dispatcher.publish(
            (), StorePosition(revision=9), base=StorePosition(), is_complete=True
        )
        assert [message.revision for message in link.messages_of(StoreUpdate)] == [9]


class TestLossOfALeader:
    def lose_leader(self, dispatcher):
        class SilentLink(RecordingLink):
            is_open = False

            def receive(self):
                raise PeerError("silent")

            def close(self):
                pass

        dispatcher._next_leader.take = lambda _address: SilentLink()
        dispatcher.jobs.use_leader = lambda _link: None
        dispatcher._leader_address = "127.0.0.1:9"
        dispatcher._run_leader_session("127.0.0.1:9")
        dispatcher._link = RecordingLink()

    def test_next_leader_counts_once_the_node_is_up_to_date(
        self, clock, dispatcher, cluster_view
    ):
        # Guards against a node that relies on a leader which is as far behind.
        cluster_view.note_contact(clock.now)
        clock.now += 1.0
        self.lose_leader(dispatcher)
        assert not dispatcher.has_leader()
        cluster_view.note_contact(clock.now)
        assert dispatcher.has_leader()

    def test_next_leader_counts_once_a_call_to_the_store_has_failed(
        self, clock, dispatcher, cluster_view
    ):
        # Guards against an outage of the store in which all nodes that have lost a
        # leader call it twice a second until its end.
        clock.now += 1.0
        self.lose_leader(dispatcher)
        assert not dispatcher.has_leader()
        cluster_view.note_failed_call()
        assert dispatcher.has_leader()


class TestUpdates:
    def test_only_newer_revisions_are_forwarded(self, dispatcher, follower):
        # Guards against an endless exchange of one update between two nodes that
        # follow each other for a moment.
        for _ in range(3):
            dispatcher._apply_update(follower, store_update(7, 8))
        assert len(follower.frames) == 1


class TestSharedObservations:
    def test_leader_forwards_news_once_and_in_one_message(self, dispatcher, follower):
        # Guards against observations that go back and forth between nodes forever, and
        # against a message to each node for each engine of a zone that ends.
        other = RecordingLink()
        dispatcher._follower_links.add(other)
        sharing = dispatcher._sharing
        for number in range(30):
            item = replace(CRASH_ITEM, source=f"e{number}")
            for link in (follower, other):
                sharing.receive(SharedObservations(items=(item,)), link)
        sharing.forward()
        assert (len(follower.frames), len(other.frames)) == (1, 1)
        sharing.forward()
        item = replace(CRASH_ITEM, source="e30")
        for link in (follower, other):
            sharing.receive(SharedObservations(items=(item,)), link)
        sharing.forward()
        assert (len(follower.frames), len(other.frames)) == (2, 2)

    def test_news_of_the_leader_are_not_sent_back_to_it(self, dispatcher, follower):
        dispatcher._link = RecordingLink()
        sharing = dispatcher._sharing
        sharing.receive(SharedObservations(items=(CRASH_ITEM,)), dispatcher._link)
        sharing.forward()
        assert (dispatcher._link.sent, len(follower.frames)) == ([], 1)

    def test_follower_sends_its_own_news_to_the_leader(self, clock, dispatcher):
        dispatcher._link = RecordingLink()
        sharing = dispatcher._sharing
        now = clock.monotonic()
        sharing.add(
            observe_crash(
                sharing.table,
                parts=["p1"],
                source="e1",
                workspace="",
                sent_at=now,
                now=now,
            )
        )
        assert len(dispatcher._link.messages_of(SharedObservations)) == 1

    def test_new_link_gets_what_is_known(self, clock, dispatcher, follower):
        # Guards against a node that joins, or the next leader, learning of a part only
        # from engines that end again.
        dispatcher._sharing.receive(SharedObservations(items=(CRASH_ITEM,)), follower)
        clock.now += 3.0
        joining = RecordingLink(peer_protocol=0)
        for _ in range(2):
            dispatcher._note_protocol(joining, SHARING_PROTOCOL)
        ((message,),) = [joining.messages_of(SharedObservations)]
        (item,) = message.items
        assert (item.subject, item.source, item.age_s) == ("p1", "e1", 4.0)

    def test_nothing_is_sent_while_nothing_is_known(self, dispatcher):
        joining = RecordingLink(peer_protocol=0)
        dispatcher._note_protocol(joining, SHARING_PROTOCOL)
        assert joining.sent == []

    def test_node_of_an_older_build_gets_none(self, dispatcher):
        # Guards against links that an older node closes because it doesn't know the
        # message, during a release.
        older = RecordingLink(peer_protocol=0)
        dispatcher._follower_links.add(older)
        dispatcher._link = RecordingLink(peer_protocol=0)
        source = RecordingLink()
        dispatcher._sharing.receive(SharedObservations(items=(CRASH_ITEM,)), source)
        dispatcher._note_protocol(older, 0)
        dispatcher._sharing.forward()
        assert older.frames == older.sent == dispatcher._link.sent == []
        assert not dispatcher._send_to_leader(
            TurnRequest(number=1, endpoints=(), max_wait_s=0.0)
        )


class TestBalancing:
    def test_leader_of_an_older_build_is_not_asked(self, dispatcher):
        # Guards against a link that an older leader closes because it does not know
        # the message, and with it the jobs of the node, during a release.
        dispatcher._link = RecordingLink(peer_protocol=PROTOCOL - 1)
        asked = dispatcher._grants.ask("app", zone="zone-a", avoided_ids=())
        assert asked is None
        assert dispatcher._link.sent == []

    def test_reply_of_the_leader_is_used(self, dispatcher):
        class Leader(RecordingLink):
            def send(self, message):
                super().send(message)
                reply = BalanceReply(number=message.number, endpoint="app-1")
                dispatcher._handle_leader_message(reply)

        dispatcher._link = Leader(peer_protocol=PROTOCOL)
        asked = dispatcher._grants.ask("app", zone="zone-a", avoided_ids=("app-2",))
        (request,) = dispatcher._link.messages_of(BalanceRequest)
        assert request.avoided == ("app-2",)
        assert asked == (request.number, "app-1")


class TestRetainedRows:
    """A node that links to others while the store comes back from a copy."""

    ROW = StoreItem(
        key="op/evacuate/zone-a", value=b"{}", revision=7, is_deleted=False, era=1
    )

    @pytest.fixture(autouse=True)
    def without_timers(self, monkeypatch):
        monkeypatch.setattr(
            "savoryhill.serving.retention_sharing.gevent.spawn_later",
            lambda *_: True,
        )

    @pytest.fixture
    def restored_view(self, cluster_view):
        """A view that retains an evacuation against the copy."""
        cluster_view.apply(read_rows(RetainedRows(age_s=0.0, rows=(self.ROW,))), 7)
        cluster_view.era, cluster_view.revision = 1, 7
        return cluster_view

    @pytest.fixture
    def follower(self, dispatcher):
        link = RecordingLink(peer_protocol=PROTOCOL)
        dispatcher._follower_links.add(link)
        return link

    def test_node_linked_before_the_restoration_was_noticed_is_told(
        self, dispatcher, follower, restored_view
    ):
        # Guards against a node that knows only the copy and serves it, because its
        # leader has begun to retain rows after it was greeted.
        restored_view.apply([], 6, is_complete=True, era=2)
        assert restored_view.evacuated_zones == {"zone-a"}
        assert len(follower.frames) == 1

    def test_row_written_again_within_the_same_update_is_passed_on_by_the_update(
        self, dispatcher, follower, restored_view
    ):
        # Guards against a message without rows, which ends the task that reads the
        # store.
        removed = StoreRow(
            key=self.ROW.key, value=b"", revision=5, is_deleted=True, era=2
        )
        again = StoreRow(key=self.ROW.key, value=b"{}", revision=6, era=2)
        assert restored_view.apply(
            [removed, again], 6, base_revision=7, base_era=1, era=2
        )
        assert restored_view.evacuated_zones == {"zone-a"}
        assert follower.frames == []

    def test_leader_that_knows_only_the_copy_passes_on_what_it_is_told(
        self, dispatcher, cluster_view, follower
    ):
        # Guards against news that end at a leader which has just started.
        cluster_view.apply([], 6, is_complete=True, era=2)
        for _ in range(3):
            dispatcher._retention_sharing.receive(
                RetainedRows(age_s=1.0, rows=(self.ROW,)), is_from_leader=False
            )
        assert cluster_view.evacuated_zones == {"zone-a"}
        assert len(follower.frames) == 1

    def test_removed_row_is_passed_on_once(self, dispatcher, cluster_view, follower):
        # Guards against removals that two nodes send each other for ever.
        removed = replace(self.ROW, is_deleted=True)
        cluster_view.apply(
            [StoreRow(key=self.ROW.key, value=b"{}", revision=7)],
            7,
            is_complete=True,
            era=2,
        )
        for _ in range(3):
            dispatcher._retention_sharing.receive(
                RetainedRows(age_s=1.0, rows=(removed,)), is_from_leader=False
            )
        assert cluster_view.evacuated_zones == set()
        assert len(follower.frames) == 1

    def test_follower_tells_a_leader_that_has_not_named_the_row(
        self, dispatcher, restored_view
    ):
        dispatcher._link = RecordingLink(peer_protocol=PROTOCOL)
        restored_view.apply([], 6, is_complete=True, era=2)
        for _ in range(2):
            dispatcher._retention_sharing.report_to_leader()
        ((message,),) = [dispatcher._link.messages_of(RetainedRows)]
        assert [item.key for item in message.rows] == [self.ROW.key]

    def test_followers_of_a_leader_that_named_the_row_tell_it_nothing(
        self, dispatcher, restored_view
    ):
        # Guards against a message from each of hundreds of followers.
        dispatcher._link = RecordingLink(peer_protocol=PROTOCOL)
        restored_view.apply([], 6, is_complete=True, era=2)
        dispatcher._retention_sharing.receive(
            RetainedRows(age_s=0.0, rows=(self.ROW,)), is_from_leader=True
        )
        dispatcher._retention_sharing.report_to_leader()
        assert dispatcher._link.sent == []


class TestTurns:
    def make_turns(self, clock, **limits):
        limiter = unlimited()
        limiter.set_limits({f"{name}@1": limit for name, limit in limits.items()})
        return Turns(clock=clock, limiter=limiter)

    def test_leader_gives_each_turn_once(self, clock):
        turns = self.make_turns(clock, e1=0.5)
        request = TurnRequest(number=7, endpoints=("e1@1",), max_wait_s=0.0)
        assert turns.decide(request).endpoint == "e1@1"
        second = turns.decide(request)
        assert (second.endpoint, second.wait_s) == ("", 2.0)

    def test_node_with_a_leader_asks_it(self, clock):
        turns = self.make_turns(clock, e1=0.5)
        sent = []

        def send(message):
            sent.append(message)
            reply = TurnReply(number=message.number, endpoint="e1@1", wait_s=0.25)
            turns.handle_reply(replace(reply, number=99))
            turns.handle_reply(reply)
            return True

        turns.send_to_leader = send
        assert turns.take(["e1@1"], max_wait_s=1.0).wait_s == 0.25
        assert [message.endpoints for message in sent] == [("e1@1",)]

    def test_node_without_a_leader_decides_itself(self, clock):
        turns = self.make_turns(clock, e1=0.5)
        turns.send_to_leader = lambda message: False
        assert turns.take(["e1@1"], max_wait_s=0.0).endpoint == "e1@1"
        assert turns.take(["e1@1"], max_wait_s=0.0).endpoint == ""
