"""Tests of the invariant checks and the fault plan of a soak."""

from dataclasses import replace

import pytest

from savoryhill.clock import system_clock
from savoryhill.serving.http import Request
from savoryhill.soak import crash_checks
from savoryhill.soak import observations as checks
from savoryhill.soak.plan import make_plan
from savoryhill.standins.serving.endpoint import Arrival, EndpointStandIn

FULL_STREAM = checks.expected_stream(3)
REQUEST = checks.ObservedRequest(
    id="r1",
    kind="chat",
    node="n1",
    incarnation=1,
    sent_at=10.0,
    ended_at=10.5,
    remaining_s=4.0,
    status=200,
    body=FULL_STREAM,
    is_complete=True,
    was_undisturbed=True,
    key="k",
)


def invariants(findings):
    return [finding.invariant for finding in findings]


def check(request, runs=(10.0,)):
    found = checks.check_requests([request], {request.id: list(runs)}, n_events=3)
    return invariants(found)


class TestRequests:
    def test_request_without_violation(self):
        assert check(REQUEST) == []

    def test_order_that_ran_twice(self):
        order = replace(REQUEST, kind="order", body=b"done by e1")
        assert check(order, (10.0, 10.1)) == ["runs at most once"]

    def test_refusal_of_a_request_that_ran(self):
        assert check(replace(REQUEST, status=503, body=b"")) == ["not run is true"]

    def test_stream_with_a_missing_event(self):
        body = FULL_STREAM[: len(FULL_STREAM) // 2] + FULL_STREAM[-20:]
        cut = replace(REQUEST, body=body, is_complete=False)
        assert check(cut) == ["events in order"]

    def test_complete_stream_that_is_too_short(self):
        assert check(replace(REQUEST, body=checks.expected_stream(2))) == [
            "whole answers"
        ]

    def test_late_response_is_reported_at_undisturbed_times_only(self):
        late = replace(REQUEST, ended_at=15.0)
        assert check(late) == ["final answer in time"]
        assert check(replace(late, was_undisturbed=False)) == []

    def test_endpoint_ran_a_request_that_no_client_sent(self):
        found = checks.check_requests([], {"x": [1.0]}, n_events=3)
        assert invariants(found) == ["nothing unasked runs"]


class TestChecksAcrossRequests:
    def test_grant_rate(self):
        times = [n / 100 for n in range(60)]
        assert invariants(checks.check_grant_rate({"e": times})) == ["cold limit"]
        assert checks.check_grant_rate({"e": times[:40]}) == []

    def test_repeat_budget(self):
        arrivals = [("r", n / 100) for n in range(200)]
        assert invariants(checks.check_repeats([], arrivals)) == ["budget of repeats"]

    def test_endpoint_works_on_after_its_client_disconnected(self):
        disconnected = replace(REQUEST, disconnected_at=10.1)
        assert invariants(checks.check_disconnects([disconnected], {"r1": 11.0}))
        assert not checks.check_disconnects([disconnected], {"r1": 10.3})

    def test_revoked_key(self):
        undisturbed = {"bound_s": 2.0, "is_disturbed": lambda start, end: False}
        late = replace(REQUEST, sent_at=13.0, ended_at=13.5)
        found = checks.check_revoked_keys([late], {"k": 10.0}, **undisturbed)
        assert invariants(found) == ["configuration in force in time"]
        refused = replace(REQUEST, status=401, sent_at=10.5, ended_at=10.6)
        again = replace(REQUEST, sent_at=11.0, ended_at=11.1)
        found = checks.check_revoked_keys([refused, again], {"k": 10.0}, **undisturbed)
        assert invariants(found) == ["configuration never goes back"]

    def test_key_may_be_refused_before_its_revocation(self):
        early = replace(REQUEST, status=401, sent_at=5.0, ended_at=5.1)
        found = checks.check_revoked_keys(
            [early, REQUEST],
            {"k": 11.0},
            bound_s=2.0,
            is_disturbed=lambda start, end: False,
        )
        assert found == []

    def test_draining_endpoint(self):
        found = checks.check_excluded_endpoints(
            [("e", 13.0)],
            [("e", 10.0, 20.0)],
            bound_s=2.0,
            is_disturbed=lambda start, end: False,
            invariant="leaving",
        )
        assert invariants(found) == ["leaving"]


class TestPlan:
    def test_same_seed_gives_the_same_plan(self):
        assert make_plan(5, length_s=30.0) == make_plan(5, length_s=30.0)
        assert make_plan(5, length_s=30.0) != make_plan(6, length_s=30.0)


class TestComments:
    COMMENT = b": still there\n\n"

    def test_comments_between_events_are_allowed(self):
        events = [b"id: %d\ndata: piece %d\n\n" % (n, n) for n in range(1, 4)]
        body = self.COMMENT.join(events) + self.COMMENT
        assert check(replace(REQUEST, body=body)) == []

    def test_event_that_is_missing_beside_a_comment_is_found(self):
        # Guards against a check that overlooks a lost event beside comments.
        body = FULL_STREAM.replace(b"id: 2\ndata: piece 2\n\n", self.COMMENT)
        assert check(replace(REQUEST, body=body)) == ["whole answers"]
        broken = replace(REQUEST, body=body, is_complete=False)
        assert check(broken) == ["events in order"]


class TestEndlessResponses:
    @pytest.mark.parametrize(
        ("fault", "lasted_s", "is_found"),
        [
            ("endless_head", 0.5, False),
            ("endless_body", 1.5, True),
            ("stalled", 2.5, False),
            ("stalled", 3.5, True),
        ],
    )
    def test_response_that_goes_on_is_found(self, fault, lasted_s, is_found):
        found = checks.check_endless_responses(
            [(fault, "r1", 10.0, 10.0 + lasted_s)],
            patience_s_by_id={"r1": 2.0},
            is_disturbed=lambda *_: False,
        )
        assert invariants(found) == ["responses without an end are cut"] * is_found

    @pytest.mark.parametrize(("lasted_s", "is_found"), [(12.9, False), (13.1, True)])
    def test_stalled_stream_lasts_for_as_long_as_its_client_waits(
        self, lasted_s, is_found
    ):
        # Guards against a finding for a stream of a route whose clients wait longer.
        found = checks.check_endless_responses(
            [("stalled", "r1", 10.0, 10.0 + lasted_s)],
            patience_s_by_id={"r1": 12.0},
            is_disturbed=lambda *_: False,
        )
        assert len(found) == is_found


class TestLapsedReservations:
    def test_lapse_without_a_disturbance_is_found(self):
        # Guards against reservations that nobody renews: their streams are cut while
        # everything works.
        found = checks.check_lapsed_reservations(
            [("r1", 20.0)], is_disturbed=lambda _start, _end: False
        )
        assert invariants(found) == ["reservations outlast their streams"]

    def test_lapse_after_a_disturbance_is_allowed(self):
        # A paused node or a cut link may fail to renew until the reservation expires.
        def is_disturbed(start, end):
            return start < 18.0 < end

        lapsed = [("r1", 20.0)]
        assert checks.check_lapsed_reservations(lapsed, is_disturbed=is_disturbed) == []


class TestCrashingParts:
    @pytest.mark.parametrize(
        ("n_later", "disturbed", "found"),
        [(3, False, False), (4, False, True), (9, True, False)],
        ids=["few", "many", "disturbed"],
    )
    def test_requests_that_reach_engines_after_the_fifth_crash(
        self, n_later, disturbed, found
    ):
        engine = EndpointStandIn(id="e1", clock=None)
        times = [*range(5), *(10.0 + n for n in range(n_later))]
        for n, at in enumerate(times):
            engine.arrivals.append(
                Arrival(
                    attempt_id=f"r{n}",
                    headers=((b"x-prompt-prefix", b"aa:40,dead:900,1:60"),),
                    body=b"deadly",
                    at=at,
                    was_run=True,
                )
            )
            engine.crashes.append((f"r{n}", at))
        findings = crash_checks.check_crashing_parts(
            [engine], ["dead"], is_disturbed=lambda start, end: disturbed
        )
        assert bool(findings) == found
        findings = crash_checks.check_crashing_requests(
            [engine], [b"deadly", b"other"], is_disturbed=lambda start, end: disturbed
        )
        assert len(findings) == found

    def test_plan_has_spans_with_a_crashing_part(self):
        kinds = [fault.kind for fault in make_plan(1, length_s=36.0)]
        assert {"crashing_part", "crashing_request", "restoration"} <= set(kinds)


class TestNamedLimits:
    @pytest.mark.parametrize(
        ("n", "disturbed", "found"),
        [(11, False, False), (12, False, True), (30, True, False)],
        ids=["within", "above", "disturbed"],
    )
    def test_requests_to_an_endpoint_that_names_a_limit(self, n, disturbed, found):
        endpoint = EndpointStandIn(id="e1", clock=None)
        times = [100.0, *(104.0 + 0.3 * number for number in range(n))]
        for number, at in enumerate(times):
            endpoint.arrivals.append(
                Arrival(
                    attempt_id=f"r{number}", headers=(), body=b"", at=at, was_run=True
                )
            )
        findings = checks.check_named_limits(
            [(endpoint, 1.0, 99.0, 120.0)], is_disturbed=lambda start, end: disturbed
        )
        assert bool(findings) == found

    def test_plan_has_spans_with_a_named_limit(self):
        kinds = [fault.kind for fault in make_plan(1, length_s=36.0)]
        assert "named_limit" in kinds


class TestLostReservations:
    @pytest.mark.parametrize("ends", [True, False])
    def test_only_an_endpoint_that_ends_may_lose_memory(self, ends):
        # Guards against findings for streams whose helper had ended, and against
        # taking a reservation that was not renewed for one of these.
        fleet = []
        first, helper = (
            EndpointStandIn(id=name, clock=system_clock(), fleet=fleet)
            for name in ("e1", "e2")
        )
        fleet += [first, helper]
        request = Request(
            method=b"POST", target=b"/x", headers=[], body=b"", keep_alive=True
        )
        helper.held_until_by_reservation["r1-1"] = 0.0
        if ends:
            helper._crash(request)
        first._record_lapse(request, {"r1-1"})
        assert len(first.lapsed) == (0 if ends else 1)
