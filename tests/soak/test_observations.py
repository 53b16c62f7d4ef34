"""The soak's checks find what they are for."""

from dataclasses import replace

from savoryhill.soak import observations as seen
from savoryhill.soak.plan import make_plan

WHOLE = seen.pieces(3)
ASKED = seen.Asked(
    id="r1",
    kind="chat",
    node="n1",
    incarnation=1,
    sent_at=10.0,
    ended_at=10.5,
    remaining_s=4.0,
    status=200,
    body=WHOLE,
    is_complete=True,
    was_calm=True,
    key="k",
)


def promises(findings):
    return [finding.promise for finding in findings]


def check(request, runs=(10.0,)):
    found = seen.check_requests([request], {request.id: list(runs)}, n_events=3)
    return promises(found)


class TestRequests:
    def test_proper_request(self):
        assert check(ASKED) == []

    def test_second_run_of_an_order(self):
        order = replace(ASKED, kind="order", body=b"done by e1")
        assert check(order, (10.0, 10.1)) == ["runs at most once"]

    def test_untrue_refusal(self):
        assert check(replace(ASKED, status=503, body=b"")) == ["not run is true"]

    def test_piece_missing(self):
        body = WHOLE[: len(WHOLE) // 2] + WHOLE[-20:]
        cut = replace(ASKED, body=body, is_complete=False)
        assert check(cut) == ["events in order"]

    def test_stream_that_only_looks_complete(self):
        assert check(replace(ASKED, body=seen.pieces(2))) == ["whole answers"]

    def test_late_answer_counts_in_calm_times_only(self):
        late = replace(ASKED, ended_at=15.0)
        assert check(late) == ["final answer in time"]
        assert check(replace(late, was_calm=False)) == []

    def test_request_that_no_client_sent(self):
        found = seen.check_requests([], {"x": [1.0]}, n_events=3)
        assert promises(found) == ["nothing unasked runs"]


class TestFleet:
    def test_cold_limit(self):
        times = [n / 100 for n in range(60)]
        assert promises(seen.check_cold_limit({"e": times})) == ["cold limit"]
        assert seen.check_cold_limit({"e": times[:40]}) == []

    def test_budget_of_repeats(self):
        arrivals = [("r", n / 100) for n in range(200)]
        assert promises(seen.check_repeats([], arrivals)) == ["budget of repeats"]

    def test_work_after_its_client_left(self):
        left = replace(ASKED, left_at=10.1)
        assert promises(seen.check_departures([left], {"r1": 11.0}))
        assert not seen.check_departures([left], {"r1": 10.3})

    def test_removed_key(self):
        calm = {"bound_s": 2.0, "disturbed": lambda start, end: False}
        late = replace(ASKED, sent_at=13.0, ended_at=13.5)
        found = seen.check_keys([late], {"k": 10.0}, **calm)
        assert promises(found) == ["configuration in force in time"]
        refused = replace(ASKED, status=401, sent_at=10.5, ended_at=10.6)
        again = replace(ASKED, sent_at=11.0, ended_at=11.1)
        found = seen.check_keys([refused, again], {"k": 10.0}, **calm)
        assert promises(found) == ["configuration never goes back"]

    def test_key_that_is_not_in_force_yet_may_be_refused(self):
        early = replace(ASKED, status=401, sent_at=5.0, ended_at=5.1)
        found = seen.check_keys(
            [early, ASKED], {"k": 11.0}, bound_s=2.0, disturbed=lambda start, end: False
        )
        assert found == []

    def test_leaving_endpoint(self):
        found = seen.check_closed_targets(
            [("e", 13.0)],
            [("e", 10.0, 20.0)],
            bound_s=2.0,
            disturbed=lambda start, end: False,
            promise="leaving",
        )
        assert promises(found) == ["leaving"]


class TestPlan:
    def test_same_seed_gives_the_same_plan(self):
        assert make_plan(5, length_s=30.0) == make_plan(5, length_s=30.0)
        assert make_plan(5, length_s=30.0) != make_plan(6, length_s=30.0)
