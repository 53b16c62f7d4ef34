"""Fake peers of one measured node, with messages of realistic size."""

import dataclasses

from savoryhill.core import effects, events
from savoryhill.core.membership.evidence import register_node_hash
from savoryhill.core.membership.state import Member
from savoryhill.core.messages import Ack, GroupSummary, MemberUpdate, Ping
from savoryhill.core.reducer import reduce
from savoryhill.core.state import new_state
from savoryhill.peers.auth import seal
from savoryhill.peers.codec import Envelope, encode
from savoryhill.peers.frames import datagram_context

N_GROUPS = 75
KEY = b"0123456789abcdef"
ZONES = ("zone-a", "zone-b", "zone-c")


def node_name(number):
    return f"node-{number:03d}"


def node_address(number):
    return f"10.0.{number // 250}.{number % 250 + 1}:7100"


def make_state(number, seed, now):
    state = new_state(
        node=node_name(number),
        zone=ZONES[number % 3],
        region="south",
        address=node_address(number),
        incarnation=1_700_000_000_000 + number,
        seed=seed,
    )
    state.now = now
    return state


def add_all_members(state, n_nodes):
    for number in range(n_nodes):
        if node_name(number) == state.node:
            continue
        member = Member(
            node=node_name(number),
            address=node_address(number),
            zone=ZONES[number % 3],
            incarnation=1_700_000_000_000 + number,
            last_heard_at=state.now,
            last_key_value_success_at=state.now,
        )
        state.membership.members_by_node[member.node] = member
        register_node_hash(state, member.node)


class FakePeers:
    """Peers whose probes and acknowledgements have realistic content."""

    def __init__(self, n_nodes, random):
        self.random = random
        self.n_nodes = n_nodes
        self.live = set(range(1, n_nodes))
        self.sequences = dict.fromkeys(range(1, n_nodes), 0)
        # One state builds the messages of all fake peers.
        self.author_state = make_state(1, 7, 0.0)
        add_all_members(self.author_state, n_nodes)
        for number in range(min(N_GROUPS, n_nodes)):
            group = f"assistant-south-{number:02d}"
            self.author_state.membership.summaries_by_group[group] = GroupSummary(
                group=group,
                holder=node_name(number),
                fence=12,
                predicted_wait_s=0.25,
                free_slots=17,
                version=1000 + number,
            )

    def build_message(self, message_type, now, **fields):
        """Return a message with the gossip that a peer would send to the measured node.

        The gossip is taken from the reply of ``author_state`` to a probe.
        """
        author_state = self.author_state
        for number, member in enumerate(
            author_state.membership.members_by_node.values()
        ):
            if number + 1 in self.live:
                member.last_heard_at = now - self.random.uniform(0, 3)
                member.last_key_value_success_at = (
                    member.last_heard_at - self.random.uniform(0, 1)
                )
        author_state.last_tick_at = now
        ping = Ping(probe=1, target=author_state.node, origin=node_name(0))
        (sent,) = (
            effect.message
            for effect in reduce(
                author_state,
                events.PeerReceived(at=now, sender=node_name(0), message=ping),
            )
            if isinstance(effect, effects.SendDatagram)
        )
        return message_type(
            **fields,
            config_revision=sent.config_revision,
            config_confirmed_age_s=0.5,
            updates=sent.updates,
            groups=sent.groups,
            heard=sent.heard,
        )

    def encode_datagram(self, number, message):
        """Encode a message of a fake peer as a sealed datagram.

        The first update of a probe or an acknowledgement is replaced by one on the
        sender itself.
        """
        if isinstance(message, Ping | Ack):
            own = MemberUpdate(
                node=node_name(number),
                address=node_address(number),
                zone=ZONES[number % 3],
                incarnation=1_700_000_000_000 + number,
                status="live",
            )
            message = dataclasses.replace(message, updates=(own, *message.updates[1:]))
        self.sequences[number] += 1
        envelope = Envelope(
            sender=node_name(number),
            incarnation=1_700_000_000_000 + number,
            sequence=self.sequences[number],
            message=message,
        )
        return seal(KEY, encode(envelope), datagram_context(node_name(0)))
