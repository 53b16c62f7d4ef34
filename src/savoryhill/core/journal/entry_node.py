"""Entry-node side of the journal: request reservations and report outcomes."""

from savoryhill.core.effects import SendPeer, record
from savoryhill.core.events import PeerUnreachable, Ticked
from savoryhill.core.journal.keys import shard_of, writer_of
from savoryhill.core.journal.state import Outcome, Reservation
from savoryhill.core.messages import JournalFinish, JournalReply, JournalReserve

# If a writer has not replied after this time, the next candidate is asked as well.
RESERVATION_RETRY_S = 0.5
MAX_WRITERS_ASKED = 8
OUTCOME_RETRY_S = 1.0
MAX_OUTCOME_RETRY_S = 10.0
# Thousands of outcomes may wait during an outage, so not every tick scans them.
OUTCOMES_CHECK_INTERVAL_S = 0.25
# Bounds the memory for outcomes while the key-value service is unavailable; an
# outcome takes at most 2.5 kB.
MAX_OUTCOMES = 5_000
MAX_ABANDONED = 20_000


def _send_reservation(state, reservation):
    spec = reservation.spec
    rank = reservation.n_writers_asked - 1
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
    """Request the reservation of a request's journal key.

    Parameters
    ----------
    state : NodeState
        The node's state.
    spec : RequestSpec
        A request with a journal key.

    Returns
    -------
    tuple of (str, list of Effect)
        The attempt, which identifies this process and the request, and the
        effects.
    """
    attempt = f"{state.node}:{state.incarnation}:{spec.request_id}"
    reservation = Reservation(spec=spec, attempt=attempt, last_asked_at=state.now)
    state.journal.reservations_by_request[spec.request_id] = reservation
    return attempt, list(_send_reservation(state, reservation))


def _ask_next_writer(state, reservation):
    # The earlier writer may still write the reservation. Both reservations name the
    # same attempt, so at most one attempt results.
    reservation.last_asked_at = state.now
    reservation.n_writers_asked += 1
    yield from _send_reservation(state, reservation)


def finish(state, *, key, attempt, status, response=b""):
    """Report an attempt's outcome until a writer confirms that it is recorded.

    Parameters
    ----------
    state : NodeState
        The node's state.
    key : bytes
        The journal key.
    attempt : str
        The attempt that finished.
    status : str
        ``done``, ``not_sent`` (certainly never sent) or ``unknown``.
    response : bytes
        The packed response of a ``done`` call.

    Yields
    ------
    Effect
        The message to the writer.
    """
    journal = state.journal
    if status == "not_sent":
        abandon(state, attempt, key)
    message = JournalFinish(attempt=attempt, key=key, status=status, response=response)
    outcomes = journal.outcomes_by_attempt
    if attempt not in outcomes and len(outcomes) >= MAX_OUTCOMES:
        oldest = next(iter(outcomes))
        del outcomes[oldest]
        yield record("journal.ending_dropped", attempt=oldest)
    journal.outcomes_by_attempt[attempt] = Outcome(message=message, sent_at=state.now)
    yield SendPeer(to=writer_of(state, shard_of(state, key)), message=message)


def abandon(state, attempt, key):
    """Record that nothing was or will be sent for an attempt."""
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
        # A "done" found by a lookup may have replaced the "unknown" that this reply
        # confirms, and then still needs a confirmation of its own.
        outcome = journal.outcomes_by_attempt.get(reply.attempt)
        if outcome is not None and outcome.message.status == reply.ending:
            del journal.outcomes_by_attempt[reply.attempt]
        return
    reservation = journal.reservations_by_request.get(reply.request_id)
    if reservation is not None and reservation.attempt == reply.attempt:
        del journal.reservations_by_request[reply.request_id]
        if reply.status == "unavailable":
            key = reservation.spec.journal_key
            abandon(state, reply.attempt, key)
            if reservation.n_writers_asked > 1:
                # Another writer may have written the reservation and its reply may
                # have been lost.
                yield from finish(
                    state, key=key, attempt=reply.attempt, status="not_sent"
                )
    elif reply.status == "reserved" and reply.attempt in journal.abandoned:
        # Written after this node abandoned the attempt: release the key.
        key = journal.abandoned[reply.attempt]
        yield from finish(state, key=key, attempt=reply.attempt, status="not_sent")


def _on_unreachable(state, event):
    message = event.message
    if type(message) is not JournalReserve:
        return
    reservation = state.journal.reservations_by_request.get(message.request_id)
    if reservation is not None and reservation.n_writers_asked < MAX_WRITERS_ASKED:
        yield from _ask_next_writer(state, reservation)


def _on_tick(state, event):
    journal = state.journal
    for request_id, reservation in tuple(journal.reservations_by_request.items()):
        if reservation.spec.deadline_at <= event.at:
            del journal.reservations_by_request[request_id]
            abandon(state, reservation.attempt, reservation.spec.journal_key)
        elif (
            event.at - reservation.last_asked_at >= RESERVATION_RETRY_S
            and reservation.n_writers_asked < MAX_WRITERS_ASKED
        ):
            yield from _ask_next_writer(state, reservation)
    if event.at - journal.outcomes_checked_at < OUTCOMES_CHECK_INTERVAL_S:
        return
    journal.outcomes_checked_at = event.at
    for outcome in journal.outcomes_by_attempt.values():
        wait_s = min(MAX_OUTCOME_RETRY_S, OUTCOME_RETRY_S * outcome.n_sent)
        if event.at - outcome.sent_at >= wait_s:
            key = outcome.message.key
            writer = writer_of(state, shard_of(state, key), outcome.n_sent % 2)
            outcome.sent_at = event.at
            outcome.n_sent += 1
            yield SendPeer(to=writer, message=outcome.message)


HANDLERS = {
    JournalReply: _on_reply,
    PeerUnreachable: _on_unreachable,
    Ticked: _on_tick,
}
