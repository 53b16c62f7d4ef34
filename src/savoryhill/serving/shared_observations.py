"""A node's copy of the observations that all nodes share."""

import gevent

from savoryhill.core.observations.crashes import ALIVE
from savoryhill.core.observations.leaving import LEAVING
from savoryhill.core.observations.messages import (
    decode_observations,
    encode_observations,
)
from savoryhill.core.observations.table import ObservationTable

REVIEW_INTERVAL_S = 1.0
FORWARD_INTERVAL_S = 0.03
# The first must outlast the crashes that they answer, the second the endpoints that
# leave, which may serve for long and be named by the store meanwhile.
LASTING_KINDS = (ALIVE, LEAVING)


class ObservationSharing:
    """Merges observations of this node and of others, and passes on what is news.

    ``send(message, except_link)`` sends a message to the leader unless that is where it
    is from, ``send_to_followers(message)`` to all followers. The functions in
    ``on_news`` are called with the news once they are merged, those in ``on_review`` at
    intervals, because what is known ends with time.
    """

    def __init__(self, *, clock):
        self._clock = clock
        self.table = ObservationTable(lasting_kinds=LASTING_KINDS)
        self._unforwarded = []
        self.send = None
        self.send_to_followers = None
        self.on_news = []
        self.on_review = []

    def add(self, observations):
        """Merge observations of this node."""
        self._merge(observations, except_link=None)

    def receive(self, message, link):
        """Merge the observations that arrived on a link."""
        observations = decode_observations(message, self._clock.monotonic())
        self._merge(observations, except_link=link)

    def _merge(self, observations, *, except_link):
        now = self._clock.monotonic()
        news = self.table.merge(observations, now)
        if not news:
            return
        if self.send is not None:
            self.send(encode_observations(news, now), except_link)
            if not self._unforwarded:
                gevent.spawn_later(FORWARD_INTERVAL_S, self.forward)
            self._unforwarded += news
        for notify in self.on_news:
            notify(news)

    def forward(self):
        """Send the news of the last interval to the followers, in one message.

        Load pattern: the engines of an availability zone end at once, and many nodes
        report it. A message to each node for each report would take the leader's time
        when it has to place the jobs again.
        """
        news, self._unforwarded = self._unforwarded, []
        if news:
            self.send_to_followers(encode_observations(news, self._clock.monotonic()))

    def review_periodically(self):
        """Drop what has ended and call the reviews until the greenlet is killed."""
        while True:
            gevent.sleep(REVIEW_INTERVAL_S)
            if not len(self.table):
                continue
            self.table.expire(self._clock.monotonic())
            for review in self.on_review:
                review()

    def snapshot(self):
        """Return a message with all observations, or None if there are none."""
        now = self._clock.monotonic()
        self.table.expire(now)
        if not len(self.table):
            return None
        return encode_observations(self.table.all(), now)
