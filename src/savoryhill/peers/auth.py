"""Authentication of frames between nodes and protection against replay."""

import hmac
from dataclasses import dataclass, field
from functools import cache
from hashlib import blake2b

from savoryhill.errors import PeerError

TAG_BYTES = 16
REPLAY_WINDOW = 1024


@cache
def _personalization(context):
    return blake2b(context, digest_size=16).digest() if context else b""


def _tag(key, data, context):
    return blake2b(
        data, key=key, digest_size=TAG_BYTES, person=_personalization(context)
    ).digest()


def seal(key, data, context=b""):
    """Prefix data with a keyed digest that authenticates it.

    Parameters
    ----------
    key : bytes
        The shared key of the deployment, at most 64 bytes.
    data : bytes
        The data to authenticate.
    context : bytes
        Channel and receiver. Data sealed in one context is refused in any other.

    Returns
    -------
    bytes
        Digest and data.
    """
    return _tag(key, data, context) + data


def unseal(key, sealed, context=b""):
    """Check the digest of sealed data.

    Parameters
    ----------
    key : bytes
        The shared key of the deployment.
    sealed : bytes
        Result of `seal`.
    context : bytes
        Channel and receiver that were passed to `seal`.

    Returns
    -------
    bytes
        The data without the digest.

    Raises
    ------
    PeerError
        If the data is too short or the digest does not match.
    """
    tag, data = sealed[:TAG_BYTES], sealed[TAG_BYTES:]
    if len(tag) < TAG_BYTES or not hmac.compare_digest(tag, _tag(key, data, context)):
        raise PeerError(f"frame of {len(sealed)} bytes failed authentication")
    return data


@dataclass(kw_only=True)
class ReplayWindow:
    """Sequence numbers received from one process of a sender."""

    incarnation: int = -1
    highest: int = -1
    seen: set[int] = field(default_factory=set)


def admit(window, incarnation, sequence):
    """Record a frame and tell whether it is new.

    Parameters
    ----------
    window : ReplayWindow
        State of the sender; updated.
    incarnation, sequence : int
        Incarnation and sequence number of the frame.

    Returns
    -------
    bool
        False for a repeated frame, one older than the window, or one of an
        earlier incarnation.
    """
    if incarnation < window.incarnation:
        return False
    if incarnation > window.incarnation:
        window.incarnation = incarnation
        window.highest = -1
        window.seen.clear()
    if sequence <= window.highest - REPLAY_WINDOW or sequence in window.seen:
        return False
    window.seen.add(sequence)
    if sequence > window.highest:
        window.highest = sequence
        if len(window.seen) > 2 * REPLAY_WINDOW:
            floor = sequence - REPLAY_WINDOW
            window.seen = {earlier for earlier in window.seen if earlier > floor}
    return True
