"""Which requests, and which parts of prompts, end the endpoints that run them.

Load pattern: one request, or requests with one part, arrive at all nodes. Each ends the
endpoint that begins to run it, and is sent again or replaced by the next; other
requests on the endpoint, with nothing at fault, are broken off with it.

The subjects of what is observed are the digests of requests and of parts. An endpoint
ends under a part as it begins to write the answer, maybe after some events, so a part
is sound once a request with it has been written for a while or answered. A request,
which may end its endpoint at any moment of its run, is once it has been answered.
Endpoints with another release of their software may bear what ends the others, so that
this holds for each release by itself.
"""

from dataclasses import dataclass, replace
from enum import Enum

from savoryhill.core.observations.parts import is_request_digest
from savoryhill.core.observations.table import Observation

# An engine (the source) had not borne a part for long when its connection ended; a
# request had not been answered. The value is how long before the request had been sent,
# in seconds.
CRASH = "crash"
# An endpoint of a release (the source) has borne the part since, or answered the
# request, so the crashes of that release so far don't count.
SOUND = "sound"
# An endpoint of a release (the source) had borne the part, or answered the request,
# shortly before the first crash.
KNOWN = "known"
# A request that was sent to the engine later has started, so the engine had not ended.
ALIVE = "alive"
CRASH_KINDS = frozenset((CRASH, SOUND, KNOWN, ALIVE))

# Crashes in succession. Fewer may be chance while engines end for other reasons.
MIN_CRASHES = 3
# More of them speak against a part that was borne this recently: engines that all end
# for another reason end under the parts of most prompts, but one that was sound may
# also have begun to end engines.
MIN_CRASHES_OF_SOUND = 6
SOUND_S = 20.0
FIRST_PROBE_DELAY_S = 30.0
PROBE_DELAY_FACTOR = 2
# Nobody but its caller misses a request, so it is tried less often than a part.
FIRST_REQUEST_PROBE_DELAY_S = 60.0
REQUEST_PROBE_DELAY_FACTOR = 4
MAX_PROBE_DELAY_S = 600.0
MAX_PROBE_DELAYS = 10
# Prompts with only some of the parts that all crashes had in common are tried at once.
# If so many engines have ended, each of the prompts may have had the part at fault and
# lacked another one, so that they are tried after a delay that grows as well.
CRASHES_BEFORE_DELAY = 5
FIRST_PARTIAL_PROBE_DELAY_S = 5.0
# How often nodes tell each other that a release bears what others don't.
CONFIRMATION_INTERVAL_S = 15.0


class Admission(Enum):
    """What to do with a request."""

    ADMIT = "admit"
    # Admit at endpoints of the releases that bear the part.
    ELSEWHERE = "elsewhere"
    # Admit if no other request with the part is being tried.
    PROBE = "probe"
    REFUSE = "refuse"


@dataclass(frozen=True, kw_only=True, slots=True)
class SuspectedParts:
    """Parts under which endpoints ended, or a request.

    There are several if all crashes had them in common. ``workspaces`` are those under
    whose requests endpoints ended, ``sound_releases`` the releases that bear the parts.
    """

    parts: frozenset[str]
    n_crashes: int
    workspaces: frozenset[str]
    last_crash_at: float
    sound_releases: frozenset[str] = frozenset()

    def binds(self, workspace):
        """Return whether requests of a workspace are affected.

        A workspace alone can't bring about that those of others are.
        """
        return len(self.workspaces) > 1 or workspace in self.workspaces


@dataclass(frozen=True, kw_only=True, slots=True)
class CrashingParts(SuspectedParts):
    """Parts that end engines when they are together in a prompt, or a request.

    ``sources`` are the engines that ended. ``sound_releases`` are the releases that
    have borne the parts and not ended since.
    """

    sources: tuple[str, ...]

    def next_probe_at(self):
        """Return when a request with the parts is tried again."""
        delay_s, factor = FIRST_PROBE_DELAY_S, PROBE_DELAY_FACTOR
        if any(is_request_digest(part) for part in self.parts):
            delay_s, factor = FIRST_REQUEST_PROBE_DELAY_S, REQUEST_PROBE_DELAY_FACTOR
        return self._after_last_crash(delay_s, factor, self.n_crashes - MIN_CRASHES)

    def _next_partial_probe_at(self):
        """Return when a request with only some of the parts is tried."""
        n_delays = self.n_crashes - CRASHES_BEFORE_DELAY
        if n_delays < 0:
            return self.last_crash_at
        return self._after_last_crash(
            FIRST_PARTIAL_PROBE_DELAY_S, PROBE_DELAY_FACTOR, n_delays
        )

    def _after_last_crash(self, first_delay_s, factor, n_delays):
        delay_s = first_delay_s * factor ** min(n_delays, MAX_PROBE_DELAYS)
        return self.last_crash_at + min(MAX_PROBE_DELAY_S, delay_s)

    def refuses(self, parts, now):
        """Return whether a request with parts is refused, not tried.

        One that lacks some of the parts which were in all crashes may be sound.
        """
        if self.parts <= parts:
            return now < self.next_probe_at()
        return now < self._next_partial_probe_at()


def observe_crash(table, *, parts, source, workspace, sent_at, now, release=""):
    """Return the observations of a connection that ended under a request.

    Parameters
    ----------
    table : ObservationTable
        The observations known so far.
    parts : iterable of str
        Digests of the request, and of its parts that had not been borne.
    source : str
        The engine, with its incarnation.
    workspace : str
        Name of the request's workspace.
    sent_at, now : float
        When the request was sent, and the current time, in seconds.
    release : str
        Release of the engine's software; empty if it is not known.

    Returns
    -------
    list of Observation
    """
    return [
        Observation(
            kind=CRASH,
            subject=part,
            source=source,
            version=1 + _settled_version(table, part, source, release),
            observed_at=now,
            value=now - sent_at,
            workspace=workspace,
            release=release,
        )
        for part in parts
        if not _is_live(table, table.get(CRASH, part, source))
    ]


def observe_start(table, *, parts, source, sent_at, now, release=""):
    """Return the observations of a request that goes on, or has been answered.

    There are none unless a subject or the engine is under suspicion. The parameters are
    those of `observe_crash`; ``parts`` are those that this shows to be sound.
    """
    observations = []
    for part in parts:
        observations += _confirm_sound(table, part, release, now)
    earlier = [
        crash
        for crash in table.from_source(CRASH, source)
        if crash.observed_at < sent_at and _is_live(table, crash)
    ]
    if earlier:
        observations.append(_settle(ALIVE, source, "", earlier, now))
    return observations


def _confirm_sound(table, part, release, now):
    """Return the observation that a release bears a part under suspicion, if news."""
    live = live_crashes(table, part)
    at_release = [crash for crash in live if crash.release == release]
    if at_release:
        return [_settle(SOUND, part, release, at_release, now)]
    known = table.get(SOUND, part, release)
    if not live or (
        known is not None and now - known.observed_at < CONFIRMATION_INTERVAL_S
    ):
        return []
    version = 1 if known is None else known.version + 1
    return [
        Observation(
            kind=SOUND, subject=part, source=release, version=version, observed_at=now
        )
    ]


def recall_starts(table, *, crashes, started_at_by_part, now):
    """Return the observations of parts that a node saw borne before their crash.

    Parameters
    ----------
    table : ObservationTable
        The observations known so far.
    crashes : iterable of Observation
        Observations that the node has just learned of.
    started_at_by_part : dict of (str, str) to float
        When a request of the node last showed that a release bears a part, in seconds.
    now : float
        Current time of the node's clock, in seconds.

    Returns
    -------
    list of Observation
    """
    parts = {o.subject for o in crashes if o.kind == CRASH}
    observations = []
    for (part, release), started_at in started_at_by_part.items():
        if part not in parts:
            continue
        if now - started_at > SOUND_S or _was_sound(table, part, release, now):
            continue
        known = table.get(KNOWN, part, release)
        observations.append(
            Observation(
                kind=KNOWN,
                subject=part,
                source=release,
                version=1 + (known.version if known else 0),
                observed_at=started_at,
            )
        )
    return observations


def _was_sound(table, part, release, now):
    """Return whether a request with a part started recently at a release."""
    starts = (table.get(SOUND, part, release), table.get(KNOWN, part, release))
    return any(o is not None and now - o.observed_at <= SOUND_S for o in starts)


def _count_against(table, part, crashes, now):
    """Return how many successive crashes show that a part ends engines, or 0.

    Those of releases that have borne it lately count by themselves, and only if there
    are more of them.
    """
    by_release = _by_release(crashes)
    unsound = [
        crash
        for release, some in by_release.items()
        if not _was_sound(table, part, release, now)
        for crash in some
    ]
    n_unsound = count_successive(unsound)
    if n_unsound >= MIN_CRASHES:
        return n_unsound
    n_most = max(map(count_successive, by_release.values()), default=0)
    return n_most if n_most >= MIN_CRASHES_OF_SOUND else 0


def _by_release(crashes):
    by_release = {}
    for crash in crashes:
        by_release.setdefault(crash.release, []).append(crash)
    return by_release


def _sound_releases(table, parts, now):
    """Return the releases that bear all parts."""
    releases_by_part = []
    for part in parts:
        starts = [*table.about(SOUND, part), *table.about(KNOWN, part)]
        borne = {start.source for start in starts}
        ended = {
            release
            for release, crashes in _by_release(live_crashes(table, part)).items()
            if count_successive(crashes) >= MIN_CRASHES_OF_SOUND
            or not _was_sound(table, part, release, now)
        }
        releases_by_part.append(frozenset(borne - ended))
    return frozenset.intersection(*releases_by_part)


def _settle(kind, subject, source, crashes, now):
    return Observation(
        kind=kind,
        subject=subject,
        source=source,
        version=max(crash.version for crash in crashes),
        observed_at=now,
    )


def _settled_version(table, part, source, release):
    """Return the version up to which crashes of a part at an engine don't count."""
    settled = (table.get(SOUND, part, release), table.get(ALIVE, source))
    return max((o.version for o in settled if o is not None), default=0)


def _is_live(table, crash):
    if crash is None:
        return False
    settled = _settled_version(table, crash.subject, crash.source, crash.release)
    return crash.version > settled


def live_crashes(table, part):
    """Return the crashes of a part that count."""
    return [crash for crash in table.about(CRASH, part) if _is_live(table, crash)]


def count_successive(crashes):
    """Return how many crashes followed one another.

    A crash counts if its request was sent after the crash before it. Engines that end
    together, such as those of an availability zone, end under requests that were all
    sent before; this tells nothing of the requests.
    """
    n_successive, last_at = 0, float("-inf")
    for crash in sorted(crashes, key=lambda c: c.observed_at):
        if crash.observed_at - crash.value >= last_at:
            n_successive += 1
            last_at = crash.observed_at
    return n_successive


def find_crashing_parts(table, now):
    """Return the parts that end engines.

    A crash speaks against the part with the most crashes only: the others in its
    requests, and those that waited on the same engine, are not at fault.

    Parameters
    ----------
    table : ObservationTable
        The observations of all nodes.
    now : float
        Current time of the node's clock, in seconds.

    Returns
    -------
    dict of str to CrashingParts
        By the digest of each part.
    """
    crashes_by_part = {}
    for part in table.subjects(CRASH, n_min=MIN_CRASHES):
        live = live_crashes(table, part)
        if _count_against(table, part, live, now):
            crashes_by_part[part] = live
    found = {}
    for together, unexplained in attribute_crashes(
        crashes_by_part,
        explained=set(),
        is_enough=lambda part, crashes: _count_against(table, part, crashes, now),
    ):
        part, sources = together[0], {crash.source for crash in unexplained}
        crashing = CrashingParts(
            parts=frozenset(together),
            n_crashes=_count_against(table, part, unexplained, now),
            sources=tuple(sorted(sources)),
            workspaces=frozenset(crash.workspace for crash in unexplained),
            last_crash_at=max(crash.observed_at for crash in unexplained),
            sound_releases=_sound_releases(table, together, now),
        )
        found.update(dict.fromkeys(together, crashing))
    return found


def attribute_crashes(crashes_by_part, *, explained, is_enough):
    """Yield the parts that crashes speak against, and these crashes.

    Each endpoint that ended speaks against the part with the most crashes only.

    Parameters
    ----------
    crashes_by_part : dict of str to list of Observation
        The crashes under each part.
    explained : set of str
        Sources of crashes that have another explanation.
    is_enough : callable
        ``is_enough(part, crashes)`` tells whether the crashes that nothing else
        explains are enough to speak against a part.

    Yields
    ------
    tuple of (list of str, list of Observation)
        The part with the most crashes, followed by those that were in the same ones;
        and its crashes.
    """
    explained, found = set(explained), set()
    most_crashes_first = sorted(
        crashes_by_part, key=lambda part: (-len(crashes_by_part[part]), part)
    )
    for part in most_crashes_first:
        if part in found:
            continue
        unexplained = [c for c in crashes_by_part[part] if c.source not in explained]
        if not is_enough(part, unexplained):
            continue
        sources = {crash.source for crash in unexplained}
        together = [part] + [
            other
            for other, crashes in crashes_by_part.items()
            if other not in found
            and other != part
            and {crash.source for crash in crashes} == sources
        ]
        yield together, unexplained
        found.update(together)
        explained |= sources


def admit(crashing_by_part, *, parts, workspace, now):
    """Decide whether a request may be sent to an engine.

    A request with only some of the parts that were in all crashes is tried: it may be
    sound.

    Parameters
    ----------
    crashing_by_part : dict of str to CrashingParts
        Result of `find_crashing_parts`.
    parts : iterable of str
        Digests of the parts of the request.
    workspace : str
        Name of the request's workspace.
    now : float
        Current time of the node's clock, in seconds.

    Returns
    -------
    tuple of (Admission, CrashingParts or None)
        With ``ELSEWHERE``, the ``sound_releases`` are those that bear all of the parts.
    """
    if not crashing_by_part:
        return Admission.ADMIT, None
    parts = frozenset(parts)
    probed = elsewhere = None
    for part in parts:
        crashing = crashing_by_part.get(part)
        if crashing is None or not crashing.binds(workspace):
            continue
        if crashing.sound_releases and crashing.parts <= parts:
            elsewhere = _borne_by_both(elsewhere, crashing)
        elif crashing.refuses(parts, now):
            return Admission.REFUSE, crashing
        else:
            probed = crashing
    if elsewhere is not None and not elsewhere.sound_releases:
        return Admission.REFUSE, elsewhere
    if probed is not None:
        return Admission.PROBE, probed
    if elsewhere is not None:
        return Admission.ELSEWHERE, elsewhere
    return Admission.ADMIT, None


def _borne_by_both(known, crashing):
    if known is None:
        return crashing
    releases = known.sound_releases & crashing.sound_releases
    return replace(crashing, sound_releases=releases)
