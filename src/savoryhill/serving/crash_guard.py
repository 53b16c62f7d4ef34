"""Keeps requests that end endpoints, or have parts that do, away from endpoints."""

from collections import OrderedDict
from contextlib import contextmanager
from dataclasses import dataclass

from savoryhill.core.observations.crashes import (
    CRASH,
    CRASH_KINDS,
    SOUND_S,
    Admission,
    admit,
    find_crashing_parts,
    observe_crash,
    observe_start,
    recall_starts,
)
from savoryhill.core.observations.doubts import find_doubts
from savoryhill.core.observations.parts import is_request_digest, name_digests
from savoryhill.core.scheduling.messages import NO_RETRY_S, JobRejected

MAX_STARTED_PARTS = 8_192
NEVER = float("-inf")
# A client whose request was not tried, as others are, may come back after this.
DOUBT_RETRY_AFTER_S = 1.0


@dataclass(eq=False, kw_only=True, slots=True)
class _WaitingRequest:
    """One that no endpoint has begun to answer; ``stop`` is called with a cause."""

    parts: tuple[str, ...]
    workspace: str
    is_probe: bool
    stop: object


class CrashGuard:
    """Which requests and parts end endpoints, as this node knows it, and what waits.

    ``crashing_by_part`` holds what ends endpoints by its digest: parts of prompts, and
    requests as a whole. ``doubts_by_part`` holds what may end them, and is tried one
    request at a time.
    """

    def __init__(self, *, clock, sharing, record):
        self._clock = clock
        self._sharing = sharing
        self._record = record
        self._waiting = set()
        self._started_at_by_part = OrderedDict()
        self._probing_job_by_part = {}
        self.crashing_by_part = {}
        self.doubts_by_part = {}
        sharing.on_news.append(self._handle_news)
        sharing.on_review.append(self.review)

    def n_refused(self, *, is_request):
        """Return how many requests, or parts of prompts, are refused."""
        return sum(
            is_request_digest(part) == is_request for part in self.crashing_by_part
        )

    # Requests of this node.

    def admit(self, parts, workspace):
        """Return what to do with a request, and the parts that are the reason."""
        return admit(
            self.crashing_by_part,
            parts=parts,
            workspace=workspace,
            now=self._clock.monotonic(),
        )

    def doubts(self, parts, workspace):
        """Return the doubts that bind a request of a workspace, by their parts."""
        known = self.doubts_by_part
        return {
            part: known[part]
            for part in parts
            if part in known and known[part].binds(workspace)
        }

    def note_crash(self, *, request, parts, workspace, endpoint, sent_at):
        """Record that the connection to an endpoint ended under parts or a request."""
        source = endpoint.incarnation
        observations = observe_crash(
            self._sharing.table,
            parts=parts,
            source=source,
            workspace=workspace,
            sent_at=sent_at,
            now=self._clock.monotonic(),
            release=endpoint.release,
        )
        if not observations:
            return
        self._record(
            "crash.observed",
            {"request": request, "endpoint": source, "parts": name_digests(parts)},
        )
        self._sharing.add(observations)

    def borne_lately(self, parts, endpoint):
        """Return the parts that the release of an endpoint has borne at this node."""
        earliest = self._clock.monotonic() - SOUND_S
        started_at, release = self._started_at_by_part, endpoint.release
        return tuple(p for p in parts if started_at.get((p, release), NEVER) > earliest)

    def note_start(self, *, parts, endpoint, sent_at, is_borne=True):
        """Record that an endpoint bears parts, or a request.

        ``is_borne`` is False if that is only likely, as it has lately.
        """
        now = self._clock.monotonic()
        for part in parts if is_borne else ():
            self._started_at_by_part[part, endpoint.release] = now
            self._started_at_by_part.move_to_end((part, endpoint.release))
        while len(self._started_at_by_part) > MAX_STARTED_PARTS:
            self._started_at_by_part.popitem(last=False)
        observations = observe_start(
            self._sharing.table,
            parts=parts,
            source=endpoint.incarnation,
            sent_at=sent_at,
            now=now,
            release=endpoint.release,
        )
        if observations:
            self._sharing.add(observations)

    @contextmanager
    def watch(self, *, parts, workspace, is_probe, stop):
        """Call ``stop(cause)`` inside the context once the request must be refused."""
        waiting = _WaitingRequest(
            parts=parts, workspace=workspace, is_probe=is_probe, stop=stop
        )
        self._waiting.add(waiting)
        try:
            yield
        finally:
            self._waiting.discard(waiting)

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
            part that has ended engines at the same time, so none does. One that is in
            doubt may be sound, and is tried at each of them.

        Returns
        -------
        JobRejected or None
            None if the job may be placed.
        """
        now = self._clock.monotonic()
        for part in parts:
            is_tried = self._probing_job_by_part.get(part, job_id) != job_id
            doubt = self.doubts_by_part.get(part)
            if doubt is not None and (is_tried or now < doubt.next_try_at()):
                return JobRejected(
                    job_id=job_id,
                    reason=doubt_cause(doubt),
                    retry_after_s=DOUBT_RETRY_AFTER_S,
                    awaits_probe=True,
                )
            crashing = self.crashing_by_part.get(part)
            if crashing is None:
                continue
            is_whole = crashing.parts <= set(parts)
            if crashing.refuses(set(parts), now) or (is_whole and is_standalone):
                return _reject(job_id, crashing)
            if is_tried:
                return _reject(job_id, crashing, awaits_probe=not is_whole)
        self._probing_job_by_part.update(dict.fromkeys(parts, job_id))
        return None

    def end_probe(self, job_id):
        """Release the parts that a job has tried."""
        for part in self._parts_tried_by(job_id):
            del self._probing_job_by_part[part]

    def note_probe_started(self, job_id):
        """Release the parts of a job that has started, except for those in doubt.

        An endpoint may end after some events, so others with the part wait until it is
        borne or the job ends.
        """
        for part in self._parts_tried_by(job_id):
            if part not in self.doubts_by_part:
                del self._probing_job_by_part[part]

    def _parts_tried_by(self, job_id):
        jobs = self._probing_job_by_part.items()
        return [part for part, job in jobs if job == job_id]

    # What is known of parts.

    def _handle_news(self, news):
        if not any(observation.kind in CRASH_KINDS for observation in news):
            return
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
        """Find what ends endpoints, and stop the requests that wait and are refused."""
        now = self._clock.monotonic()
        known = self.crashing_by_part
        found = find_crashing_parts(self._sharing.table, now)
        self.crashing_by_part = found
        self._review_doubts(now)
        self._sharing.table.protected_subjects = frozenset(found)
        for part in found.keys() - known.keys():
            if is_request_digest(part):
                self._record(
                    "request.refused_for_crashes", _describe("digest", part, found)
                )
            else:
                self._record("part.refused", _describe("part", part, found))
        for part in known.keys() - found.keys():
            if is_request_digest(part):
                self._record("request.served_again", {"digest": part})
            else:
                self._record("part.served_again", {"part": part})
        if found:
            self._stop_waiting_requests()

    def _review_doubts(self, now):
        known = self.doubts_by_part
        found = find_doubts(self._sharing.table, self.crashing_by_part, now)
        self.doubts_by_part = found
        for part in found.keys() - known.keys():
            doubt = found[part]
            fields = {
                "digest": part,
                "together_with": name_digests(sorted(doubt.parts - {part})),
                "crashes": doubt.n_crashes,
                "successive": doubt.n_successive,
                "workspaces": ",".join(sorted(doubt.workspaces)),
            }
            self._record("crashes.in_doubt", fields)
        for part in known.keys() - found.keys():
            is_refused = part in self.crashing_by_part
            fields = {"digest": part, "is_refused": is_refused}
            self._record("crashes.doubt_ended", fields)

    def _stop_waiting_requests(self):
        for waiting in list(self._waiting):
            if waiting.is_probe:
                continue
            decision, crashing = self.admit(waiting.parts, waiting.workspace)
            if decision is Admission.REFUSE:
                waiting.stop(refusal_cause(crashing))


def refusal_cause(crashing):
    """Return the cause that a client is told."""
    requests = sorted(part for part in crashing.parts if is_request_digest(part))
    parts = sorted(part for part in crashing.parts if not is_request_digest(part))
    if not parts:
        return f"endpoints end when they run {','.join(requests)}"
    cause = f"engines end when they answer a prompt with part {name_digests(parts)}"
    if requests:
        cause += f" in {','.join(requests)}"
    return cause


def doubt_cause(doubt):
    """Return the cause that a client is told whose request is not tried now."""
    requests = sorted(part for part in doubt.parts if is_request_digest(part))
    parts = sorted(part for part in doubt.parts if not is_request_digest(part))
    cause = f"{doubt.n_crashes} endpoints ended under "
    if parts:
        cause += f"a prompt with part {name_digests(parts)}"
    else:
        cause += ",".join(requests)
    return f"{cause}, which is tried one at a time"


def _reject(job_id, crashing, *, awaits_probe=False):
    return JobRejected(
        job_id=job_id,
        reason=refusal_cause(crashing),
        retry_after_s=NO_RETRY_S,
        awaits_probe=awaits_probe,
    )


def _describe(name, part, crashing_by_part):
    crashing = crashing_by_part[part]
    return {
        name: part,
        "together_with": name_digests(sorted(crashing.parts - {part})),
        "crashes": crashing.n_crashes,
        "endpoints": ",".join(crashing.sources),
        "workspaces": ",".join(sorted(crashing.workspaces)),
        "borne_by": ",".join(sorted(crashing.sound_releases)),
    }
