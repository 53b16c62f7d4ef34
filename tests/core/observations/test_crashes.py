"""Tests of the decision which parts of prompts end engines."""

from collections import Counter
from random import Random

import pytest

from savoryhill.core.observations.crashes import (
    ALIVE,
    CRASH,
    FIRST_PARTIAL_PROBE_DELAY_S,
    FIRST_PROBE_DELAY_S,
    MAX_PROBE_DELAY_S,
    MIN_CRASHES,
    MIN_CRASHES_OF_SOUND,
    SOUND_S,
    Admission,
    admit,
    find_crashing_parts,
    observe_crash,
    observe_start,
    recall_starts,
)
from savoryhill.core.observations.table import (
    LIFETIME_S,
    MAX_LIFETIME_S,
    Observation,
    ObservationTable,
)

# Crashes after which it is certain that requests with the part end engines, and how
# many of them may still run.
CERTAIN_CRASHES = 5
MAX_LATER_RUNS = 3


@pytest.fixture
def table():
    return ObservationTable()


def crash(table, parts, *, engine, now, sent_at=None, workspace="ws-a", release=""):
    """Merge the observations of an engine that ended."""
    return table.merge(
        observe_crash(
            table,
            parts=parts,
            source=engine,
            workspace=workspace,
            sent_at=now - 0.1 if sent_at is None else sent_at,
            now=now,
            release=release,
        ),
        now,
    )


def start(table, parts, *, now, engine="e9", sent_at=None, release=""):
    """Merge the observations of a request that started."""
    table.merge(
        observe_start(
            table,
            parts=parts,
            source=engine,
            sent_at=now - 0.1 if sent_at is None else sent_at,
            now=now,
            release=release,
        ),
        now,
    )


def crash_in_succession(table, parts, *, n=MIN_CRASHES, workspaces=("ws-a",)):
    for number in range(n):
        workspace = workspaces[number % len(workspaces)]
        crash(
            table, parts, engine=f"e{number}", now=100.0 + number, workspace=workspace
        )


def decide(table, parts, *, now=110.0, workspace="ws-a"):
    found = find_crashing_parts(table, now)
    return admit(found, parts=parts, workspace=workspace, now=now)[0]


class TestEvidence:
    def test_part_in_successive_crashes_is_refused(self, table):
        crash_in_succession(table, ["dead"], n=MIN_CRASHES - 1)
        assert decide(table, ["dead"]) is Admission.ADMIT
        crash(table, ["dead"], engine="e8", now=105.0)
        assert decide(table, ["dead"]) is Admission.REFUSE
        assert decide(table, ["other"]) is Admission.ADMIT

    def test_engines_that_end_together_count_once(self, table):
        # Guards against refusing the parts of requests that waited in an availability
        # zone which failed.
        for number in range(6):
            crash(table, ["aa"], engine=f"e{number}", now=100.0 + 0.01 * number)
        assert decide(table, ["aa"]) is Admission.ADMIT

    def test_several_requests_on_one_engine_count_once(self, table):
        for number in range(6):
            crash(table, ["aa"], engine="e1", now=100.0 + number)
        assert decide(table, ["aa"]) is Admission.ADMIT

    def test_start_after_a_crash_clears_the_part(self, table):
        crash_in_succession(table, ["dead", "aa"])
        start(table, ["aa"], now=104.0)
        assert decide(table, ["aa"]) is Admission.ADMIT
        assert decide(table, ["aa", "dead"]) is Admission.REFUSE

    def test_part_that_started_shortly_before_is_not_at_fault(self, table):
        # Guards against refusing most prompts while engines end for another reason,
        # or the parts that sound prompts share with those that end engines.
        news = crash(table, ["aa", "dead"], engine="e8", now=99.0)
        recalled = recall_starts(
            table,
            crashes=news,
            started_at_by_part={("aa", ""): 95.0, ("zz", ""): 98.0},
            now=99.0,
        )
        assert [o.subject for o in recalled] == ["aa"]
        table.merge(recalled, 99.0)
        crash_in_succession(table, ["aa", "dead"])
        assert decide(table, ["aa"]) is Admission.ADMIT
        assert decide(table, ["aa", "dead"]) is Admission.REFUSE
        assert decide(table, ["aa"], now=95.0 + SOUND_S + 0.1) is Admission.PROBE

    def test_engine_that_goes_on_had_not_ended(self, table):
        # Guards against counting connections that a sound engine resets as crashes.
        crash_in_succession(table, ["aa"])
        start(table, ["zz"], engine="e1", now=104.0)
        assert decide(table, ["aa"]) is Admission.ADMIT

    def test_start_of_a_request_sent_before_the_crash_tells_nothing_of_the_engine(
        self, table
    ):
        crash_in_succession(table, ["aa"])
        start(table, ["zz"], engine="e1", now=104.0, sent_at=100.5)
        assert decide(table, ["aa"]) is Admission.REFUSE

    def test_crash_speaks_against_the_most_frequent_part_only(self, table):
        # Guards against refusing the parts that waited beside the one at fault.
        for number in range(5):
            parts = ["dead", "aa"] if number else ["dead"]
            crash(table, parts, engine=f"e{number}", now=100.0 + number)
        assert decide(table, ["aa"]) is Admission.ADMIT
        assert decide(table, ["dead"]) is Admission.REFUSE


class TestScope:
    def test_one_workspace_cannot_have_parts_of_another_refused(self, table):
        crash_in_succession(table, ["dead"])
        assert decide(table, ["dead"], workspace="ws-b") is Admission.ADMIT

    def test_part_of_two_workspaces_is_refused_for_all(self, table):
        crash_in_succession(table, ["dead"], workspaces=("ws-a", "ws-b"))
        assert decide(table, ["dead"], workspace="ws-c") is Admission.REFUSE

    def test_prompt_with_some_of_the_parts_is_tried(self, table):
        # Guards against refusing a sound part that was always sent with another one.
        crash_in_succession(table, ["dead", "aa"])
        assert decide(table, ["aa"]) is Admission.PROBE
        start(table, ["aa"], now=105.0)
        assert decide(table, ["aa"]) is Admission.ADMIT
        assert decide(table, ["dead", "aa"]) is Admission.REFUSE


class TestReleases:
    """Engines of one release bear a part that ends those of another."""

    def mix(self, table, parts, *, n=MIN_CRASHES):
        for number in range(n):
            now = 100.0 + number
            crash(table, parts, engine=f"e{number}", now=now, release="v1")
            start(table, parts, now=now + 0.5, engine="new", release="v2")

    def test_start_at_another_release_does_not_clear(self, table):
        # Guards against a part that ends engine after engine of the old release,
        # because those of the new one bear it in between.
        self.mix(table, ["dead"])
        assert decide(table, ["dead"]) is Admission.ELSEWHERE
        (crashing,) = find_crashing_parts(table, 110.0).values()
        assert crashing.sound_releases == {"v2"}

    def test_part_that_ends_both_is_refused(self, table):
        self.mix(table, ["dead"])
        for number in range(MIN_CRASHES_OF_SOUND):
            assert decide(table, ["dead"]) is Admission.ELSEWHERE
            now = 105.0 + number
            crash(table, ["dead"], engine=f"n{number}", now=now, release="v2")
        assert decide(table, ["dead"], now=112.0) is Admission.REFUSE

    def test_crash_of_a_release_that_bore_it_long_ago_counts_at_once(self, table):
        self.mix(table, ["dead"])
        now = 102.5 + SOUND_S
        crash(table, ["dead"], engine="n1", now=now, release="v2")
        assert decide(table, ["dead"], now=now + 0.5) is Admission.REFUSE

    def test_release_that_was_not_tried_may_not_bear_it(self, table):
        # Guards against three more engines that end for each new release.
        crash_in_succession(table, ["dead"])
        assert decide(table, ["dead"]) is Admission.REFUSE

    def test_start_at_the_same_release_clears(self, table):
        self.mix(table, ["dead"])
        start(table, ["dead"], now=106.0, release="v1")
        assert decide(table, ["dead"]) is Admission.ADMIT

    def test_two_parts_are_sent_where_both_are_borne(self, table):
        for part, other in (("a", "v2"), ("b", "v3")):
            for number in range(MIN_CRASHES):
                now = 100.0 + number
                engine = f"{part}{number}"
                crash(table, [part], engine=engine, now=now, release="v1")
            start(table, [part], now=105.0, engine="new", release=other)
        assert decide(table, ["a"]) is Admission.ELSEWHERE
        assert decide(table, ["a", "b"]) is Admission.REFUSE

    def test_start_before_the_first_crash_tells_that_a_release_bears_it(self, table):
        news = crash(table, ["dead"], engine="e8", now=99.0, release="v1")
        started_at = {("dead", "v2"): 95.0}
        table.merge(
            recall_starts(table, crashes=news, started_at_by_part=started_at, now=99.0),
            99.0,
        )
        for number in range(MIN_CRASHES):
            now = 100.0 + number
            crash(table, ["dead"], engine=f"e{number}", now=now, release="v1")
        assert decide(table, ["dead"]) is Admission.ELSEWHERE

    def test_nodes_are_not_told_of_each_start(self, table):
        # Guards against a message to all nodes for each request during a release.
        self.mix(table, ["dead"])
        observations = [
            observe_start(
                table, parts=["dead"], source="new", sent_at=now, now=now, release="v2"
            )
            for now in (103.0, 104.0, 105.0)
        ]
        assert observations == [[], [], []]


class TestPromptsWithSomeOfTheParts:
    """The part that ends engines is not the one that a prompt lacks."""

    SHARED = tuple(f"b{number}" for number in range(16))

    def test_few_of_them_are_tried_after_many_crashes(self, table):
        # Guards against prompts with a crashing part each of which lacks another one of
        # the parts that all crashes had in common, so that all of them are tried.
        crash_in_succession(table, ["dead", *self.SHARED])
        tried_at = []
        for number, left_out in enumerate(self.SHARED):
            now = 104.0 + number
            parts = [part for part in ("dead", *self.SHARED) if part != left_out]
            if decide(table, parts, now=now) is Admission.REFUSE:
                continue
            tried_at.append(now)
            crash(table, parts, engine=f"p{number}", now=now)
        n_before = CERTAIN_CRASHES - MIN_CRASHES
        assert len(tried_at) <= n_before + MAX_LATER_RUNS
        # What is sound is not refused for long.
        now = tried_at[-1] + FIRST_PARTIAL_PROBE_DELAY_S * 2 ** len(tried_at)
        assert decide(table, self.SHARED[-2:], now=now) is not Admission.REFUSE


class TestProbes:
    def test_part_is_tried_again_after_a_delay_that_grows(self, table):
        crash_in_succession(table, ["dead"])
        tried_at = 102.0 + FIRST_PROBE_DELAY_S
        assert decide(table, ["dead"], now=tried_at - 0.1) is Admission.REFUSE
        assert decide(table, ["dead"], now=tried_at) is Admission.PROBE
        crash(table, ["dead"], engine="e7", now=tried_at)
        next_at = tried_at + 2 * FIRST_PROBE_DELAY_S
        assert decide(table, ["dead"], now=next_at - 0.1) is Admission.REFUSE
        assert decide(table, ["dead"], now=next_at) is Admission.PROBE

    def test_part_that_starts_again_is_served_without_an_operator(self, table):
        crash_in_succession(table, ["dead"])
        start(table, ["dead"], now=140.0)
        assert decide(table, ["dead"], now=140.0) is Admission.ADMIT
        crash(table, ["dead"], engine="e7", now=141.0)
        assert decide(table, ["dead"], now=142.0) is Admission.ADMIT


class TestBounds:
    def test_many_parts_do_not_push_out_those_that_end_engines(self):
        # Guards against a caller that fills the table with parts of its own.
        table = ObservationTable(max_observations=50)
        crash_in_succession(table, ["dead"])
        table.protected_subjects = frozenset(find_crashing_parts(table, 103.0))
        for number in range(200):
            crash(table, [f"p{number}"], engine=f"x{number}", now=104.0 + number)
        assert len(table) == 50
        assert decide(table, ["dead"], now=105.0) is Admission.REFUSE

    def test_chance_is_forgotten_before_parts_that_end_engines(self, table):
        # Guards against a copy that grows with each engine that ever ended, and against
        # one that forgets a part before it is tried again.
        crash_in_succession(table, ["dead"])
        crash(table, ["aa"], engine="e9", now=102.0)
        table.protected_subjects = frozenset(find_crashing_parts(table, 103.0))
        table.expire(102.0 + LIFETIME_S + 0.1)
        assert len(table) == MIN_CRASHES
        assert MAX_PROBE_DELAY_S < MAX_LIFETIME_S
        table.expire(102.0 + MAX_LIFETIME_S + 0.1)
        assert len(table) == 0

    def test_observations_of_a_peer_are_checked(self, table):
        for value, version in ((float("nan"), 1), (float("inf"), 1), (0.0, 0)):
            bad = Observation(
                kind=CRASH,
                subject="aa",
                source="e1",
                version=version,
                observed_at=100.0,
                value=value,
            )
            assert table.merge([bad], 100.0) == ()
        assert len(table) == 0


class TestRandomSchedules:
    """Endpoints with several requests each, some of which end them."""

    N_ENDPOINTS = 8
    N_SLOTS = 6
    STEPS = 1_500
    STEP_S = 0.05
    # When the common requests that turn begin to end endpoints, and how long after its
    # third crash a request may still reach some.
    TURNS_AT = 130.0
    BOUND_S = 3.0

    def play(self, seed, *, n_deadly, n_common, n_turning=0):
        """Return how often deadly requests ran too late, sound ones were refused.

        Of the common requests, ``n_turning`` end endpoints from ``TURNS_AT`` on; these
        are late only after ``BOUND_S``.
        """
        random = Random(seed)
        table = ObservationTable(lasting_kinds=(ALIVE,))
        deadly = [f"request-d{n}" for n in range(n_deadly)]
        common = [f"request-c{n}" for n in range(n_common)]
        turning = common[:n_turning]
        crashed_at = {name: [] for name in turning}
        # Each endpoint: its incarnation, the requests that run, when it is back.
        incarnations = dict.fromkeys(range(self.N_ENDPOINTS), 0)
        running = {n: [] for n in range(self.N_ENDPOINTS)}
        back_at = dict.fromkeys(range(self.N_ENDPOINTS), 0.0)
        n_crashes_by_request = Counter()
        answered_at = {}
        n_sound = n_refused = n_late = 0
        waiting = []
        for step in range(self.STEPS):
            now = 100.0 + step * self.STEP_S
            ending = deadly + (turning if now >= self.TURNS_AT else [])
            if random.random() < 0.5:
                waiting.append(f"request-u{step}")
            if random.random() < 0.2:
                waiting.append(random.choice(common))
            if deadly and random.random() < 0.05:
                waiting.append(random.choice(deadly))
            known = find_crashing_parts(table, now)
            arrived, waiting = waiting, []
            for request in arrived:
                up = [n for n in running if back_at[n] <= now]
                up = [n for n in up if len(running[n]) < self.N_SLOTS]
                decision, _ = admit(known, parts=(request,), workspace="w", now=now)
                is_deadly = request in ending
                n_sound += not is_deadly
                if decision is Admission.REFUSE:
                    n_refused += not is_deadly
                elif up:
                    is_certain = n_crashes_by_request[request] >= MIN_CRASHES
                    if request in turning:
                        crashes = [*crashed_at[request], now, now, now]
                        is_certain = now - crashes[MIN_CRASHES - 1] > self.BOUND_S
                    n_late += is_deadly and is_certain
                    ends_at = now + random.uniform(0.1, 1.5)
                    running[random.choice(up)].append((request, now, ends_at))
            for number, requests in running.items():
                source = f"e{number}@{incarnations[number]}"
                ended = [r for r in requests if r[0] in ending and now - r[1] > 0.05]
                if ended:
                    for name, sent_at, _ in requests:
                        news = table.merge(
                            observe_crash(
                                table,
                                parts=[name],
                                source=source,
                                workspace="w",
                                sent_at=sent_at,
                                now=now,
                            ),
                            now,
                        )
                        recalled = recall_starts(
                            table, crashes=news, started_at_by_part=answered_at, now=now
                        )
                        table.merge(recalled, now)
                        waiting.append(name)
                    n_crashes_by_request.update(r[0] for r in ended)
                    for name in {r[0] for r in ended} & crashed_at.keys():
                        crashed_at[name].append(now)
                    incarnations[number] += 1
                    back_at[number] = now + 3.0
                    requests.clear()
                    continue
                for name, sent_at, _ in [r for r in requests if r[2] <= now]:
                    answered_at[name, ""] = now
                    table.merge(
                        observe_start(
                            table, parts=[name], source=source, sent_at=sent_at, now=now
                        ),
                        now,
                    )
                running[number] = [r for r in requests if r[2] > now]
            table.expire(now)
        return n_late, n_refused, n_sound

    @pytest.mark.parametrize("n_deadly", [1, 2, 4, 8])
    @pytest.mark.parametrize("seed", range(6))
    def test_both_errors_are_rare(self, seed, n_deadly):
        # Guards against crashing requests that go on, and against sound ones that are
        # refused because they ran beside them.
        n_late, n_refused, n_sound = self.play(seed, n_deadly=n_deadly, n_common=3)
        assert n_late <= 3 * n_deadly
        assert n_refused <= 0.01 * n_sound

    @pytest.mark.parametrize("n_turning", [1, 2])
    @pytest.mark.parametrize("seed", range(6))
    def test_request_that_turns_is_refused_soon(self, seed, n_turning):
        # Guards against a request that goes on ending endpoints for as long as its
        # last answer counts in its favour.
        n_late, n_refused, n_sound = self.play(
            seed, n_deadly=0, n_common=3, n_turning=n_turning
        )
        assert n_late <= 3 * n_turning
        assert n_refused <= 0.01 * n_sound
