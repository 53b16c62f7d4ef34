import gevent
import pytest
from gevent import socket
from gevent.server import StreamServer

from savoryhill.core.messages import Ack, ConfigAnnounce, PingRequest
from savoryhill.demo.deployment import free_address
from savoryhill.peers import connections, server, transport
from savoryhill.peers.auth import seal
from savoryhill.peers.codec import Envelope, encode
from savoryhill.peers.frames import datagram_context, pack_frame

KEY = b"0123456789abcdef"
INTERVAL_S = 0.05
DEADLINE_S = 0.2
LIMIT_S = 5.0


@pytest.fixture(autouse=True)
def short_deadlines(monkeypatch):
    for module in (connections, server):
        monkeypatch.setattr(module, "HEARTBEAT_INTERVAL_S", INTERVAL_S)
        monkeypatch.setattr(module, "HEARTBEAT_DEADLINE_S", DEADLINE_S)


def wait_until(condition):
    with gevent.Timeout(LIMIT_S):
        while not condition():
            gevent.sleep(0.005)


class Forwarder:
    """Forwards TCP connections.

    A frozen connection stays open, but its data is not forwarded.
    """

    def __init__(self, target):
        self.target = target
        self.frozen = set()
        self.frozen_replies = set()
        self.freeze_new = False
        self.n_connections = 0
        self.server = StreamServer(("127.0.0.1", 0), self.serve)
        self.server.start()
        self.address = f"127.0.0.1:{self.server.server_port}"

    def serve(self, sock, _):
        self.n_connections += 1
        number = self.n_connections
        if self.freeze_new:
            self.frozen.add(number)
            self.frozen_replies.add(number)
        host, port = self.target.rsplit(":", 1)
        upstream = socket.create_connection((host, int(port)))
        pumps = [
            gevent.spawn(self.pump, number, self.frozen, sock, upstream),
            gevent.spawn(self.pump, number, self.frozen_replies, upstream, sock),
        ]
        gevent.joinall(pumps)

    def pump(self, number, frozen, source, target):
        try:
            while data := source.recv(65_536):
                if number not in frozen:
                    target.sendall(data)
        except OSError:
            pass
        if number not in frozen:
            target.close()

    def freeze_replies(self):
        self.frozen_replies.update(range(1, self.n_connections + 1))

    def freeze(self):
        self.freeze_replies()
        self.frozen.update(self.frozen_replies)


class Pair:
    """A sender, and a receiver that it reaches through a forwarder."""

    def __init__(self):
        self.received, self.unreachable = [], []
        self.receiver_address = free_address()
        self.forwarder = Forwarder(self.receiver_address)
        self.addresses = {
            "receiver": self.forwarder.address,
            "sender": free_address(),
            "absent": free_address(),
        }
        self.receiver = self.make_transport("receiver", self.received)
        self.sender = self.make_transport("sender", [])
        transport.listen(self.receiver, self.receiver_address)
        transport.listen(self.sender, self.addresses["sender"])

    def make_transport(self, node, received):
        return transport.Transport(
            node=node,
            incarnation=1,
            key=KEY,
            address_of=self.addresses.get,
            on_message=lambda _, message: received.append(message),
            on_unreachable=lambda *pair: self.unreachable.append(pair),
        )

    def send(self, number, to="receiver"):
        transport.send(self.sender, to, ConfigAnnounce(revision=number))

    def revisions(self):
        return [message.revision for message in self.received]


@pytest.fixture
def pair():
    pair = Pair()
    yield pair
    transport.close(pair.sender)
    transport.close(pair.receiver)
    pair.forwarder.server.stop(timeout=0.1)


class TestConnection:
    def test_messages_arrive_in_order_and_are_acknowledged(self, pair):
        for number in range(2_000):
            pair.send(number)
        wait_until(lambda: len(pair.received) == 2_000)
        assert pair.revisions() == list(range(2_000))
        transport.flush(pair.sender, timeout_s=LIMIT_S)
        assert not pair.sender.peers_by_node["receiver"].in_flight
        assert pair.unreachable == []

    def test_unresponsive_connection_is_replaced_without_loss(self, pair):
        # The connection is not reset, so writes on it succeed.
        pair.send(1)
        wait_until(lambda: pair.revisions() == [1])
        pair.forwarder.freeze()
        for number in (2, 3, 4):
            pair.send(number)
        wait_until(lambda: len(pair.received) >= 4)
        assert pair.revisions() == [1, 2, 3, 4]
        assert pair.forwarder.n_connections == 2
        assert pair.unreachable == []

    def test_message_sent_twice_is_received_once(self, pair):
        # The receiver gets the message, but its acknowledgement is lost.
        pair.send(1)
        wait_until(lambda: pair.revisions() == [1])
        peer = pair.sender.peers_by_node["receiver"]
        pair.forwarder.freeze_replies()
        pair.send(2)
        wait_until(lambda: pair.forwarder.n_connections == 2 and not peer.in_flight)
        assert pair.revisions() == [1, 2]
        assert pair.receiver.n_dropped_by_reason["repeated"] >= 1

    def test_peer_is_unreachable_if_a_new_connection_is_unresponsive_too(self, pair):
        pair.forwarder.freeze_new = True
        pair.send(1)
        pair.send(2)
        wait_until(lambda: len(pair.unreachable) == 2)
        assert [message.revision for _, message in pair.unreachable] == [1, 2]
        assert pair.forwarder.n_connections == 2

    def test_refused_connection_reports_every_message_as_unreachable(self, pair):
        for number in range(3):
            pair.send(number, to="absent")
        wait_until(lambda: len(pair.unreachable) == 3)

    def test_full_queue_reports_further_messages_as_unreachable(
        self, pair, monkeypatch
    ):
        monkeypatch.setattr(connections, "MAX_QUEUED_MESSAGES", 10)
        for number in range(15):
            pair.send(number)
        assert len(pair.unreachable) == 5
        assert pair.sender.n_dropped_by_reason["queue_full"] == 5

    def test_receiver_closes_a_connection_without_traffic(self, pair):
        host, port = pair.receiver_address.rsplit(":", 1)
        sock = socket.create_connection((host, int(port)), timeout=LIMIT_S)
        assert sock.recv(1) == b""

    @pytest.mark.parametrize("data", [b"\xff" * 64, b"\0\0\0\x20" + b"x" * 32])
    def test_invalid_input_is_counted_and_dropped(self, pair, data):
        host, port = pair.receiver_address.rsplit(":", 1)
        sock = socket.create_connection((host, int(port)), timeout=LIMIT_S)
        sock.sendall(data)
        wait_until(lambda: pair.receiver.n_dropped == 1)
        assert pair.received == []

    def test_frame_sealed_for_another_node_is_refused(self, pair):
        envelope = Envelope(
            sender="sender",
            incarnation=1,
            sequence=1,
            message=ConfigAnnounce(revision=1),
        )
        sealed = seal(KEY, encode(envelope), b"tcp\0other")
        host, port = pair.receiver_address.rsplit(":", 1)
        sock = socket.create_connection((host, int(port)), timeout=LIMIT_S)
        sock.sendall(pack_frame(sealed))
        wait_until(lambda: pair.receiver.n_dropped_by_reason["unauthenticated"] == 1)
        assert pair.received == []


class TestDatagrams:
    def send_raw(self, pair, data):
        host, port = pair.receiver_address.rsplit(":", 1)
        pair.sender.datagram_socket.sendto(data, (host, int(port)))

    def sealed(self, message, *, sequence=7, context=None):
        envelope = Envelope(
            sender="sender", incarnation=1, sequence=sequence, message=message
        )
        return seal(KEY, encode(envelope), context or datagram_context("receiver"))

    def test_datagram_is_received(self, pair):
        pair.addresses["receiver"] = pair.receiver_address
        message = PingRequest(probe=3, target="x")
        transport.send_datagram(pair.sender, "receiver", message)
        wait_until(lambda: pair.received == [message])

    def test_invalid_input_is_counted_by_reason_and_dropped(self, pair):
        ping = PingRequest(probe=3, target="x")
        valid = self.sealed(ping)
        unknown_version = seal(
            KEY, b"\x63" + encode_of(ping)[1:], datagram_context("receiver")
        )
        inputs_by_reason = {
            "truncated": b"short",
            "unauthenticated": valid[:-1],
            "undecodable": unknown_version,
            "unexpected": self.sealed(ConfigAnnounce(revision=1)),
        }
        for data in (
            *inputs_by_reason.values(),
            self.sealed(ping, context=b"tcp\0receiver"),
        ):
            self.send_raw(pair, data)
        self.send_raw(pair, valid)
        self.send_raw(pair, valid)
        dropped = pair.receiver.n_dropped_by_reason
        wait_until(lambda: pair.receiver.n_dropped == 6)
        assert dropped == {
            **dict.fromkeys(inputs_by_reason, 1),
            "unauthenticated": 2,
        } | {"repeated": 1}
        assert pair.received == [ping]

    def test_datagram_over_the_size_limit_is_not_sent(self, pair):
        message = Ack(probe=1, target="x", heard=bytes(range(256)) * 6)
        transport.send_datagram(pair.sender, "receiver", message)
        assert pair.sender.n_dropped_by_reason["too_long"] == 1


def encode_of(message):
    return encode(Envelope(sender="sender", incarnation=1, sequence=9, message=message))
