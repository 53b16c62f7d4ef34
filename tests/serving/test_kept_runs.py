"""Runs that fall silent: kept until a repeat is granted, whatever denies it."""

from itertools import product
from socket import SHUT_RDWR

import gevent
import pytest

from savoryhill.core.silence import MIN_SILENCE_S
from savoryhill.soak.deployment import route

# Longer than a silence that is suspicious, shorter than clients wait.
SILENCE_S = 1.75
EVENT_IDS = [f"id: {number}" for number in range(1, 7)]
KINDS = ["chat", "plain-chat", "stock"]


@pytest.fixture
def fleet(deployment):
    """One engine, one plain endpoint and two nodes, of which one leads."""
    deployment.add_endpoint("e0", service="pool", event_interval_s=0.05)
    deployment.add_endpoint(
        "a0", service="app", event_interval_s=0.05, response_delay_s=0.05
    )
    for _ in range(2):
        deployment.add_node()
    dispatchers = [node._dispatcher for node in deployment.nodes]
    deployment.wait_until(
        lambda: (
            any(d.is_leader() for d in dispatchers)
            and any(d.has_leader() for d in dispatchers)
        )
    )
    return deployment


def add_others(deployment):
    for name, service in (("e1", "pool"), ("a1", "app")):
        deployment.add_endpoint(
            name, service=service, event_interval_s=0.05, response_delay_s=0.05
        )
    views = [node.context.cluster_view for node in deployment.nodes]
    deployment.wait_until(lambda: all(len(v.endpoints_by_id) == 4 for v in views))


def hold(deployment, *endpoint_ids):
    """Make endpoints silent from now on, for a while."""
    now = deployment.nodes[0].context.clock.monotonic()
    for endpoint_id in endpoint_ids:
        deployment.endpoints_by_id[endpoint_id].silent_until = now + SILENCE_S


def start_silent(deployment, kind, **headers):
    """Send a request to a first endpoint that falls silent; return the connection."""
    if kind == "stock":
        hold(deployment, "e0", "a0")
        return deployment.open("/stock/x", **headers)
    connection = deployment.open(f"/{kind}/x", **headers)
    while not connection.reader.body:
        connection.receive(timeout_s=2.0)
    hold(deployment, "e0", "a0")
    return connection


def assert_answered(deployment, connection):
    status, _, body, complete = deployment.finish(connection)
    assert (status, complete) == (200, True)
    if body.startswith(b"id:"):
        ids = [line for line in body.decode().split("\n") if line.startswith("id")]
        assert ids == EVENT_IDS


def lines_of(deployment, event):
    return [fields for lines in deployment.lines for fields in lines.fields_of(event)]


def n_sent(deployment):
    return len(lines_of(deployment, "request.sent"))


def use_up_budgets(deployment):
    for node in deployment.nodes:
        budgets, view = node.context.repeat_budgets, node.context.cluster_view
        now = node.context.clock.monotonic()
        for name in ("pool", "app"):
            service = view.configuration.services_by_name[name]
            while budgets.try_local_repeat(service, now):
                pass
            while budgets.try_scheduled_repeat(name, now):
                pass


class TestRunThatIsKept:
    """Each guards against a run that is closed before another one is granted."""

    @pytest.mark.parametrize("kind", KINDS)
    def test_without_another_endpoint(self, fleet, kind):
        assert_answered(fleet, start_silent(fleet, kind))
        assert n_sent(fleet) == 1
        assert lines_of(fleet, "request.run_kept")[0]["cause"].startswith("there is no")

    @pytest.mark.parametrize("kind", KINDS)
    def test_without_budget(self, fleet, kind):
        connection = start_silent(fleet, kind)
        add_others(fleet)
        use_up_budgets(fleet)
        assert_answered(fleet, connection)
        assert n_sent(fleet) == 1
        assert "budget" in lines_of(fleet, "request.run_kept")[0]["cause"]

    @pytest.mark.parametrize("kind", KINDS)
    def test_of_the_last_attempt(self, fleet, kind):
        routes = [
            route("chat", "streaming", "pool", resumable=True, attempts=1),
            route("plain-chat", "streaming", "app", resumable=True, attempts=1),
            route("stock", "idempotent", "app", attempts=1),
        ]
        fleet.configure_nodes(version=2, routes=routes)
        connection = start_silent(fleet, kind)
        add_others(fleet)
        assert_answered(fleet, connection)
        assert n_sent(fleet) == 1

    @pytest.mark.parametrize("kind", KINDS)
    def test_with_too_little_time_before_the_node_stops(self, fleet, kind):
        routes = [
            route("chat", "streaming", "pool", resumable=True, targetLatencyMs=400),
            route(
                "plain-chat", "streaming", "app", resumable=True, targetLatencyMs=400
            ),
            route("stock", "idempotent", "app", targetLatencyMs=400),
        ]
        fleet.configure_nodes(version=2, routes=routes)
        node = fleet.nodes[0].context
        stops_at = node.clock.monotonic() + SILENCE_S + 0.45
        connection = start_silent(fleet, kind, x_token_counts="100000,100")
        add_others(fleet)
        node.draining_since, node.stops_at = node.clock.monotonic(), stops_at
        assert_answered(fleet, connection)
        assert n_sent(fleet) == 1

    def test_with_too_little_time_for_a_long_prompt(self, fleet):
        connection = start_silent(fleet, "chat", x_token_counts="100000,100")
        add_others(fleet)
        assert_answered(fleet, connection)
        assert n_sent(fleet) == 1

    @pytest.mark.parametrize("kind", KINDS)
    def test_beside_endpoints_that_want_a_pause(self, fleet, kind):
        connection = start_silent(fleet, kind)
        add_others(fleet)
        statements = fleet.nodes[0].context.endpoint_statements
        for name in ("e1", "a1"):
            endpoint = fleet.nodes[0].context.cluster_view.endpoints_by_id[name]
            now = fleet.nodes[0].context.clock.monotonic()
            statements.pauses.note_refusal(endpoint.incarnation, 9.0, now)
        assert_answered(fleet, connection)
        assert n_sent(fleet) == 1

    def test_without_an_answer_of_the_leader(self, fleet, monkeypatch):
        follower = next(n for n in fleet.nodes if n._dispatcher.has_leader())
        fleet.nodes.sort(key=lambda node: node is not follower)
        connection = start_silent(fleet, "chat")
        add_others(fleet)
        monkeypatch.setattr(follower._dispatcher.jobs.link, "send", lambda _: None)
        assert_answered(fleet, connection)
        assert n_sent(fleet) == 1

    def test_while_all_other_engines_are_full(self, fleet):
        connection = start_silent(fleet, "chat")
        add_others(fleet)
        leader = next(n for n in fleet.nodes if n._dispatcher.is_leader())
        scheduler = leader._dispatcher._scheduling.schedulers_by_service["pool"]
        scheduler.engines_by_id["e1"].slots = 0
        assert_answered(fleet, connection)
        assert n_sent(fleet) == 1
        # The question was open all the while, and has spent nothing.
        assert lines_of(fleet, "request.run_went_on")
        for node in fleet.nodes:
            budgets = node.context.repeat_budgets
            for by_service in (
                budgets._local_by_service,
                budgets._scheduled_by_service,
            ):
                assert not any(budget.repeat_times for budget in by_service.values())
        assert not scheduler.waiting_by_id

    def test_that_is_one_of_several_on_the_only_engine(self, fleet):
        # Guards against a sound engine that is taken out because each of its streams
        # is silent while it reads a prompt.
        connections = [fleet.open("/chat/x") for _ in range(3)]
        for connection in connections:
            while not connection.reader.body:
                connection.receive(timeout_s=2.0)
        hold(fleet, "e0")
        for connection in connections:
            assert_answered(fleet, connection)
        with gevent.Timeout(1.0):
            assert fleet.ask("/chat/x")[0] == 200


class TestAnswerThatArrives:
    def test_is_not_silent(self, fleet, start_scripted):
        # Guards against an answer that is given up although its bytes arrive.
        slow = start_scripted(
            "a0",
            service="app",
            first=b"HTTP/1.1 200 OK\r\nx-attempt-id: %b\r\n"
            b"x-response-signature: s\r\ncontent-length: 40\r\n\r\n",
            repeated=b"x",
            interval_s=0.05,
        )
        add_others(fleet)
        view = fleet.nodes[0].context.cluster_view
        fleet.wait_until(lambda: view.endpoints_by_id["a0"].address == slow.address)
        # The other one is chosen only for a repeat.
        balancer = fleet.nodes[0].context.balancer
        with balancer.track_request(view.endpoints_by_id["a1"]):
            answer = fleet.ask("/stock/x", method=b"GET", x_time_remaining="5000")
        assert (answer[0], answer[2]) == (200, b"x" * 40)
        assert slow.n_requests == 1


class TestRunThatIsMoved:
    @pytest.mark.parametrize("kind", KINDS)
    def test_goes_on_elsewhere_once_that_is_granted(self, fleet, kind):
        connection = start_silent(fleet, kind)
        add_others(fleet)
        began_at = fleet.nodes[0].context.clock.monotonic()
        assert_answered(fleet, connection)
        took_s = fleet.nodes[0].context.clock.monotonic() - began_at
        assert took_s < SILENCE_S + 0.2
        assert n_sent(fleet) == 2
        (failed,) = lines_of(fleet, "request.send_failed")
        assert failed["cause"] == "endpoint is silent"

    def test_engine_that_is_silent_is_ejected_and_used_again(self, fleet):
        connection = start_silent(fleet, "chat")
        add_others(fleet)
        assert_answered(fleet, connection)
        assert {f["endpoint"] for f in lines_of(fleet, "engine.ejected")} == {"e0"}
        gevent.sleep(MIN_SILENCE_S)
        assert fleet.ask("/chat/x")[0] == 200


class TestRepeatThatIsNotTakenUp:
    """The silent run is the only one that goes on; it was ended for the repeat."""

    FAULTS = ("full", "failing", "silent")
    # The connection ends before the first event of a stream.
    STREAM_FAULTS = (*FAULTS, "unframed_empty")
    CASES = (
        *product(("chat", "plain-chat"), STREAM_FAULTS),
        *product(("stock",), FAULTS),
    )

    @pytest.mark.parametrize(("kind", "fault"), CASES)
    def test_run_goes_on(self, fleet, kind, fault):
        connection = start_silent(fleet, kind)
        add_others(fleet)
        for name in ("e1", "a1"):
            fleet.endpoints_by_id[name].faults.extend([fault] * 3)
        assert_answered(fleet, connection)
        assert n_sent(fleet) > 1

    @pytest.mark.parametrize("kind", KINDS)
    def test_repeat_takes_over_from_a_run_that_breaks(self, fleet, kind):
        # Guards against a repeat that is given up, though it is the only run left and
        # the route allows no other.
        connection = start_silent(fleet, kind)
        add_others(fleet)
        for name in ("e1", "a1"):
            fleet.endpoints_by_id[name].response_delay_s = 0.3
            fleet.endpoints_by_id[name].event_interval_s = 0.3
        fleet.wait_until(lambda: n_sent(fleet) > 1)
        first = fleet.endpoints_by_id["e0" if kind == "chat" else "a0"]
        for sock in list(first.attempt_by_open_socket):
            sock.shutdown(SHUT_RDWR)
        assert_answered(fleet, connection)
        assert n_sent(fleet) == 2

    @pytest.mark.parametrize("kind", KINDS)
    def test_repeat_is_dropped_when_the_run_goes_on(self, fleet, kind):
        # Guards against an endpoint that works on for nobody, and against a repeat
        # whose end counts as that of the request.
        connection = start_silent(fleet, kind)
        add_others(fleet)
        others = [fleet.endpoints_by_id[name] for name in ("e1", "a1")]
        for other in others:
            other.response_delay_s = other.event_interval_s = 1.0
        assert_answered(fleet, connection)
        dropped = lines_of(fleet, "request.repeat_dropped")
        assert [fields["endpoint"] for fields in dropped] == [
            "e1" if kind == "chat" else "a1"
        ]
        if kind != "stock":
            fleet.wait_until(lambda: sum(other.n_cancelled for other in others) == 1)
        answer_budget = fleet.nodes[0].context.answer_budget
        fleet.wait_until(lambda: answer_budget.n_bytes == 0)

    def test_repeat_that_is_answered_with_a_long_document_is_taken_up(
        self, fleet, start_scripted
    ):
        # Guards against a document that is kept until it is whole, for which there is
        # no room. It is forwarded as it arrives, as streams are.
        document = b"x" * 400_000
        head = (
            b"HTTP/1.1 200 OK\r\nx-attempt-id: %b\r\nx-response-signature: s\r\n"
            b"content-type: text/plain\r\ncontent-length: 400000\r\n\r\n"
        )
        fleet.endpoints_by_id["a0"].faults.append("silent")
        connection = fleet.open("/plain-chat/x")
        fleet.wait_until(lambda: n_sent(fleet) == 1)
        start_scripted("a1", service="app", first=head + document, repeated=None)
        status, _, body, complete = fleet.finish(connection)
        assert (status, body, complete) == (200, document, True)
