"""Measure the cost of gossip for one node and the time to detect a dead node.

Run with ``python -m savoryhill.bench.membership --output json``.

The cost is the processor time that one real node spends on unsealing, decoding,
reducing, encoding and sealing, while fake peers send it encoded datagrams in virtual
time. For the detection time, every node runs the real reducer and messages are passed
without encoding.
"""

import heapq
import json
import statistics
import time
from base64 import b64encode
from random import Random

from savoryhill.bench._gossip_peers import (
    KEY,
    N_GROUPS,
    ZONES,
    FakePeers,
    add_all_members,
    make_state,
    node_name,
)
from savoryhill.config.model import Configuration, Group, Zone
from savoryhill.core import effects, events
from savoryhill.core.coordination.records import (
    RECORD_PREFIX,
    encode_record,
    record_key,
)
from savoryhill.core.messages import Ack, Ping, PingRequest
from savoryhill.core.reducer import reduce
from savoryhill.peers.auth import seal, unseal
from savoryhill.peers.codec import Envelope, decode, encode
from savoryhill.peers.frames import datagram_context

SIZES = (9, 50, 100, 200, 340)
DETECTION_SIZES = (9, 340)
N_VANISHING = 50
TICK_S = 0.05
DETECTION_TICK_S = 0.1
WARM_UP_S = 20.0
STEADY_S = 60.0
VANISHING_S = 20.0
# IPv4 header (20 bytes) and UDP header (8 bytes).
IP_UDP_HEADER_BYTES = 28
ROUND_TRIP_S = 0.002


def _encoded_row_bytes(row):
    """Return the size of a row in a JSON response of the key-value service."""
    values = {
        "key": b64encode(row.key.encode()).decode(),
        "value": b64encode(row.value).decode(),
        "create_revision": str(row.mod_revision),
        "mod_revision": str(row.mod_revision),
        "version": "12",
    }
    return len(json.dumps(values, separators=(",", ":"))) + 1


class _TrafficMeter:
    def __init__(self):
        self.cpu_s = 0.0
        self.n_in = self.n_out = self.bytes_in = self.bytes_out = 0
        self.largest_bytes = 0
        self.n_reads = self.read_bytes = 0


class _MeasuredNode:
    """The measured real node with its fake peers, in virtual time."""

    def __init__(self, n_nodes, seed):
        self.random = Random(seed)
        self.peers = FakePeers(n_nodes, self.random)
        self.state = make_state(0, seed, 0.0)
        add_all_members(self.state, n_nodes)
        self.queue = []
        self.n_queued = 0
        self.n_sent = 0
        self.now = 0.0
        self.meter = _TrafficMeter()
        self._add_groups(min(N_GROUPS, n_nodes))
        for number in range(1, n_nodes):
            self.schedule(self.random.uniform(0, n_nodes - 1), self.probe_from, number)
        self.schedule(0.0, self.tick)

    def _add_groups(self, n_groups):
        groups = [f"assistant-south-{number:02d}" for number in range(n_groups)]
        self.state.configuration.active = Configuration(
            revision=1,
            zones=tuple(Zone(name=zone, region="south") for zone in ZONES),
            groups=tuple(
                Group(id=group, target="assistant", region="south", endpoints=())
                for group in groups
            ),
        )
        self.peers.author_state.configuration.active = self.state.active
        self.rows_by_key = {
            record_key(group): encode_record(
                holder=node_name(number), fence=12, identity=f"18bcfe568{number:02x}-1c"
            )
            for number, group in enumerate(groups)
        }

    def call_key_value(self, effect):
        """Schedule the answer to a key-value call; a write always succeeds."""
        started_at, rows = self.now, ()
        if isinstance(effect, effects.KeyValueTransaction):
            self.rows_by_key.update(effect.puts)
        elif effect.key.startswith(RECORD_PREFIX):
            rows = tuple(
                events.KeyValueRow(key=key, value=value, mod_revision=1_000_000)
                for key, value in sorted(self.rows_by_key.items())
                if key == effect.key or (effect.prefix and key.startswith(effect.key))
            )
            self.meter.n_reads += 1
            self.meter.read_bytes += sum(_encoded_row_bytes(row) for row in rows)

        def deliver_answer():
            self.apply(
                lambda: events.KeyValueAnswered(
                    at=self.now,
                    call_id=effect.call_id,
                    status="ok",
                    started_at=started_at,
                    rows=rows,
                )
            )

        self.schedule(self.now + ROUND_TRIP_S, deliver_answer)

    def schedule(self, when, call, *arguments):
        self.n_queued += 1
        heapq.heappush(self.queue, (when, self.n_queued, call, arguments))

    def run(self, seconds):
        ends_at = self.now + seconds
        while self.queue[0][0] <= ends_at:
            self.now, _, call, arguments = heapq.heappop(self.queue)
            call(*arguments)
        self.now = ends_at

    def apply(self, make_event):
        started = time.process_time()
        sent = []
        for effect in reduce(self.state, make_event()):
            if isinstance(effect, effects.SendDatagram):
                self.n_sent += 1
                envelope = Envelope(
                    sender=self.state.node,
                    incarnation=self.state.incarnation,
                    sequence=self.n_sent,
                    message=effect.message,
                )
                context = datagram_context(effect.to)
                sent.append((effect, seal(KEY, encode(envelope), context)))
            elif isinstance(
                effect, effects.KeyValueRange | effects.KeyValueTransaction
            ):
                self.call_key_value(effect)
        self.meter.cpu_s += time.process_time() - started
        for effect, data in sent:
            self.meter.n_out += 1
            self.meter.bytes_out += len(data) + IP_UDP_HEADER_BYTES
            self.meter.largest_bytes = max(self.meter.largest_bytes, len(data))
            self.schedule(self.now + ROUND_TRIP_S, self.acknowledge, effect)

    def tick(self):
        self.apply(lambda: events.Ticked(at=self.now))
        self.schedule(self.now + TICK_S, self.tick)

    def receive(self, data):
        self.meter.n_in += 1
        self.meter.bytes_in += len(data) + IP_UDP_HEADER_BYTES

        def make_event():
            envelope = decode(unseal(KEY, data, datagram_context(self.state.node)))
            return events.PeerReceived(
                at=self.now, sender=envelope.sender, message=envelope.message
            )

        self.apply(make_event)

    def probe_from(self, number):
        """Deliver a probe from a peer, once in each of the peer's probe rounds."""
        if number in self.peers.live:
            message = self.peers.build_message(
                Ping,
                self.now,
                probe=1,
                target=self.state.node,
                origin=node_name(number),
            )
            self.receive(self.peers.encode_datagram(number, message))
        self.schedule(self.now + self.peers.n_nodes - 1, self.probe_from, number)

    def acknowledge(self, effect):
        number = int(effect.to.removeprefix("node-"))
        if number not in self.peers.live or not isinstance(effect.message, Ping):
            return
        message = self.peers.build_message(
            Ack, self.now, probe=effect.message.probe, target=effect.to
        )
        self.receive(self.peers.encode_datagram(number, message))

    def remove_peers(self, numbers):
        """Remove peers at once.

        The other peers then suspect them and ask this node to probe them.
        """
        self.peers.live.difference_update(numbers)
        members = self.peers.author_state.membership.members_by_node
        for number in numbers:
            self.schedule(
                self.now + self.random.uniform(1, 8),
                self.mark_suspected,
                number,
                members,
            )
        share = len(numbers) / self.peers.n_nodes
        # Every live node sends one probe a second, which fails with probability
        # `share`; the node then asks three others. So 3 * share requests a second
        # reach this node on average, here for 6 s.
        n_requests = round(3 * share * 6)
        for _ in range(n_requests):
            when = self.now + self.random.uniform(0, 6)
            self.schedule(
                when, self.send_ping_request, self.random.choice(sorted(numbers))
            )

    def mark_suspected(self, number, members):
        member = members.get(node_name(number))
        if member is not None and member.status == "live":
            member.status = "suspected"
            self.peers.author_state.membership.n_sent_by_node[member.node] = 0

    def send_ping_request(self, number):
        requester = self.random.choice(sorted(self.peers.live))
        message = PingRequest(probe=9, target=node_name(number))
        self.receive(self.peers.encode_datagram(requester, message))


def _summarize(meter, seconds):
    return {
        "cpu_percent": round(100 * meter.cpu_s / seconds, 3),
        "bytes_per_s": round((meter.bytes_in + meter.bytes_out) / seconds),
        "messages_per_s": round((meter.n_in + meter.n_out) / seconds, 2),
        "largest_datagram_bytes": meter.largest_bytes,
        "record_reads_per_s": round(meter.n_reads / seconds, 2),
        "record_bytes_per_s": round(meter.read_bytes / seconds),
    }


def measure_cost(n_nodes, *, seed=1, n_vanishing=N_VANISHING):
    """Measure the gossip of one node in steady state and after a loss of members.

    Parameters
    ----------
    n_nodes : int
        Number of members, including the measured node.
    seed : int
        Seed of all random numbers.
    n_vanishing : int
        Number of members lost at once, limited to a third of the members.

    Returns
    -------
    dict
        Processor time in percent of a core, and bytes (with IP and UDP headers) and
        messages per second, sent and received together.
    """
    measured = _MeasuredNode(n_nodes, seed)
    measured.run(WARM_UP_S)
    measured.meter = _TrafficMeter()
    measured.run(STEADY_S)
    result = {"nodes": n_nodes, "steady": _summarize(measured.meter, STEADY_S)}
    n_lost = min(n_vanishing, n_nodes // 3)
    measured.meter = _TrafficMeter()
    measured.remove_peers(list(range(1, 1 + n_lost)))
    measured.run(VANISHING_S)
    result["vanishing"] = {"members": n_lost, **_summarize(measured.meter, VANISHING_S)}
    return result


def measure_detection(n_nodes, *, seed=1, timeout_s=60.0):
    """Measure how long it takes until the other nodes declare a dead node gone.

    Returns
    -------
    dict
        Seconds until the first, the median and the last of the other nodes that did
        so within ``timeout_s`` seconds; None if there are none.
    """
    random = Random(seed)
    states = {node_name(n): make_state(n, seed + n, 0.0) for n in range(n_nodes)}
    for state in states.values():
        add_all_members(state, n_nodes)
    queue, gone_after_s_by_node, n_queued = [], {}, 0
    dead, died_at = node_name(n_nodes - 1), 10.0

    def schedule(when, name, event_type, message=None, sender=""):
        nonlocal n_queued
        n_queued += 1
        heapq.heappush(queue, (when, n_queued, name, event_type, message, sender))

    for name in states:
        schedule(random.uniform(0, DETECTION_TICK_S), name, events.Ticked)
    while queue and len(gone_after_s_by_node) < n_nodes - 1:
        now, _, name, event_type, message, sender = heapq.heappop(queue)
        if now > died_at + timeout_s:
            break
        if name == dead and now >= died_at:
            continue
        state = states[name]
        if event_type is events.Ticked:
            event = events.Ticked(at=now)
            schedule(now + DETECTION_TICK_S, name, events.Ticked)
        else:
            event = events.PeerReceived(at=now, sender=sender, message=message)
        for effect in reduce(state, event):
            if isinstance(effect, effects.SendDatagram):
                delay_s = random.uniform(0.0005, 0.002)
                schedule(
                    now + delay_s,
                    effect.to,
                    events.PeerReceived,
                    effect.message,
                    name,
                )
        if name != dead and state.membership.members_by_node[dead].status == "gone":
            gone_after_s_by_node.setdefault(name, now - died_at)
    times = sorted(gone_after_s_by_node.values())
    return {
        "nodes": n_nodes,
        "detected_by": len(times),
        "first_s": round(times[0], 2) if times else None,
        "median_s": round(statistics.median(times), 2) if times else None,
        "last_s": round(times[-1], 2) if times else None,
    }


def main(output="text", seed=1, sizes=SIZES, detection_sizes=DETECTION_SIZES):
    """Measure every size and print the results.

    Parameters
    ----------
    output : str
        ``json`` or ``text``.
    seed : int
        Seed of all random numbers.
    sizes, detection_sizes : sequence of int
        Cluster sizes, as numbers of members.
    """
    results = {
        "seed": seed,
        "cost": [measure_cost(size, seed=seed) for size in sizes],
        "detection": [measure_detection(size, seed=seed) for size in detection_sizes],
    }
    if output == "json":
        print(json.dumps(results))
        return
    for kind in ("cost", "detection"):
        for result in results[kind]:
            print(kind, json.dumps(result))


if __name__ == "__main__":
    import fire

    fire.Fire(main)
