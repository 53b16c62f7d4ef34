"""Attempts to connect, of which the first one that succeeds is used."""

import gevent
import pytest

from savoryhill.errors import NotConnectedError
from savoryhill.serving.ways.race import STAGGER_S, race


class RecordedConnection:
    """A connection that records whether it was closed."""

    is_closed = False

    def close(self):
        """Record the close."""
        self.is_closed = True


def connects(connection, *, after_s=0.0):
    def attempt():
        gevent.sleep(after_s)
        return connection

    return attempt


def fails(text, *, after_s=0.0):
    def attempt():
        gevent.sleep(after_s)
        raise NotConnectedError(text)

    return attempt


def undecided():
    return False


class TestRace:
    def test_attempt_that_connects_at_once_starts_no_other(self):
        # Guards against the choice of relays being paid by each request.
        connection = RecordedConnection()

        def attempts():
            yield connects(connection)
            raise AssertionError("an attempt was taken that was not needed")

        assert race(attempts(), is_decided=undecided) is connection

    def test_next_attempt_starts_when_one_is_slow(self):
        slow, fast = RecordedConnection(), RecordedConnection()
        attempts = [connects(slow, after_s=4 * STAGGER_S), connects(fast)]
        assert race(attempts, is_decided=undecided) is fast
        gevent.sleep(5 * STAGGER_S)
        assert slow.is_closed
        assert not fast.is_closed

    def test_next_attempt_starts_when_one_has_failed(self):
        connection = RecordedConnection()
        with gevent.Timeout(STAGGER_S / 2):
            attempts = [fails("a"), fails("b"), connects(connection)]
            assert race(attempts, is_decided=undecided) is connection

    def test_slow_attempt_wins_if_the_others_fail(self):
        slow = RecordedConnection()
        attempts = [connects(slow, after_s=2 * STAGGER_S), fails("b")]
        assert race(attempts, is_decided=undecided) is slow

    @pytest.mark.parametrize("is_decided", [False, True])
    def test_error_of_the_last_failure_is_raised(self, is_decided):
        attempts = [fails("first"), fails("last")]
        with pytest.raises(NotConnectedError, match="first" if is_decided else "last"):
            race(attempts, is_decided=lambda: is_decided)
