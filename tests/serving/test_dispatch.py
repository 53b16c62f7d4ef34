"""The scheduling node and its followers, without sockets."""

import pytest

from savoryhill.core.scheduling.messages import (
    NodeAside,
    NodeBeat,
    NodeHello,
    StoreItem,
    StoreUpdate,
)
from savoryhill.serving.dispatch import STEP_DOWN_DELAY_S, Dispatcher
from savoryhill.serving.knowledge import Knowledge


class RecordingLink:
    """A link that keeps what is sent."""

    def __init__(self):
        self.sent = []
        self.frames = []

    def send(self, message):
        self.sent.append(message)

    def send_frame(self, frame):
        self.frames.append(frame)

    def of(self, kind):
        return [message for message in self.sent if isinstance(message, kind)]


@pytest.fixture
def knowledge(clock):
    return Knowledge(clock=clock, record=lambda event, fields: None, revision=7)


@pytest.fixture
def dispatcher(clock, knowledge):
    return Dispatcher(
        node="node-a",
        address="127.0.0.1:1",
        clock=clock,
        knowledge=knowledge,
        scheduling=None,
        record=lambda event, fields: None,
    )


@pytest.fixture
def follower(dispatcher):
    link = RecordingLink()
    dispatcher._follower_links.add(link)
    return link


def fresh_beat(revision=7):
    return NodeBeat(revision=revision, contact_age_s=0.0)


def update(base_revision, revision):
    row = StoreItem(key="op/other", value=b"", revision=revision, is_deleted=False)
    return StoreUpdate(
        base_revision=base_revision,
        revision=revision,
        is_complete=False,
        rows=(row,),
    )


class TestCutOffSchedulingNode:
    def test_it_stays_when_a_follower_notices_the_return_of_the_store_first(
        self, clock, dispatcher, follower
    ):
        # Guards against a cascade of replaced scheduling nodes: after an outage some
        # follower's call is answered a moment before that of the scheduling node.
        dispatcher.note_store_contact()
        clock.now += 8.0
        dispatcher._take_follower_beat(follower, fresh_beat())
        clock.now += STEP_DOWN_DELAY_S / 2
        dispatcher.note_store_contact()
        clock.now += STEP_DOWN_DELAY_S
        dispatcher._take_follower_beat(follower, fresh_beat())
        assert not follower.of(NodeAside)

    def test_it_steps_aside_when_its_own_calls_go_on_failing(
        self, clock, dispatcher, follower
    ):
        dispatcher.note_store_contact()
        clock.now += 2.0
        dispatcher._take_follower_beat(follower, fresh_beat())
        clock.now += STEP_DOWN_DELAY_S
        dispatcher._take_follower_beat(follower, fresh_beat())
        assert len(follower.of(NodeAside)) == 1

    def test_it_stays_if_the_store_was_away_for_all_meanwhile(
        self, clock, dispatcher, follower
    ):
        # Guards against a report from before an outage that counts after it.
        dispatcher.note_store_contact()
        clock.now += 2.0
        dispatcher._take_follower_beat(follower, fresh_beat())
        clock.now += 8.0
        dispatcher._take_follower_beat(follower, fresh_beat())
        assert not follower.of(NodeAside)

    def test_it_asks_a_follower_that_knows_more(
        self, clock, dispatcher, knowledge, follower
    ):
        # Guards against nodes that are turned away by the store and learn of a
        # change only after the scheduling node was replaced.
        dispatcher.note_store_contact()
        clock.now += 2.0
        dispatcher._take_follower_beat(follower, fresh_beat(revision=9))
        assert follower.of(NodeHello) == [NodeHello(node="node-a", revision=7)]
        assert knowledge.contact_age_s() > 1.0
        dispatcher._take_update(follower, update(7, 9))
        dispatcher._take_follower_beat(follower, fresh_beat(revision=9))
        assert knowledge.contact_age_s() == 0.0

    def test_follower_tells_it_what_it_reads(self, dispatcher):
        link = RecordingLink()
        dispatcher._link = link
        dispatcher._leader_contact_age_s = 2.0
        dispatcher.publish((), 9, base_revision=0, is_complete=True)
        assert [m.revision for m in link.of(StoreUpdate)] == [9]


class TestUpdates:
    def test_only_news_is_passed_on(self, dispatcher, follower):
        # Guards against two nodes that follow each other for a moment and repeat an
        # update for ever.
        for _ in range(3):
            dispatcher._take_update(follower, update(7, 8))
        assert len(follower.frames) == 1
