"""Which requests, and parts of prompts, may have ended endpoints that ended together.

Load pattern: requests with one part arrive together, maybe at several nodes, and end as
many endpoints at the same moment. An availability zone that fails ends endpoints under
requests that were sent together as well, so this tells too little to refuse anything.
Later requests are tried one at a time instead, until one is borne, or until they have
ended endpoints one after the other, which tells enough.
"""

from dataclasses import dataclass

from savoryhill.core.observations.crashes import (
    CRASH,
    KNOWN,
    MIN_CRASHES,
    SOUND,
    SuspectedParts,
    attribute_crashes,
    count_successive,
    live_crashes,
)
from savoryhill.core.observations.parts import is_request_digest

# Endpoints that ended under a part, or under a request, before it is in doubt.
MIN_CRASHES_OF_PART = 5
MIN_CRASHES_OF_REQUEST = 3
# What ended with the endpoints is sent again at once and shows by then whether it is
# sound, unless it takes long.
DOUBT_DELAY_S = 1.5
# What was borne lately is not refused for few crashes in succession. It is tried less
# often after each.
FIRST_RETRY_DELAY_S = 10.0
RETRY_DELAY_FACTOR = 2


@dataclass(frozen=True, kw_only=True, slots=True)
class Doubt(SuspectedParts):
    """Parts, or a request, that may end endpoints.

    ``n_successive`` is how many of the crashes followed one another. The
    ``sound_releases`` have had no crash.
    """

    n_successive: int

    def next_try_at(self):
        """Return from when on the next request is tried."""
        n_delays = self.n_successive - MIN_CRASHES
        if n_delays < 0:
            return self.last_crash_at
        return self.last_crash_at + FIRST_RETRY_DELAY_S * RETRY_DELAY_FACTOR**n_delays


def find_doubts(table, crashing_by_part, now):
    """Return what is in doubt.

    An endpoint that ended speaks against one subject only: against what is known to end
    endpoints, or else against the subject with the most crashes.

    Parameters
    ----------
    table : ObservationTable
        The observations of all nodes.
    crashing_by_part : dict of str to CrashingParts
        What is known to end endpoints.
    now : float
        Current time of the node's clock, in seconds.

    Returns
    -------
    dict of str to Doubt
        By the digest of each part, or of the request.
    """
    explained = {s for known in crashing_by_part.values() for s in known.sources}
    crashes_by_part = {}
    for part in table.subjects(CRASH, n_min=MIN_CRASHES_OF_REQUEST):
        live = [c for c in live_crashes(table, part) if c.source not in explained]
        if part not in crashing_by_part and _is_in_doubt(part, live, now):
            crashes_by_part[part] = live
    doubts_by_part = {}
    for together, crashes in attribute_crashes(
        crashes_by_part,
        explained=explained,
        is_enough=lambda part, crashes: _is_in_doubt(part, crashes, now),
    ):
        doubt = Doubt(
            parts=frozenset(together),
            n_crashes=len(crashes),
            n_successive=count_successive(crashes),
            workspaces=frozenset(crash.workspace for crash in crashes),
            last_crash_at=max(crash.observed_at for crash in crashes),
            sound_releases=_sound_releases(table, together),
        )
        doubts_by_part.update(dict.fromkeys(together, doubt))
    return doubts_by_part


def _is_in_doubt(part, crashes, now):
    is_request = is_request_digest(part)
    n_min = MIN_CRASHES_OF_REQUEST if is_request else MIN_CRASHES_OF_PART
    if len(crashes) < n_min:
        return False
    ended_at = sorted(crash.observed_at for crash in crashes)
    return now - ended_at[n_min - 1] >= DOUBT_DELAY_S


def _sound_releases(table, parts):
    """Return the releases that have borne all parts and had no crash under one."""
    releases_by_part = []
    for part in parts:
        borne = {o.source for kind in (SOUND, KNOWN) for o in table.about(kind, part)}
        ended = {crash.release for crash in live_crashes(table, part)}
        releases_by_part.append(frozenset(borne - ended))
    return frozenset.intersection(*releases_by_part)
