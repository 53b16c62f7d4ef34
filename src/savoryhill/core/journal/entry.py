"""Entry side of the journal: ask for reservations and report endings."""

from savoryhill.core.effects import SendPeer, record
from savoryhill.core.events import PeerUnreachable, Ticked
from savoryhill.core.journal.keys import shard_of, writer_of
from savoryhill.core.journal.state import Ending, Reservation
from savoryhill.core.messages import JournalFinish, JournalReply, JournalReserve

# Silence of a writer after which the next candidate is asked as well.
ASK_AGAIN_S = 0.5
MAX_ASKED = 8
ENDING_AGAIN_S = 1.0
MAX_ENDING_AGAIN_S = 10.0
# Thousands of endings may wait in an outage, so not every tick looks at them.
ENDINGS_CHECK_S = 0.25
# Bounds the memory for endings while the key-value service is out; an ending
# takes at most 2.5 kB.
MAX_ENDINGS = 5_000
MAX_ABANDONED = 20_000


def _ask(state, reservation):
    spec = reservation.spec
    rank = reservation.n_asked - 1
    yield SendPeer(
        to=writer_of(state, shard_of(state, spec.journal_key), rank),
        message=JournalReserve(
            request_id=spec.request_id,
            attempt=reservation.attempt,
            key=spec.journal_key,
            body_digest=spec.body_digest,
            remaining_s=max(0.0, spec.deadline_at - state.now),
        ),
    )


def reserve(state, spec):
    """Ask for the reservation of a request's key.

    Parameters
    ----------
    state : NodeState
        The node's state.
    spec : RequestSpec
        A request with a journal key.

    Returns
    -------
    tuple of (str, list of Effect)
        The attempt, which names this process and this request, and the effects.
    """
    attempt = f"{state.node}:{state.incarnation}:{spec.request_id}"
    reservation = Reservation(spec=spec, attempt=attempt, asked_at=state.now)
    state.journal.reservations_by_request[spec.request_id] = reservation
    return attempt, list(_ask(state, reservation))


def _ask_again(state, reservation):
    # An earlier writer may still write the reservation; it names the same
    # attempt, so at most one attempt comes out of both.
    reservation.asked_at = state.now
    reservation.n_asked += 1
    yield from _ask(state, reservation)


def finish(state, *, key, attempt, status, response=b""):
    """Report an ending until a writer confirms that it is recorded.

    Parameters
    ----------
    state : NodeState
        The node's state.
    key : bytes
        The journal key.
    attempt : str
        The attempt that ended.
    status : str
        ``done``, ``not_sent`` (provably never sent) or ``unknown``.
    response : bytes
        The packed answer of a ``done`` call.

    Yields
    ------
    Effect
        The message to the writer.
    """
    journal = state.journal
    if status == "not_sent":
        abandon(state, attempt, key)
    message = JournalFinish(attempt=attempt, key=key, status=status, response=response)
    endings = journal.outcomes_by_attempt
    if attempt not in endings and len(endings) >= MAX_ENDINGS:
        oldest = next(iter(endings))
        del endings[oldest]
        yield record("journal.ending_dropped", attempt=oldest)
    journal.outcomes_by_attempt[attempt] = Ending(message=message, sent_at=state.now)
    yield SendPeer(to=writer_of(state, shard_of(state, key)), message=message)


def abandon(state, attempt, key):
    """Remember that nothing was or will be sent for an attempt."""
    journal = state.journal
    journal.abandoned[attempt] = key
    if len(journal.abandoned) > MAX_ABANDONED:
        del journal.abandoned[next(iter(journal.abandoned))]
    request_id = attempt.rpartition(":")[2]
    journal.reservations_by_request.pop(request_id, None)


def _on_reply(state, event):
    reply = event.message
    journal = state.journal
    if reply.status == "recorded":
        # A done found by a lookup may have replaced the unknown that is confirmed.
        ending = journal.outcomes_by_attempt.get(reply.attempt)
        if ending is not None and ending.message.status == reply.ending:
            del journal.outcomes_by_attempt[reply.attempt]
        return
    reservation = journal.reservations_by_request.get(reply.request_id)
    if reservation is not None and reservation.attempt == reply.attempt:
        del journal.reservations_by_request[reply.request_id]
        if reply.status == "unavailable":
            key = reservation.spec.journal_key
            abandon(state, reply.attempt, key)
            if reservation.n_asked > 1:
                # Another writer may have written it, whose reply may be lost.
                yield from finish(
                    state, key=key, attempt=reply.attempt, status="not_sent"
                )
    elif reply.status == "reserved" and reply.attempt in journal.abandoned:
        # Written after this node gave up on it: free the key again.
        key = journal.abandoned[reply.attempt]
        yield from finish(state, key=key, attempt=reply.attempt, status="not_sent")


def _on_unreachable(state, event):
    message = event.message
    if type(message) is not JournalReserve:
        return
    reservation = state.journal.reservations_by_request.get(message.request_id)
    if reservation is not None and reservation.n_asked < MAX_ASKED:
        yield from _ask_again(state, reservation)


def _on_tick(state, event):
    journal = state.journal
    for request_id, reservation in tuple(journal.reservations_by_request.items()):
        if reservation.spec.deadline_at <= event.at:
            del journal.reservations_by_request[request_id]
            abandon(state, reservation.attempt, reservation.spec.journal_key)
        elif (
            event.at - reservation.asked_at >= ASK_AGAIN_S
            and reservation.n_asked < MAX_ASKED
        ):
            yield from _ask_again(state, reservation)
    if event.at - journal.endings_checked_at < ENDINGS_CHECK_S:
        return
    journal.endings_checked_at = event.at
    for ending in journal.outcomes_by_attempt.values():
        wait_s = min(MAX_ENDING_AGAIN_S, ENDING_AGAIN_S * ending.n_sent)
        if event.at - ending.sent_at >= wait_s:
            key = ending.message.key
            writer = writer_of(state, shard_of(state, key), ending.n_sent % 2)
            ending.sent_at = event.at
            ending.n_sent += 1
            yield SendPeer(to=writer, message=ending.message)


HANDLERS = {
    JournalReply: _on_reply,
    PeerUnreachable: _on_unreachable,
    Ticked: _on_tick,
}
