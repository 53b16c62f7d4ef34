"""The question for a repeat, asked while a silent run goes on."""

import gevent

from savoryhill.core.silence import ASK_AGAIN_S, Denial
from savoryhill.serving.served_request import RECHECK_S

# Interval between looks for the answer to an open question: at least this, and this
# share of the time since it was asked, as many runs may be silent at once.
ANSWER_CHECK_S = 0.02
ANSWER_CHECK_SHARE = 0.2
# The same share once a repeat has been sent: its first event waits for the next look.
EVENT_CHECK_SHARE = 0.05
# How many repeats are tried, one after the other, for one question.
MAX_TRIES = 3
# How long a run is waited for once its repeat has been granted.
LAST_WAIT_S = 0.001


class RepeatQuestion:
    """Asks for a repeat of a request once its run is silent for too long.

    Only a repeat that an endpoint has begun to answer ends the run: until then it may
    be refused, break off or fall silent as well. If the run goes on while the question
    is open, the question is withdrawn, and has spent nothing unless the repeat has been
    sent. If the run ends by itself, a repeat that has been sent takes over, unless it
    has failed as well.

    Parameters
    ----------
    request : ServedRequest
        The request.
    endpoint : Endpoint
        The endpoint of the run.
    ask : callable
        Returns the repeat that is ready to be sent, or the reason as text why there is
        none. It is called in a greenlet of its own, which may be killed. A repeat is an
        `OpenRun`.
    send : callable
        Called with a repeat; sends it and waits for the endpoint to take it up. Returns
        the failure, or None if it did. It is called in the same greenlet.
    settle : callable
        Called with a repeat that was not taken up and its failure; counts it and closes
        the repeat. It is called in a greenlet that goes on after the question.
    on_silence : callable
        Called with the start of a silence once it is suspicious.
    on_heard : callable
        Called without arguments when the run goes on after that.
    """

    def __init__(
        self, *, request, endpoint, ask, send, settle, on_silence, on_heard=None
    ):
        self._request = request
        self._context = request.context
        self._endpoint = endpoint
        self._ask = ask
        self._send_repeat = send
        self._settle_repeat = settle
        self._on_silence = on_silence
        self._on_heard = on_heard
        self._send = request.n_sends
        self._silent_since = None
        self._asking = None
        self._asked_at = self._asks_at = float("-inf")
        self._logged_cause = ""
        self._repeat = self._settling = None
        self._is_taken_up = False

    def poll(self, silent_since, suspicious_s):
        """Look after the question; return whether a repeat has been taken up.

        Parameters
        ----------
        silent_since : float
            When the run was last heard.
        suspicious_s : float
            Seconds of silence after which a repeat is asked for.
        """
        now = self._context.clock.monotonic()
        if now < silent_since + suspicious_s:
            return False
        if self._silent_since is None:
            self._silent_since = silent_since
            self._on_silence(silent_since)
        if self._asking is None and now >= self._asks_at:
            self._asked_at = now
            self._request.last_denial = Denial.UNDECIDED.value
            self._asking = gevent.spawn(self._ask_once)
        return self._is_taken_up

    def _ask_once(self):
        try:
            answer = self._find_repeat()
        except Exception as error:
            # The run doesn't depend on the answer.
            self._log("request.repeat_question_failed", cause=repr(error))
            self._withdraw_repeat()
            answer = f"asking for a repeat failed: {error!r}"
        if answer is None:
            self._is_taken_up = True
            return
        self._asking = None
        self._request.last_denial = answer
        self._asks_at = self._context.clock.monotonic() + ASK_AGAIN_S
        if answer != self._logged_cause:
            self._logged_cause = answer
            self._log("request.run_kept", cause=answer)

    def _find_repeat(self):
        """Find a repeat that is taken up; return the reason if there is none."""
        for _ in range(MAX_TRIES):
            answer = self._ask()
            if isinstance(answer, str):
                return answer
            self._repeat = answer
            self._asked_at = self._context.clock.monotonic()
            failure = self._send_repeat(answer)
            if failure is None:
                return None
            # What has failed can't take over. Judging its failure takes a moment, in
            # which the run may end; the failure counts all the same.
            self._repeat = None
            self._settling = gevent.spawn(self._settle_repeat, answer, failure)
            self._settling.get()
        return Denial.FAILED.value

    def _log(self, event, **fields):
        silent_s = self._context.clock.monotonic() - self._silent_since
        self._context.log(
            event,
            request=self._request.id,
            endpoint=self._endpoint.id,
            send=self._send,
            silent_s=round(silent_s, 3),
            **fields,
        )

    def max_wait_s(self, silent_since, suspicious_s):
        """Return for how many seconds the run may be waited for before `poll`."""
        if self._is_taken_up:
            return LAST_WAIT_S
        now = self._context.clock.monotonic()
        if self._asking is not None:
            is_sent = self._repeat is not None
            share = EVENT_CHECK_SHARE if is_sent else ANSWER_CHECK_SHARE
            return max(ANSWER_CHECK_S, share * (now - self._asked_at))
        polls_at = max(silent_since + suspicious_s, self._asks_at)
        return min(RECHECK_S, max(LAST_WAIT_S, polls_at - now))

    def withdraw(self):
        """Withdraw the question, if it is open, as the run goes on."""
        if self._silent_since is None:
            return
        self._log("request.run_went_on")
        self.close()
        self._silent_since = None
        self._logged_cause = ""
        if self._on_heard is not None:
            self._on_heard()

    def take_after(self, failure):
        """Return the repeat that takes over after a failure, or None.

        The caller owns it. It has been sent, and the run may have been ended for it.
        """
        if failure is None or self._request.time_left_s() <= 0:
            return None
        self._stop_asking()
        if self._settling is not None:
            # It decides with the run's failure on what becomes of the request.
            self._settling.join(timeout=self._request.time_left_s())
        if self._repeat is None or self._repeat.run is None:
            return None
        repeat, self._repeat = self._repeat, None
        self._log(
            "request.repeat_took_over",
            repeat_endpoint=repeat.endpoint.id,
            is_taken_up=self._is_taken_up,
            is_open=repeat.run.is_open,
            n_bytes=repeat.run.reader.n_buffered_bytes,
        )
        return repeat

    def close(self):
        """End the question; a repeat that nobody has taken is withdrawn."""
        self._stop_asking()
        self._withdraw_repeat()

    def _stop_asking(self):
        asking, self._asking = self._asking, None
        if asking is not None:
            asking.kill()

    def _withdraw_repeat(self):
        repeat, self._repeat = self._repeat, None
        self._is_taken_up = False
        if repeat is not None:
            repeat.withdraw()
