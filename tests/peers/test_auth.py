import pytest

from savoryhill.errors import PeerError
from savoryhill.peers.auth import REPLAY_WINDOW, ReplayWindow, admit, seal, unseal

KEY = b"0123456789abcdef"


class TestSeal:
    def test_modified_data_is_refused(self):
        sealed = bytearray(seal(KEY, b"content"))
        sealed[-1] ^= 1
        with pytest.raises(PeerError, match="failed authentication"):
            unseal(KEY, bytes(sealed))

    def test_data_sealed_with_another_key_is_refused(self):
        with pytest.raises(PeerError, match="failed authentication"):
            unseal(KEY, seal(b"another key 0123", b"content"))

    def test_unseal_returns_the_sealed_data(self):
        assert unseal(KEY, seal(KEY, b"content")) == b"content"


class TestReplayWindow:
    def test_repeated_frame_is_refused(self):
        window = ReplayWindow()
        assert admit(window, 1, 5)
        assert not admit(window, 1, 5)

    def test_reordered_frames_are_admitted_within_the_window(self):
        window = ReplayWindow()
        assert admit(window, 1, REPLAY_WINDOW)
        assert admit(window, 1, 1)
        assert not admit(window, 1, 0)

    def test_frames_of_an_earlier_incarnation_are_refused(self):
        window = ReplayWindow()
        assert admit(window, 2, 0)
        assert not admit(window, 1, 9)
        assert admit(window, 3, 0)
