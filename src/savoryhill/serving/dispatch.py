"""The links between leader and followers, and what they carry.

The leader is the node that schedules the jobs of all nodes. A node that has no link to
a leader schedules its own jobs.
"""

from functools import partial

import gevent

from savoryhill.core.observations.messages import (
    BalanceEnd,
    BalanceFailure,
    BalanceReply,
    BalanceRequest,
    SharedObservations,
    TurnReply,
    TurnRequest,
)
from savoryhill.core.scheduling.messages import (
    BALANCING_PROTOCOL,
    ENDS,
    PROTOCOL,
    RETAINING_PROTOCOL,
    SHARING_PROTOCOL,
    JobPlaced,
    JobRejected,
    JobReport,
    JobSubmit,
    NodeAside,
    NodeBeat,
    NodeHello,
    RetainedRows,
    StoreUpdate,
)
from savoryhill.errors import NotConnectedError, PeerError
from savoryhill.serving.leadership import LeaderChoice
from savoryhill.serving.links import Link, encode_frame, open_link
from savoryhill.serving.local_jobs import LocalJobs
from savoryhill.serving.next_leader import NextLeader
from savoryhill.serving.retention_sharing import RetentionSharing
from savoryhill.serving.store_updates import (
    build_store_update,
    missing_changes,
    read_rows,
)

# The leader sends heartbeats often, so that its loss is detected within the latency
# objective of most streams. Followers send them rarely: until the loss of a follower
# is detected, its jobs only remain accounted for.
LEADER_HEARTBEAT_INTERVAL_S = 0.2
LEADER_TIMEOUT_S = 0.7
FOLLOWER_HEARTBEAT_INTERVAL_S = 1.0
FOLLOWER_TIMEOUT_S = 3.5
LEADER_CHECK_INTERVAL_S = 0.1
# Followers send their store reads to a leader whose last store contact is older than
# this. Must not exceed the age at which followers start to watch the store themselves,
# so that already their first response from the store is forwarded.
STALE_CONTACT_S = 1.0
# The leader steps down after followers have reached the store for this long while it
# has not. Its own next store call is due within half of this, so that no leader is
# replaced when the store recovers for all nodes and a follower notices first.
STEP_DOWN_DELAY_S = 1.0
# Older reports of followers are no evidence that only the leader is cut off, because
# the store may have been unavailable to all nodes since. Followers of a leader without
# store contact call the store every 1.2 s plus their randomized turn.
REPORT_MAX_AGE_S = 3.0
# How long a leader that stepped down is not chosen again.
STEP_DOWN_DURATION_S = 10.0
PLACEMENT_INTERVAL_S = 0.02


class Dispatcher:
    """The links of this node to the leader and to followers.

    ``jobs`` holds the jobs of this node. The functions in ``on_greeting`` are called
    with each heartbeat of the leader, the first of which follows all that it knows.
    """

    def __init__(
        self,
        *,
        node,
        address,
        clock,
        cluster_view,
        scheduling,
        sharing,
        turns,
        grants,
        record,
    ):
        self._node = node
        self._address = address
        self._clock = clock
        self._cluster_view = cluster_view
        self._scheduling = scheduling
        self._sharing = sharing
        sharing.send = self._send_observations
        sharing.send_to_followers = self._forward_observations
        self._turns = turns
        turns.send_to_leader = self._send_to_leader
        self._grants = grants
        grants.is_leader = self.is_leader
        grants.send_to_leader = partial(
            self._send_to_leader, min_protocol=BALANCING_PROTOCOL
        )
        self._retention_sharing = RetentionSharing(
            cluster_view=cluster_view,
            send_to_followers=partial(
                self._send_to_followers, min_protocol=RETAINING_PROTOCOL
            ),
            send_to_leader=partial(
                self._send_to_leader, min_protocol=RETAINING_PROTOCOL
            ),
        )
        self._record = record
        self.jobs = LocalJobs(clock=clock, scheduling=scheduling)
        self.on_greeting = []
        self.leader_choice = LeaderChoice(
            clock=clock, cluster_view=cluster_view, record=record
        )
        self._next_leader = NextLeader(
            open_link=self._open_leader_link, choice=self.leader_choice
        )
        self._link = None
        self._leader_address = None
        self._leader_contact_age_s = 0.0
        self._leader_lost_at = float("-inf")
        self._follower_links = set()
        self._store_contact_at = float("-inf")
        self._cut_off_since = None
        self._cut_off_reported_at = float("-inf")

    # The link to the leader.

    def is_leader(self):
        """Tell whether this node considers itself the leader."""
        return self._leader_address == self._address

    def is_standalone(self):
        """Tell whether this node schedules only its own jobs."""
        return self._link is None and not self.is_leader()

    def has_leader(self):
        """Tell whether store updates may be left to a leader that is linked.

        Load pattern: a leader falls silent, and its successors are silent or as far
        behind. After a loss, a new leader is relied on only once this node is up to
        date or its own call to the store has failed.
        """
        view = self._cluster_view
        return self._link is not None and (
            self._leader_lost_at <= max(view.contact_at, view.call_failed_at)
        )

    def note_store_contact(self):
        """Record that the store answered a call of this node.

        If the leader's store contact is stale, sends it a heartbeat.
        """
        self._store_contact_at = self._clock.monotonic()
        self._cut_off_since = None
        if self._is_leader_stale():
            self._link.send(self._heartbeat())

    def _is_leader_stale(self):
        return self._link is not None and self._leader_contact_age_s > STALE_CONTACT_S

    def _handle_follower_heartbeat(self, link, heartbeat):
        """Use a follower's store contact while this node does not reach the store.

        Load pattern: the store rejects only the leader, or recovers for all nodes
        after an outage, which some nodes notice before the leader. The leader requests
        and forwards what followers have read, and steps down if its own calls keep
        failing. Only the leader decides this, so that all nodes switch together: two
        nodes that schedule at the same time place jobs on the same engines.
        """
        now = self._clock.monotonic()
        is_cut_off = now - self._store_contact_at > STALE_CONTACT_S
        if not is_cut_off or heartbeat.contact_age_s > STALE_CONTACT_S / 2:
            return
        if self._position_of(heartbeat) > self._cluster_view.position:
            link.send(self._hello())
        else:
            self._cluster_view.note_contact(now - heartbeat.contact_age_s)
        if (
            self._cut_off_since is None
            or now - self._cut_off_reported_at > REPORT_MAX_AGE_S
        ):
            self._cut_off_since = now
        self._cut_off_reported_at = now
        if now - self._cut_off_since < STEP_DOWN_DELAY_S:
            return
        self._cut_off_since = None
        self.leader_choice.suspect(
            self._address,
            "this node does not reach the store but its followers do; "
            f"stepping down for {STEP_DOWN_DURATION_S:g} s",
            duration_s=STEP_DOWN_DURATION_S,
        )
        for link in self._follower_links:
            link.send(NodeAside(length_s=STEP_DOWN_DURATION_S))

    def follow_leader(self):
        """Maintain a link to the leader until the greenlet is killed."""
        while True:
            leader = self.leader_choice.choose()
            address = leader.address if leader is not None else None
            if address != self._leader_address:
                self._leader_address = address
                self._record("leader.chosen", {"address": address or "none"})
            if address is None or address == self._address:
                self._next_leader.discard()
                gevent.sleep(LEADER_CHECK_INTERVAL_S)
                continue
            self._run_leader_session(address)

    def _open_leader_link(self, address):
        return open_link(address, node=self._node, silence_s=LEADER_TIMEOUT_S)

    def _may_switch(self, address):
        """Tell whether the leader at an address is to be left, for one that is reached.

        A node without a leader schedules by itself, without knowing what the engines
        do for others.
        """
        leader = self.leader_choice.choose()
        if leader is None or leader.address == address:
            return False
        return leader.address == self._address or self._next_leader.is_ready(
            leader.address
        )

    def _run_leader_session(self, address):
        try:
            link = self._next_leader.take(address) or self._open_leader_link(address)
        except NotConnectedError as error:
            self.leader_choice.suspect(address, str(error))
            return
        link.send(self._hello())
        heartbeats = gevent.spawn(self._send_heartbeats_to_leader, link)
        self._link = link
        self._retention_sharing.forget_leader()
        self._leader_contact_age_s = 0.0
        self.jobs.use_leader(link)
        try:
            while self._leader_address == address:
                self._handle_leader_message(link.receive())
                if self._may_switch(address):
                    break
        except PeerError as error:
            self._leader_lost_at = self._clock.monotonic()
            self.leader_choice.suspect(address, str(error))
        finally:
            self._link = None
            heartbeats.kill(block=False)
            link.close()
            self.jobs.leave_leader()

    def _handle_leader_message(self, message):
        if isinstance(message, JobPlaced | JobRejected):
            self.jobs.handle_decision(message)
        elif isinstance(message, StoreUpdate):
            self._apply_update(self._link, message)
        elif isinstance(message, NodeHello):
            self._send_missing_changes(self._link, message)
        elif isinstance(message, NodeBeat):
            self._note_protocol(self._link, message.protocol)
            self._handle_leader_heartbeat(message)
        elif isinstance(message, RetainedRows):
            self._retention_sharing.receive(message, is_from_leader=True)
        elif isinstance(message, SharedObservations):
            self._sharing.receive(message, self._link)
        elif isinstance(message, TurnReply):
            self._turns.handle_reply(message)
        elif isinstance(message, BalanceReply):
            self._grants.handle_reply(message)
        elif isinstance(message, NodeAside):
            self.leader_choice.suspect(
                self._leader_address,
                "the leader does not reach the store; "
                f"it steps down for {message.length_s:g} s",
                duration_s=message.length_s,
            )

    def _position_of(self, message):
        """Return the position that a message names.

        Nodes of an older build name no era. It is that of this node, as they take what
        the store says for older while it is not.
        """
        return self._cluster_view.resolve(era=message.era, revision=message.revision)

    def _apply_update(self, link, update):
        known = self._cluster_view.position
        is_applied = self._cluster_view.apply(
            read_rows(update),
            update.revision,
            base_revision=update.base_revision,
            is_complete=update.is_complete,
            era=update.era,
            base_era=update.base_era,
        )
        if not is_applied:
            link.send(self._hello())
        elif self._cluster_view.position > known:
            # Nodes that have not switched to the new leader still follow this one.
            # Only newer positions are forwarded: two nodes that follow each other
            # would otherwise send the same update back and forth forever.
            self._send_to_followers(update)

    def _hello(self):
        return NodeHello(
            node=self._node,
            revision=self._cluster_view.revision,
            protocol=PROTOCOL,
            era=self._cluster_view.era,
        )

    def _handle_leader_heartbeat(self, heartbeat):
        self._leader_contact_age_s = heartbeat.contact_age_s
        for listener in self.on_greeting:
            listener()
        # A heartbeat with a position that has not arrived here yet does not confirm
        # that this node is up to date.
        if self._position_of(heartbeat) <= self._cluster_view.position:
            contact_at = self._clock.monotonic() - heartbeat.contact_age_s
            self._cluster_view.note_contact(contact_at)

    # Links of followers, whose jobs this node schedules.

    def serve_link(self, sock, _address):
        """Serve the connection of a follower."""
        link = Link(sock=sock, node=self._node, silence_s=FOLLOWER_TIMEOUT_S)
        job_ids = set()

        def deliver(decision):
            if isinstance(decision, JobRejected):
                job_ids.discard(decision.job_id)
            link.send(decision)

        try:
            while True:
                message = link.receive()
                if isinstance(message, NodeHello):
                    self._send_missing_changes(link, message)
                    self._note_protocol(link, message.protocol)
                    self._follower_links.add(link)
                    link.send(self._heartbeat())
                elif isinstance(message, JobSubmit):
                    job_ids.add(message.job_id)
                    self._scheduling.submit(message, deliver)
                elif isinstance(message, NodeBeat):
                    self._handle_follower_heartbeat(link, message)
                elif isinstance(message, StoreUpdate):
                    self._apply_update(link, message)
                elif isinstance(message, RetainedRows):
                    self._retention_sharing.receive(message, is_from_leader=False)
                elif isinstance(message, SharedObservations):
                    self._sharing.receive(message, link)
                elif isinstance(message, TurnRequest):
                    link.send(self._turns.decide(message))
                elif isinstance(message, BalanceRequest):
                    link.send(self._grants.decide(message, link))
                elif isinstance(message, BalanceEnd):
                    self._grants.handle_end(message, link)
                elif isinstance(message, BalanceFailure):
                    self._grants.handle_failure(message)
                elif isinstance(message, JobReport):
                    if message.what in ENDS:
                        job_ids.discard(message.job_id)
                    self._scheduling.report(message)
        except PeerError as error:
            self._record("follower.lost", {"cause": str(error)})
        finally:
            self._follower_links.discard(link)
            link.close()
            sock.close()
            self._scheduling.cancel_jobs(job_ids, deliver=deliver)
            self._grants.drop_link(link)

    def _send_missing_changes(self, link, hello):
        known = self._position_of(hello)
        if known < self._cluster_view.position:
            link.send(missing_changes(self._cluster_view, known))

    def _send_heartbeats_to_leader(self, link):
        """Send heartbeats to the leader while the link is open."""
        while link.is_open:
            link.send(self._heartbeat())
            gevent.sleep(FOLLOWER_HEARTBEAT_INTERVAL_S)

    def send_heartbeats_to_followers(self):
        """Send heartbeats to all followers until the greenlet is killed."""
        while True:
            gevent.sleep(LEADER_HEARTBEAT_INTERVAL_S)
            if self._follower_links:
                self._send_to_followers(self._heartbeat())

    def _heartbeat(self):
        return NodeBeat(
            revision=self._cluster_view.revision,
            contact_age_s=min(1e9, self._cluster_view.contact_age_s()),
            protocol=PROTOCOL,
            era=self._cluster_view.era,
        )

    def publish(self, rows, position, *, base, is_complete):
        """Forward rows of the store to the followers of this node.

        If the leader's store contact is stale, forwards them to the leader as well.
        """
        if not (is_complete or rows):
            return
        if not (self._follower_links or self._is_leader_stale()):
            return
        update = build_store_update(rows, position, base=base, is_complete=is_complete)
        self._send_to_followers(update)
        if self._is_leader_stale():
            self._link.send(update)

    def _send_to_followers(self, message, *, min_protocol=0):
        """Send a message to the followers that understand it, encoded once."""
        links = [
            link for link in self._follower_links if link.peer_protocol >= min_protocol
        ]
        if not links:
            return
        frame = encode_frame(message, node=self._node)
        for link in links:
            link.send_frame(frame)

    def _send_to_leader(self, message, *, min_protocol=SHARING_PROTOCOL):
        """Send a message to the leader; return False if none understands it."""
        if self._link is None or self._link.peer_protocol < min_protocol:
            return False
        self._link.send(message)
        return True

    def _note_protocol(self, link, protocol):
        """Record which messages the other node of a link understands.

        Once it is known that they do, nodes send each other all shared observations,
        and what they retain against the store's copy, as either may lack some.
        """
        before, link.peer_protocol = link.peer_protocol, protocol
        if before < SHARING_PROTOCOL <= protocol:
            observations = self._sharing.snapshot()
            if observations is not None:
                link.send(observations)
        if before < RETAINING_PROTOCOL <= protocol:
            if link is self._link:
                self._retention_sharing.report_to_leader()
            else:
                self._retention_sharing.greet_follower(link)

    def _send_observations(self, message, except_link):
        """Send observations to the leader, unless they are from there.

        They arrive before what is reported next, such as the failure of a job.
        """
        if self._link is not except_link:
            self._send_to_leader(message)

    def _forward_observations(self, message):
        """Send observations to all followers; those they are from know them."""
        self._send_to_followers(message, min_protocol=SHARING_PROTOCOL)

    def place_waiting_periodically(self):
        """Place waiting jobs until the greenlet is killed."""
        while True:
            gevent.sleep(PLACEMENT_INTERVAL_S)
            self._scheduling.place_waiting()
