"""Keeps requests with parts that end engines away from the engines."""

from collections import OrderedDict
from contextlib import contextmanager
from dataclasses import dataclass

from savoryhill.core.observations.crashes import (
    CRASH,
    Admission,
    admit,
    find_crashing_parts,
    observe_crash,
    observe_start,
    recall_starts,
)
from savoryhill.core.scheduling.messages import NO_RETRY_S, JobRejected

MAX_STARTED_PARTS = 4_096
# Parts that are tried at once in one request; it is refused if it has more.
MAX_PROBED_PARTS = 4


@dataclass(eq=False, kw_only=True, slots=True)
class _WaitingPrompt:
    """A prompt that no engine has begun to answer; ``stop`` is called with a cause."""

    parts: tuple[str, ...]
    workspace: str
    is_probe: bool
    stop: object


class CrashGuard:
    """Which parts end engines, as this node knows it, and the prompts that wait.

    ``crashing_by_part`` holds the parts that end engines by their digest.
    """

    def __init__(self, *, clock, sharing, record):
        self._clock = clock
        self._sharing = sharing
        self._record = record
        self._waiting = set()
        self._started_at_by_part = OrderedDict()
        self._probing_job_by_part = {}
        self.crashing_by_part = {}
        sharing.on_news.append(self._handle_news)
        sharing.on_review.append(self.review)

    # Requests of this node.

    def admit(self, parts, workspace):
        """Return what to do with a request, and the parts that are the reason."""
        return admit(
            self.crashing_by_part,
            parts=parts,
            workspace=workspace,
            now=self._clock.monotonic(),
        )

    def note_crash(self, *, request, parts, workspace, source, sent_at):
        """Record that an engine's connection ended before the first event."""
        observations = observe_crash(
            self._sharing.table,
            parts=parts,
            source=source,
            workspace=workspace,
            sent_at=sent_at,
            now=self._clock.monotonic(),
        )
        if not observations:
            return
        self._record(
            "crash.observed",
            {"request": request, "endpoint": source, "parts": ",".join(parts)},
        )
        self._sharing.add(observations)

    def note_start(self, *, parts, source, sent_at):
        """Record the first event of a request."""
        now = self._clock.monotonic()
        for part in parts:
            self._started_at_by_part[part] = now
            self._started_at_by_part.move_to_end(part)
        while len(self._started_at_by_part) > MAX_STARTED_PARTS:
            self._started_at_by_part.popitem(last=False)
        observations = observe_start(
            self._sharing.table, parts=parts, source=source, sent_at=sent_at, now=now
        )
        if observations:
            self._sharing.add(observations)

    @contextmanager
    def watch(self, *, parts, workspace, is_probe, stop):
        """Call ``stop(cause)`` inside the context once the request must be refused."""
        prompt = _WaitingPrompt(
            parts=parts, workspace=workspace, is_probe=is_probe, stop=stop
        )
        self._waiting.add(prompt)
        try:
            yield
        finally:
            self._waiting.discard(prompt)

    # Jobs that this node schedules.

    def admit_probe(self, job_id, parts, *, is_standalone):
        """Reserve parts for a job that tries them.

        Parameters
        ----------
        job_id : str
            The job.
        parts : tuple of str
            The parts of its prompt that may end engines.
        is_standalone : bool
            Whether this node schedules only its own jobs. All such nodes would try a
            part that has ended engines at the same time, so none does.

        Returns
        -------
        JobRejected or None
            None if the job may be placed.
        """
        now = self._clock.monotonic()
        for part in parts:
            crashing = self.crashing_by_part.get(part)
            if crashing is None:
                continue
            is_whole = crashing.parts <= set(parts)
            if is_whole and (is_standalone or now < crashing.next_probe_at()):
                return _reject(job_id, crashing)
            if self._probing_job_by_part.get(part, job_id) != job_id:
                return _reject(job_id, crashing, awaits_probe=not is_whole)
        self._probing_job_by_part.update(dict.fromkeys(parts, job_id))
        return None

    def end_probe(self, job_id):
        """Release the parts that a job has tried."""
        for part in [
            part for part, job in self._probing_job_by_part.items() if job == job_id
        ]:
            del self._probing_job_by_part[part]

    # What is known of parts.

    def _handle_news(self, news):
        crashes = [observation for observation in news if observation.kind == CRASH]
        recalled = recall_starts(
            self._sharing.table,
            crashes=crashes,
            started_at_by_part=self._started_at_by_part,
            now=self._clock.monotonic(),
        )
        if recalled:
            self._sharing.add(recalled)
        self.review()

    def review(self):
        """Find the parts that end engines, and stop waiting prompts that have one."""
        known = self.crashing_by_part
        found = find_crashing_parts(self._sharing.table, self._clock.monotonic())
        self.crashing_by_part = found
        self._sharing.table.protected_subjects = frozenset(found)
        for part in found.keys() - known.keys():
            self._record("part.refused", _describe(part, found[part]))
        for part in known.keys() - found.keys():
            self._record("part.served_again", {"part": part})
        if found:
            self._stop_waiting_prompts()

    def _stop_waiting_prompts(self):
        for prompt in list(self._waiting):
            if prompt.is_probe:
                continue
            decision, crashing = self.admit(prompt.parts, prompt.workspace)
            if decision is Admission.REFUSE:
                prompt.stop(refusal_cause(crashing))


def refusal_cause(crashing):
    """Return the cause that a client is told."""
    parts = ",".join(sorted(crashing.parts))
    return f"engines end when they answer a prompt with part {parts}"


def _reject(job_id, crashing, *, awaits_probe=False):
    return JobRejected(
        job_id=job_id,
        reason=refusal_cause(crashing),
        retry_after_s=NO_RETRY_S,
        awaits_probe=awaits_probe,
    )


def _describe(part, crashing):
    return {
        "part": part,
        "together_with": ",".join(sorted(crashing.parts - {part})),
        "crashes": crashing.n_crashes,
        "endpoints": ",".join(crashing.sources),
        "workspaces": ",".join(sorted(crashing.workspaces)),
    }
