import json

import gevent
import pytest
from gevent import socket
from gevent.server import StreamServer

from savoryhill.clock import Clock
from savoryhill.core.effects import Compare
from savoryhill.errors import (
    OutcomeUnknownError,
    PlatformUnreachableError,
    ResendPreventedError,
    WatchSilentError,
)
from savoryhill.httpapp import serve
from savoryhill.platform.key_value import make_key_value_client, read_range, transact
from savoryhill.platform.rate_limit import make_bucket, take_token
from savoryhill.platform.watch import grant_lease, renew_lease, watch
from savoryhill.sendonce import make_send_once_client, request_once
from savoryhill.standins.platform import PlatformState, platform_application, set_faults

ABSENT = (Compare(key="key", mod_revision=0),)
PUT = (("key", b"value"),)


@pytest.fixture
def platform():
    return PlatformState()


@pytest.fixture
def address(platform):
    server, address = serve(platform_application(platform), "127.0.0.1:0")
    yield address
    server.stop(timeout=0.1)


@pytest.fixture
def reports():
    return []


@pytest.fixture
def client(address, reports):
    client = make_key_value_client(
        address,
        timeout_s=0.2,
        report=lambda name, **fields: reports.append((name, fields)),
    )
    yield client
    client.transport.http.close()


@pytest.fixture
def closing_server():
    """Run a server that closes each connection after reading a request."""
    requests = []

    def handle(sock, _):
        requests.append(sock.recv(65_536))
        sock.shutdown(socket.SHUT_RDWR)

    server = StreamServer(("127.0.0.1", 0), handle)
    server.start()
    yield f"127.0.0.1:{server.server_port}", requests
    server.stop(timeout=0.1)


class TestFailureClassification:
    @pytest.mark.parametrize("closed", [False, True], ids=["status", "closed"])
    def test_lost_response_has_unknown_outcome_and_write_is_kept(
        self, platform, client, closed
    ):
        set_faults(platform, {"lose_next_answers": 1, "close_lost_answers": closed})
        with pytest.raises(OutcomeUnknownError):
            transact(client, compares=ABSENT, puts=PUT)
        assert read_range(client, "key").rows[0].value == b"value"
        assert platform.n_writes == 1, "the write was sent again"

    @pytest.mark.parametrize(
        ("faults", "error"),
        [
            ({"down": True}, OutcomeUnknownError),
            ({"writes_per_s": 0.001}, PlatformUnreachableError),
            ({"delay_s": 0.5}, OutcomeUnknownError),
        ],
        ids=["status 503", "status 429", "timeout"],
    )
    def test_failed_write_raises_by_its_possible_effect(
        self, platform, client, faults, error
    ):
        # The gateway may return 503 after the proposal was accepted, so the outcome of
        # a write with that status is unknown.
        platform.buckets["writes"] = make_bucket(0.001)
        platform.buckets["writes"].tokens = 0.0
        set_faults(platform, faults)
        with pytest.raises(error):
            transact(client, compares=ABSENT, puts=PUT)

    def test_refused_connection_proves_that_nothing_was_sent(self):
        with socket.socket() as sock:
            sock.bind(("127.0.0.1", 0))
            port = sock.getsockname()[1]
        client = make_key_value_client(f"127.0.0.1:{port}")
        with pytest.raises(PlatformUnreachableError):
            transact(client, compares=ABSENT, puts=PUT)
        assert client.counts["write", "not_connected"] == 1

    def test_transaction_fails_if_a_comparison_fails(self, client):
        assert transact(client, compares=ABSENT, puts=PUT).succeeded
        assert not transact(client, compares=ABSENT, puts=PUT).succeeded


class TestSendOnce:
    @pytest.mark.parametrize("method", ["GET", "PUT", "DELETE", "POST"])
    def test_request_is_not_resent_when_the_connection_closes(
        self, closing_server, method
    ):
        # geventhttpclient 2.6.1 would resend GET, PUT and DELETE.
        address, requests = closing_server
        client = make_send_once_client(address, connect_timeout_s=1.0, timeout_s=1.0)
        with pytest.raises(Exception, match="closed|peer") as caught:
            request_once(client, method, "/")
        assert len(requests) == 1
        assert method == "POST" or isinstance(caught.value, ResendPreventedError)

    def test_greenlet_can_send_several_requests(self, address):
        client = make_send_once_client(address, connect_timeout_s=1.0, timeout_s=1.0)
        for _ in range(2):
            assert request_once(client, "GET", "/control/counts")[0] == 200


class TestReads:
    def test_failed_read_is_repeated(self, platform, client):
        platform.delay_s = 0.5
        gevent.spawn_later(0.25, setattr, platform, "delay_s", 0.0)
        assert read_range(client, "key").rows == ()
        assert client.counts["read", "timeout"] >= 1

    def test_lower_revision_is_rejected_and_reported(self, platform, client, reports):
        # Guards against reads of old data from a service restored from an old copy.
        transact(client, compares=ABSENT, puts=PUT)
        platform.revision = 1
        with pytest.raises(PlatformUnreachableError):
            read_range(client, "key")
        assert reports[0][0] == "key_value.revision_went_back"
        assert client.counts["read", "revision_went_back"] == 3

    def test_lower_revision_of_another_cluster_is_taken(
        self, platform, client, reports
    ):
        # Guards against nodes that refuse all that a service says for good, once it
        # was restored from a backup, until they are started again.
        transact(client, compares=ABSENT, puts=PUT)
        platform.cluster_id, platform.revision = 2, 1
        assert read_range(client, "key").revision == 1
        assert [name for name, _ in reports] == ["key_value.other_cluster"]
        platform.revision = 0
        with pytest.raises(PlatformUnreachableError):
            read_range(client, "key")

    def test_late_answer_of_the_former_cluster_is_not_taken(self, platform, client):
        # Guards against a client that goes back to the former cluster's revisions.
        transact(client, compares=ABSENT, puts=PUT)
        set_faults(platform, {"delay_s": 0.05})
        late = gevent.spawn(read_range, client, "key")
        gevent.sleep(0.01)
        client.cluster_id, client.max_revision = "2", 1
        gevent.sleep(0.06)
        platform.cluster_id = 2
        late.join()
        assert (client.cluster_id, client.counts["read", "calls"]) == ("2", 2)


class TestBudget:
    def test_calls_over_the_rate_limit_wait_and_then_fail_unsent(self, address):
        slept = []
        clock = Clock(monotonic=lambda: 0.0, wall=lambda: 0.0, sleep=slept.append)
        client = make_key_value_client(address, writes_per_s=4.0, clock=clock)
        for _ in range(6):
            transact(client, compares=(), puts=PUT)
        with pytest.raises(PlatformUnreachableError, match="budget"):
            transact(client, compares=(), puts=PUT)
        assert slept == [0.25, 0.5]
        assert client.counts["write", "budget"] == 1

    def test_rate_limit_holds_over_time(self):
        bucket = make_bucket(10.0)
        taken = [
            take_token(bucket, step / 100, max_wait_s=0.0) is not None
            for step in range(1000)
        ]
        assert 100 <= sum(taken) <= 110


class TestWatch:
    def test_silent_watch_raises_and_is_reported(self, platform, client, reports):
        # The connection stays open, so only missing progress notifications reveal the
        # fault.
        transact(client, compares=ABSENT, puts=PUT)
        platform.silent_watches = True
        rows = watch(client, "key", start_revision=0, timeout_s=0.3)
        assert next(rows).value == b"value"
        with pytest.raises(WatchSilentError):
            next(rows)
        assert reports[-1][0] == "key_value.watch_silent"

    def test_idle_watch_delivers_the_next_write(self, platform, client, monkeypatch):
        monkeypatch.setattr("savoryhill.standins.platform.PROGRESS_INTERVAL_S", 0.05)
        rows = watch(client, "key", start_revision=0, timeout_s=0.3)
        gevent.spawn_later(0.5, transact, client, compares=ABSENT, puts=PUT)
        assert next(rows).value == b"value"

    def test_rows_with_a_lower_revision_are_skipped(self, platform, client, reports):
        transact(client, compares=ABSENT, puts=PUT)
        old = (1, b"key", b"old")
        new = (platform.revision + 5, b"key", b"new")
        platform.history += [new, old, (platform.revision + 6, b"key", b"newer")]
        rows = watch(client, "key", start_revision=0, timeout_s=0.3)
        values = [next(rows).value for _ in range(3)]
        assert values == [b"value", b"new", b"newer"]
        assert client.counts["watch", "revision_went_back"] == 1


class TestStandIn:
    def test_expired_lease_has_no_remaining_time(self, platform, client):
        lease = grant_lease(client, ttl_s=5)
        assert renew_lease(client, lease) == 5
        platform.leases_by_id[lease][1] = 0.0
        assert renew_lease(client, lease) == 0

    def test_control_call_sets_faults(self, platform, address):
        http_client = make_send_once_client(
            address, connect_timeout_s=1.0, timeout_s=1.0
        )
        for body, status in (({"hosts_lag_s": 2.5}, 200), ({"no_fault": 1}, 400)):
            answer = request_once(
                http_client,
                "POST",
                "/control/fault",
                body=json.dumps(body).encode(),
                headers={"Content-Type": "application/json"},
            )
            assert answer[0] == status
        assert platform.hosts_lag_s == 2.5

    def test_host_list_lags_behind_the_nodes(self, platform, address):
        http_client = make_send_once_client(
            address, connect_timeout_s=1.0, timeout_s=1.0
        )
        request_once(http_client, "GET", "/hosts")
        platform.hosts_lag_s = 60.0
        platform.hosts_by_node["node-0"] = {"node": "node-0", "address": "127.0.0.1:1"}
        assert json.loads(request_once(http_client, "GET", "/hosts")[2]) == {
            "hosts": []
        }
        platform.hosts_lag_s = 0.0
        assert (
            len(json.loads(request_once(http_client, "GET", "/hosts")[2])["hosts"]) == 1
        )
