"""Drive the cores of two or three nodes through arbitrary sequences of faults."""

import os

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from savoryhill.core.journal import log
from savoryhill.standins import world as w
from savoryhill.standins import world_checks as checks

KEYS = st.sampled_from(["a", "b"])
NODES = st.integers(min_value=0, max_value=2)
INDEX = st.integers(min_value=0, max_value=5)
N_EXAMPLES = int(os.environ.get("SAVORYHILL_EXAMPLES", "60"))


class JournalMachine(RuleBasedStateMachine):
    """Orders with two journal keys under faults; each rule is one step."""

    @initialize(n_nodes=st.integers(min_value=2, max_value=3))
    def start(self, n_nodes):
        self.world = w.make_world(n_nodes)
        self.n_nodes = n_nodes
        self.done_responses_by_key = {}
        self.fold_batches = log.FOLD_BATCHES
        log.FOLD_BATCHES = 3
        w.advance_time(self.world, 0.05)

    def node_name(self, number):
        return f"node-{number % self.n_nodes}"

    @rule(number=NODES, key=KEYS, body=st.sampled_from([b"one", b"one", b"two"]))
    def place_order(self, number, key, body):
        w.place_order(self.world, self.node_name(number), key, body=body)

    @precondition(lambda self: self.world.in_flight_messages)
    @rule(index=INDEX, lose=st.sampled_from([False, False, False, True]))
    def deliver_message(self, index, lose):
        w.deliver(self.world, index, lose=lose)

    @precondition(lambda self: self.world.in_flight_messages)
    @rule()
    def deliver_all_messages(self):
        for _ in range(len(self.world.in_flight_messages)):
            w.deliver(self.world, 0)

    @rule(number=NODES, fault=st.sampled_from(["ok", "ok", "ok", *w.CALL_RESULTS]))
    def answer_call(self, number, fault):
        name = self.node_name(number)
        if self.world.nodes[name].calls and not self.world.nodes[name].paused:
            w.answer_call(self.world, name, fault=fault)

    @precondition(lambda self: self.world.delayed_writes)
    @rule(index=INDEX)
    def apply_delayed_write(self, index):
        w.apply_delayed_write(self.world, index)

    @rule(number=NODES, result=st.sampled_from(w.ATTEMPT_RESULTS))
    def run_attempt(self, number, result):
        name = self.node_name(number)
        if self.world.nodes[name].attempts and not self.world.nodes[name].paused:
            w.run_attempt(self.world, name, result)

    @precondition(lambda self: self.world.delayed_executions)
    @rule(index=INDEX)
    def execute_delayed_call(self, index):
        w.execute_delayed_call(self.world, index)

    @rule(number=NODES)
    def answer_lookup(self, number):
        name = self.node_name(number)
        if self.world.nodes[name].lookups and not self.world.nodes[name].paused:
            w.answer_lookup(self.world, name)

    @rule(seconds=st.sampled_from([0.05, 0.05, 0.25, 1.0, 8.0]))
    def pass_time(self, seconds):
        w.advance_time(self.world, seconds)

    @rule(number=NODES)
    def pause_or_resume(self, number):
        node = self.world.nodes[self.node_name(number)]
        node.paused = not node.paused

    @rule(number=NODES)
    def crash(self, number):
        w.crash(self.world, self.node_name(number))

    @rule(number=NODES, seen=st.sets(NODES))
    def change_membership(self, number, seen):
        name = self.node_name(number)
        w.set_live_nodes(self.world, name, {name, *(self.node_name(n) for n in seen)})

    @invariant()
    def all_properties_hold(self):
        if hasattr(self, "world"):
            assert checks.find_violations(self.world, self.done_responses_by_key) == []

    def teardown(self):
        if not hasattr(self, "world"):
            return
        try:
            w.run_without_faults(self.world, n_rounds=160)
            assert checks.find_violations(self.world, self.done_responses_by_key) == []
            unfinished = [
                request_id
                for node in self.world.nodes.values()
                for request_id in node.state.requests.requests_by_id
            ]
            assert unfinished == [], "a request outlived its deadline"
        finally:
            log.FOLD_BATCHES = self.fold_batches


TestJournal = JournalMachine.TestCase
TestJournal.settings = settings(
    max_examples=N_EXAMPLES,
    stateful_step_count=60,
    derandomize=True,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)
