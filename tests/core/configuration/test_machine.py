"""State machine test of concurrent operators and nodes with lossy links."""

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from savoryhill.bench._answers import answers_text
from savoryhill.bench._cores import (
    TICK_S,
    count_reverts,
    deliver_value,
    run,
    run_until_in_force,
    start_configured_cores,
)
from savoryhill.bench._memory import memory_store
from savoryhill.config.answer_text import plain_answers
from savoryhill.config.apply import apply_answers
from savoryhill.config.conflicts import ConflictError
from savoryhill.config.store import read_current
from savoryhill.core.configuration import HANDLERS
from savoryhill.core.configuration.distribution import revision_in_force
from savoryhill.core.configuration.isolation import CONFIRMATION_LIFETIME_S
from savoryhill.core.events import RequestArrived
from savoryhill.errors import OutcomeUnknownError, PlatformUnreachableError

NODES = tuple(f"node-{n}" for n in range(5))
OPERATORS = {
    "ana": ("kinds", "order", "deadline_s"),
    "ben": ("kinds", "completion", "deadline_s"),
}


def value_at(answers, path):
    for step in path:
        answers = answers[step]
    return answers


class ConfigurationMachine(RuleBasedStateMachine):
    @initialize(seed=st.integers(0, 3))
    def start(self, seed):
        self.cores = start_configured_cores(n_nodes=len(NODES), n_zones=2, seed=seed)
        self.store = memory_store(self.cores.service)
        self.cut = set()
        self.cores.may_pass = lambda a, b: (a in self.cut) == (b in self.cut)
        self.cores.reaches_service = lambda node: node not in self.cut
        self.possible_by_operator = {"ana": {5.0}, "ben": {30.0}}
        self.files_by_operator, self.taken_values_by_operator = {}, {}
        self.withdrawals = []
        self.contents = [read_current(self.store).configuration]
        self.n_applied = 0
        for operator in OPERATORS:
            self.take_file(operator)

    def take_file(self, operator):
        current = read_current(self.store)
        answers = plain_answers(current.answers)
        self.files_by_operator[operator] = (answers, current.record.revision)
        taken = value_at(answers, OPERATORS[operator])
        self.taken_values_by_operator[operator] = taken

    def apply(self, author, answers, taken_from):
        self.n_applied += 1
        return apply_answers(
            self.store,
            answers_text(answers, taken_from=taken_from),
            place="machine",
            author=author,
            attempt=f"{author}-{self.n_applied}",
        )

    def change(self, operator, value):
        """Change an operator's own answer, based on a possibly outdated file."""
        answers, taken_from = self.files_by_operator[operator]
        *parents, last = OPERATORS[operator]
        values = value_at(answers, parents)
        is_change = value != self.taken_values_by_operator[operator]
        values[last] = value
        possible = self.possible_by_operator[operator]
        try:
            accepted = self.apply(operator, answers, taken_from)
        except PlatformUnreachableError:
            return
        except OutcomeUnknownError:
            if is_change:
                possible.add(value)
            return
        except ConflictError as error:
            assert {each.author for each in error.conflicts} <= {operator}, str(error)
            return
        self.contents.append(accepted.configuration)
        # A value that is unchanged from the file's revision does not undo a newer one.
        if is_change:
            self.possible_by_operator[operator] = {value}

    @rule(seconds=st.sampled_from([0.02, 0.3, 1.0, 3.5]))
    def pass_time(self, seconds):
        run(self.cores, seconds)

    def take_the_accepted_answers(self, operator):
        if not self.cores.service.down:
            self.take_file(operator)

    @rule(
        operator=st.sampled_from(sorted(OPERATORS)),
        value=st.integers(1, 50).map(float),
        fresh=st.booleans(),
        raced=st.booleans(),
        n_lost=st.sampled_from([0, 0, 1, 2]),
        down_after=st.sampled_from([0, 0, 0, 1, 2, 3]),
    )
    def apply_change(self, operator, value, fresh, raced, n_lost, down_after):
        service = self.cores.service
        if fresh:
            self.take_the_accepted_answers(operator)
        if raced:
            (other,) = set(OPERATORS) - {operator}
            n_now = service.n_writes

            def overtake(number):
                if number == n_now + 2:
                    service.n_responses_to_lose = 0
                    self.take_the_accepted_answers(other)
                    self.change(other, value)

            service.before_write = overtake
        elif down_after:
            n_last = service.n_writes + down_after

            def go_down(row):
                service.down = service.n_writes >= n_last

            notify_watches, service.on_put = service.on_put, go_down
        service.n_responses_to_lose = n_lost
        self.change(operator, value)
        if down_after and not raced:
            service.on_put = notify_watches
        service.before_write = lambda number: None
        service.n_responses_to_lose = 0

    @precondition(lambda self: not self.cores.service.down)
    @rule(node=st.sampled_from(NODES), down_at_once=st.booleans())
    def withdraw_a_zone(self, node, down_at_once):
        current = read_current(self.store)
        answers = plain_answers(current.answers)
        zones = answers["zones"]
        if zones["zone-0"].get("withdrawn"):
            return
        zones = {**zones, "zone-0": {**zones["zone-0"], "withdrawn": True}}
        answers = {**answers, "zones": zones}
        accepted = self.apply("zoe", answers, current.record.revision)
        self.contents.append(accepted.configuration)
        self.withdrawals.append((self.cores.now, accepted.revision))
        self.cores.service.down = down_at_once
        if node not in self.cut:
            deliver_value(self.cores, "operator@", node, accepted.configuration)

    @rule(down=st.sampled_from([False, False, True]))
    def switch_the_service(self, down):
        self.cores.service.down = down

    @rule(nodes=st.sets(st.sampled_from(NODES), max_size=2))
    def cut_off(self, nodes):
        self.cut = nodes

    @precondition(lambda self: not self.cores.service.down and not self.withdrawals)
    @rule(
        nodes=st.sets(st.sampled_from(NODES), min_size=1, max_size=2),
        down_at_once=st.booleans(),
    )
    def withdraw_a_zone_while_nodes_are_cut_off(self, nodes, down_at_once):
        self.cut = nodes
        (reached, *_) = sorted(set(NODES) - nodes)
        self.withdraw_a_zone(reached, down_at_once)
        run(self.cores, 3.1)

    @rule(node=st.sampled_from(NODES), index=st.integers(0, 20))
    def deliver_a_delayed_content(self, node, index):
        content = self.contents[index % len(self.contents)]
        deliver_value(self.cores, "node-x", node, content)

    @rule(node=st.sampled_from(NODES), seconds=st.sampled_from([0.7, 5.0]))
    def pause(self, node, seconds):
        self.cores.paused_until_by_node[node] = self.cores.now + seconds

    @rule(loss=st.sampled_from([0.0, 0.1, 0.4]), lag=st.sampled_from([0.0, 2.0]))
    def degrade(self, loss, lag):
        self.cores.loss, self.cores.watch_lag_s = loss, lag

    @rule(node=st.sampled_from(NODES))
    def silence_a_watch(self, node):
        self.cores.silent_watches.add(node)

    @invariant()
    def no_revision_goes_back(self):
        assert count_reverts(self.cores) == 0

    @invariant()
    def no_accepted_change_is_lost(self):
        down, self.cores.service.down = self.cores.service.down, False
        answers = plain_answers(read_current(self.store).answers)
        self.cores.service.down = down
        for operator, path in OPERATORS.items():
            possible = self.possible_by_operator[operator]
            assert value_at(answers, path) in possible, f"{operator}: {possible}"
        if self.withdrawals:
            assert answers["zones"]["zone-0"]["withdrawn"]

    @invariant()
    def no_late_work_on_a_node_that_is_cut_off(self):
        for node in self.cut:
            state = self.cores.states_by_node[node]
            for accepted_at, revision in self.withdrawals:
                late = self.cores.now - accepted_at > CONFIRMATION_LIFETIME_S
                if late and revision_in_force(state) < revision:
                    # The reducer calls this handler before it admits a request.
                    state.now = self.cores.now
                    arrived = RequestArrived(at=self.cores.now, spec=None)
                    list(HANDLERS[RequestArrived](state, arrived))
                    assert state.configuration.isolated, f"{node} at {self.cores.now}"

    def teardown(self):
        if not hasattr(self, "cores"):
            return
        self.cut = set()
        self.cores.paused_until_by_node.clear()
        self.cores.service.down = False
        self.cores.loss = self.cores.watch_lag_s = 0.0
        revision = read_current(self.store).record.revision
        run_until_in_force(self.cores, revision, timeout_s=8.0)
        run(self.cores, 2 * CONFIRMATION_LIFETIME_S + TICK_S)
        assert not any(
            state.configuration.isolated for state in self.cores.states_by_node.values()
        )


TestConfigurationMachine = ConfigurationMachine.TestCase
TestConfigurationMachine.settings = settings(
    max_examples=60,
    stateful_step_count=30,
    deadline=None,
    derandomize=True,
    database=None,
    suppress_health_check=list(HealthCheck),
)
