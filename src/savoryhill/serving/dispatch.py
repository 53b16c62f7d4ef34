"""Asks the scheduling node for engines, or this node itself if there is none."""

from dataclasses import replace

import gevent
from gevent.event import AsyncResult

from savoryhill.core.scheduling.messages import (
    CANCELLED,
    FIRST_EVENT,
    JobPlaced,
    JobRejected,
    JobReport,
    JobSubmit,
    NodeAside,
    NodeBeat,
    NodeHello,
    StoreUpdate,
)
from savoryhill.errors import NotConnectedError, PeerError
from savoryhill.serving.changes import missing_changes, update_of
from savoryhill.serving.leadership import SUSPICION_S, choose_leader
from savoryhill.serving.links import Link, encode_frame, open_link

# The scheduling node beats often, so that its loss is noticed within the objective of
# most streams; followers beat rarely, because their loss only leaves jobs accounted.
LEADER_BEAT_S = 0.2
LEADER_SILENCE_S = 0.7
FOLLOWER_BEAT_S = 1.0
FOLLOWER_SILENCE_S = 3.5
CHECK_S = 0.1
# A scheduling node whose store contact is older than this is told what its followers
# read. Not longer than the age at which followers watch by themselves, so that their
# first answer is enough.
STALE_LEADER_S = 1.0
# It is replaced if others have reached the store for this long and it has not. Its own
# next call is due within half of this, so that the return of the store for all, which
# some notice first, replaces nobody.
STEP_DOWN_DELAY_S = 1.0
# What was seen longer ago says nothing: the store may have been away for all since.
# Followers of a node that has lost the store ask it once in 1.2 s and their turn.
EVIDENCE_S = 3.0
# How long such a node is not asked again.
CUT_OFF_S = 10.0
PLACE_INTERVAL_S = 0.02


class Ticket:
    """One job of this node, from its submission to its end."""

    def __init__(self, *, submit, submitted_at):
        self.submit = submit
        self.submitted_at = submitted_at
        self.decision = AsyncResult()
        self.placed = None
        self.has_started = False


class Dispatcher:
    """The jobs of this node and the link to the scheduling node."""

    def __init__(self, *, node, address, clock, knowledge, scheduling, record):
        self._node = node
        self._address = address
        self._clock = clock
        self._knowledge = knowledge
        self._scheduling = scheduling
        self._record = record
        self._suspected_until = {}
        self._link = None
        self._leader_address = None
        self._leader_contact_age_s = 0.0
        self._tickets_by_job = {}
        self._follower_links = set()
        self._own_contact_at = float("-inf")
        self._cut_off_since = None
        self._cut_off_seen_at = float("-inf")

    # Jobs of this node.

    def submit(self, message):
        """Submit a job and return its ticket."""
        ticket = Ticket(submit=message, submitted_at=self._clock.monotonic())
        self._tickets_by_job[message.job_id] = ticket
        self._send_submit(ticket)
        return ticket

    def started(self, ticket):
        """Report the first event of a job."""
        ticket.has_started = True
        self._report(ticket, FIRST_EVENT, "")

    def finish(self, ticket, what, endpoint=""):
        """Report the end of a job."""
        if self._tickets_by_job.pop(ticket.submit.job_id, None) is not None:
            self._report(ticket, what, endpoint)

    def cancel(self, ticket):
        """Report that the job is no longer wanted."""
        self.finish(ticket, CANCELLED)

    def _report(self, ticket, what, endpoint):
        report = JobReport(job_id=ticket.submit.job_id, what=what, endpoint=endpoint)
        if self._link is not None:
            self._link.send(report)
        else:
            self._scheduling.report(report)

    def _send_submit(self, ticket):
        message = ticket.submit
        elapsed_s = self._clock.monotonic() - ticket.submitted_at
        if elapsed_s > 0.0 or ticket.placed is not None:
            message = replace(
                message,
                due_s=message.due_s - elapsed_s,
                ends_s=message.ends_s - elapsed_s,
                endpoints=ticket.placed.endpoints if ticket.placed else (),
                has_started=ticket.has_started,
            )
        if self._link is not None:
            self._link.send(message)
        else:
            self._scheduling.submit(message, self._take_decision)

    def _take_decision(self, decision):
        ticket = self._tickets_by_job.get(decision.job_id)
        if ticket is None or ticket.decision.ready():
            return
        if isinstance(decision, JobPlaced):
            ticket.placed = decision
        ticket.decision.set(decision)

    # The link to the scheduling node.

    def is_leader(self):
        """Tell whether this node schedules for others as far as it knows."""
        return self._leader_address == self._address

    def is_standalone(self):
        """Tell whether this node schedules only for itself."""
        return self._link is None and not self.is_leader()

    def has_leader(self):
        """Tell whether a scheduling node is linked, which passes on what it hears."""
        return self._link is not None

    def note_store_contact(self):
        """Take note that this node's own call to the store was answered.

        A scheduling node that has lost the store is told.
        """
        self._own_contact_at = self._clock.monotonic()
        self._cut_off_since = None
        if self._leader_is_stale():
            self._link.send(self._own_beat())

    def _leader_is_stale(self):
        return self._link is not None and self._leader_contact_age_s > STALE_LEADER_S

    def _take_follower_beat(self, link, beat):
        """Learn from a follower that reaches the store while this node does not.

        Load pattern: the store turns away the scheduling node only, or returns for
        all after an outage, which some nodes notice before this one. It takes what
        followers have read and passes it on, and steps aside if its own calls go on
        failing. Only the scheduling node decides this, so that all nodes move
        together: two nodes that schedule at once fill the same engines.
        """
        now = self._clock.monotonic()
        is_cut_off = now - self._own_contact_at > STALE_LEADER_S
        if not is_cut_off or beat.contact_age_s > STALE_LEADER_S / 2:
            return
        if beat.revision > self._knowledge.revision:
            link.send(self._hello())
        else:
            self._knowledge.note_contact(now - beat.contact_age_s)
        if self._cut_off_since is None or now - self._cut_off_seen_at > EVIDENCE_S:
            self._cut_off_since = now
        self._cut_off_seen_at = now
        if now - self._cut_off_since < STEP_DOWN_DELAY_S:
            return
        self._cut_off_since = None
        self._suspect(self._address, "this node has lost the store", length_s=CUT_OFF_S)
        for link in self._follower_links:
            link.send(NodeAside(length_s=CUT_OFF_S))

    def follow_leader(self):
        """Keep a link to the scheduling node until the greenlet is killed."""
        while True:
            leader = choose_leader(
                self._knowledge.nodes_by_name.values(),
                suspected_until=self._suspected_until,
                now=self._clock.monotonic(),
            )
            address = leader.address if leader is not None else None
            if address != self._leader_address:
                self._leader_address = address
                self._record("leader.chosen", {"address": address or "none"})
            if address is None or address == self._address:
                gevent.sleep(CHECK_S)
                continue
            self._follow_one(address)

    def _follow_one(self, address):
        try:
            link = open_link(address, node=self._node, silence_s=LEADER_SILENCE_S)
        except NotConnectedError as error:
            self._suspect(address, str(error))
            return
        link.send(self._hello())
        beats = gevent.spawn(self._beat, link)
        self._scheduling.forget_all(self._tickets_by_job)
        self._link = link
        self._leader_contact_age_s = 0.0
        self._resubmit()
        try:
            while self._leader_address == address:
                self._take_message(link.receive())
                if not self._is_still_first(address):
                    break
        except PeerError as error:
            self._suspect(address, str(error))
        finally:
            self._link = None
            beats.kill(block=False)
            link.close()
            self._resubmit()

    def _is_still_first(self, address):
        leader = choose_leader(
            self._knowledge.nodes_by_name.values(),
            suspected_until=self._suspected_until,
            now=self._clock.monotonic(),
        )
        return leader is None or leader.address == address

    def _suspect(self, address, cause, *, length_s=SUSPICION_S):
        self._suspected_until[address] = self._clock.monotonic() + length_s
        self._record("leader.lost", {"address": address, "cause": cause})

    def _resubmit(self):
        for ticket in list(self._tickets_by_job.values()):
            self._send_submit(ticket)

    def _take_message(self, message):
        if isinstance(message, JobPlaced | JobRejected):
            self._take_decision(message)
        elif isinstance(message, StoreUpdate):
            self._take_update(self._link, message)
        elif isinstance(message, NodeHello):
            self._send_missing(self._link, message.revision)
        elif isinstance(message, NodeBeat):
            self._take_beat(message)
        elif isinstance(message, NodeAside):
            self._suspect(
                self._leader_address,
                "it has lost the store",
                length_s=message.length_s,
            )

    def _take_update(self, link, update):
        known_revision = self._knowledge.revision
        is_taken = self._knowledge.apply(
            update.rows,
            update.revision,
            base_revision=update.base_revision,
            is_complete=update.is_complete,
        )
        if not is_taken:
            link.send(self._hello())
        elif self._knowledge.revision > known_revision:
            # Nodes that have not moved on yet still follow this one. Only news is
            # passed on: two nodes that follow each other would repeat it for ever.
            self._publish_update(update)

    def _hello(self):
        return NodeHello(node=self._node, revision=self._knowledge.revision)

    def _take_beat(self, beat):
        self._leader_contact_age_s = beat.contact_age_s
        # A beat about a revision that has not arrived says nothing of this node.
        if beat.revision <= self._knowledge.revision:
            at = self._clock.monotonic() - beat.contact_age_s
            self._knowledge.note_contact(at)

    # Links of other nodes, for which this node schedules.

    def serve_link(self, sock, _address):
        """Serve a node that follows this one."""
        link = Link(sock=sock, node=self._node, silence_s=FOLLOWER_SILENCE_S)
        job_ids = set()

        def deliver(decision):
            if isinstance(decision, JobRejected):
                job_ids.discard(decision.job_id)
            link.send(decision)

        try:
            while True:
                message = link.receive()
                if isinstance(message, NodeHello):
                    self._send_missing(link, message.revision)
                    self._follower_links.add(link)
                elif isinstance(message, JobSubmit):
                    job_ids.add(message.job_id)
                    self._scheduling.submit(message, deliver)
                elif isinstance(message, NodeBeat):
                    self._take_follower_beat(link, message)
                elif isinstance(message, StoreUpdate):
                    self._take_update(link, message)
                elif isinstance(message, JobReport):
                    if message.what != FIRST_EVENT:
                        job_ids.discard(message.job_id)
                    self._scheduling.report(message)
        except PeerError as error:
            self._record("follower.lost", {"cause": str(error)})
        finally:
            self._follower_links.discard(link)
            link.close()
            sock.close()
            self._scheduling.forget_all(job_ids)

    def _send_missing(self, link, known_revision):
        if known_revision < self._knowledge.revision:
            link.send(missing_changes(self._knowledge, known_revision))

    def _beat(self, link):
        """Beat to the scheduling node while the link is open."""
        while link.is_open:
            link.send(self._own_beat())
            gevent.sleep(FOLLOWER_BEAT_S)

    def send_heartbeats_to_followers(self):
        """Beat to all followers until the greenlet is killed."""
        while True:
            gevent.sleep(LEADER_BEAT_S)
            if not self._follower_links:
                continue
            frame = encode_frame(self._own_beat(), node=self._node)
            for link in self._follower_links:
                link.send_frame(frame)

    def _own_beat(self):
        return NodeBeat(
            revision=self._knowledge.revision,
            contact_age_s=min(1e9, self._knowledge.contact_age_s()),
        )

    def publish(self, rows, revision, *, base_revision, is_complete):
        """Pass rows of the store on to the nodes that follow this one.

        A scheduling node that has lost the store is told as well.
        """
        if not (is_complete or rows):
            return
        if not (self._follower_links or self._leader_is_stale()):
            return
        update = update_of(
            rows, revision, base_revision=base_revision, is_complete=is_complete
        )
        self._publish_update(update)
        if self._leader_is_stale():
            self._link.send(update)

    def _publish_update(self, update):
        if not self._follower_links:
            return
        frame = encode_frame(update, node=self._node)
        for link in self._follower_links:
            link.send_frame(frame)

    def place_waiting_periodically(self):
        """Place waiting jobs until the greenlet is killed."""
        while True:
            gevent.sleep(PLACE_INTERVAL_S)
            self._scheduling.place_waiting()
