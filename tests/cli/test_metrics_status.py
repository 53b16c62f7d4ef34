"""Tests of the status of nodes of the platform deployment."""

import json

import pytest
from gevent.server import StreamServer

from savoryhill.cli.inspection import status
from savoryhill.cli.metrics_status import GAUGES, MetricsError, parse_gauges
from savoryhill.observability.metrics import Metrics, prometheus_text
from savoryhill.serving.http import encode_head


def metrics_text(**values):
    gauges = dict.fromkeys(GAUGES, 0) | {"configuration_version": 7} | values
    metrics = Metrics()
    metrics.gauges.update(
        {name: lambda value=value: value for name, value in gauges.items()}
    )
    return prometheus_text(metrics)


@pytest.fixture
def start_node():
    """Return a function that serves a text as metrics and returns the address."""
    servers = []

    def start(content):
        def serve(sock, _):
            sock.recv(65_536)
            body = content.encode()
            length = str(len(body)).encode()
            sock.sendall(encode_head(200, [(b"content-length", length)]) + body)

        server = StreamServer(("127.0.0.1", 0), serve)
        server.start()
        servers.append(server)
        return f"127.0.0.1:{server.server_port}"

    yield start
    for server in servers:
        server.stop(timeout=0)


def run(capsys, addresses, **options):
    code = status(metrics=",".join(addresses), **options)._start()
    return code, capsys.readouterr().out


class TestStatus:
    def test_nodes_with_the_same_version_are_ok(self, start_node, capsys):
        code, out = run(
            capsys, [start_node(metrics_text()), start_node(metrics_text())]
        )
        assert code == 0
        assert out.count(": ok (") == 2

    @pytest.mark.parametrize(
        ("values", "finding"),
        [
            ({"configuration_version": 5}, "configuration 5, others have 7"),
            ({"configuration_version": 0}, "no configuration"),
            ({"store_contact_age_s": 9.5}, "store not heard of for 9.5 s"),
            ({"log_lines_dropped": 3}, "3 log lines dropped"),
            ({"has_lost_way": 1}, "no way to endpoints but through other nodes"),
            ({"endpoints_out_of_reach": 2}, "no path of its own to 2 endpoints"),
        ],
        ids=["older", "none", "cut off", "dropped", "no way", "paths lost"],
    )
    def test_finding_is_reported(self, start_node, capsys, values, finding):
        faulty = start_node(metrics_text(**values))
        code, out = run(capsys, [start_node(metrics_text()), faulty], output="json")
        assert code == 1
        (faulty_status,) = [
            node for node in json.loads(out)["nodes"] if node["address"] == faulty
        ]
        assert faulty_status["findings"] == [finding]

    def test_unreachable_node_is_reported(self, start_node, capsys):
        code, out = run(capsys, [start_node(metrics_text()), "127.0.0.1:1"])
        assert code == 1
        assert "127.0.0.1:1: no answer" in out

    @pytest.mark.parametrize("content", ["", "savoryhill_configuration_version{} many"])
    def test_missing_or_malformed_gauge(self, content):
        with pytest.raises(MetricsError, match="gauge"):
            parse_gauges(content)
