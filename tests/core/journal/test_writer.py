import pytest

from savoryhill.core import events, messages
from savoryhill.core.journal import codec, log
from savoryhill.core.journal import entry_node as journal
from savoryhill.core.journal.keys import writer_of
from savoryhill.core.journal.responses import MAX_STORED_BODY_BYTES
from savoryhill.standins import world as w
from savoryhill.standins import world_checks as checks


@pytest.fixture
def world():
    world = w.make_world(2)
    w.advance_time(world, 0.05)
    return world


def nodes_by_role(world):
    """Return the names of the shard's writer and of the other node."""
    writer = writer_of(world.nodes["node-0"].state, 0)
    (other,) = set(world.nodes) - {writer}
    return writer, other


def deliver_all(world):
    while world.in_flight_messages:
        w.deliver(world, 0)


def run(world, *names, faults=()):
    """Process messages and calls for 0.4 s; ``faults`` apply to the first calls."""
    faults = list(faults)
    for _ in range(8):
        deliver_all(world)
        for name in names:
            while world.nodes[name].calls:
                w.answer_call(world, name, fault=faults.pop(0) if faults else "ok")
            while world.nodes[name].attempts:
                w.run_attempt(world, name, "completed")
            while world.nodes[name].lookups:
                w.answer_lookup(world, name)
        w.advance_time(world, 0.05)


def execution(world, request_id):
    finish = world.finishes.get(request_id)
    return finish and finish.execution


def status_of(world, key):
    return (
        checks.load_durable_shard(world)
        .entries_by_key[key.encode().ljust(16, b".")]
        .status
    )


class TestLostResponses:
    def test_write_with_a_lost_response_is_read_back(self, world):
        # Guards against refusing the caller as "not run" although the reservation
        # was written, and against a key that stays reserved.
        writer, other = nodes_by_role(world)
        order = w.place_order(world, other, "a")
        run(world, writer, other, faults=["ok", "lost"])
        assert execution(world, order) == "completed"
        assert sum(world.executions_by_key.values()) == 1

    def test_write_that_arrives_after_the_read_back_changes_nothing(self, world):
        # An empty position does not prove that the write will not arrive.
        writer, other = nodes_by_role(world)
        order = w.place_order(world, other, "a")
        run(world, writer, other, faults=["ok", "delayed"])
        w.apply_delayed_write(world, 0)
        run(world, writer, other)
        assert execution(world, order) == "completed"
        assert checks.find_violations(world, {}) == []

    def test_batch_with_an_unknown_result_is_not_answered_as_unavailable(self, world):
        # The batch may still be written; the key would then stay reserved although
        # nobody uses the reservation.
        writer, other = nodes_by_role(world)
        order = w.place_order(world, other, "a")
        run(world, writer, other, faults=["ok", "delayed", *["down"] * 200])
        assert execution(world, order) is None
        w.advance_time(world, 5.0)
        assert execution(world, order) == "not_run"
        w.apply_delayed_write(world, 0)
        run(world, writer, other)
        assert status_of(world, "a") == "not_sent"
        repeat = w.place_order(world, other, "a")
        run(world, writer, other)
        assert execution(world, repeat) == "completed"


class TestTwoWriters:
    def test_two_writers_of_one_shard_run_one_order(self, world):
        for name in world.nodes:
            w.set_live_nodes(world, name, {name})
        orders = [w.place_order(world, name, "a") for name in world.nodes]
        run(world, *world.nodes)
        assert sum(world.executions_by_key.values()) == 1
        assert "completed" in {execution(world, order) for order in orders}

    def test_writer_paused_during_a_fold_does_not_recreate_a_position(
        self, world, monkeypatch
    ):
        # The fold deleted the batch at its position, so only the comparison of the
        # meta key makes its append fail.
        monkeypatch.setattr(log, "FOLD_BATCHES", 3)
        writer, other = nodes_by_role(world)
        for name in world.nodes:
            w.set_live_nodes(world, name, {name})
        w.place_order(world, writer, "a")
        run(world, writer)
        w.place_order(world, writer, "b")
        w.advance_time(world, 0.05)
        assert world.nodes[writer].calls, "the paused writer has no append under way"
        world.nodes[writer].paused = True
        for key in ("c", "d", "e", "f"):
            w.place_order(world, other, key)
            run(world, other)
        assert world.record_counts["journal.folded"] > 0
        world.nodes[writer].paused = False
        run(world, *world.nodes)
        assert checks.find_violations(world, {}) == []
        assert len(checks.load_durable_shard(world).entries_by_key) == 6

    def test_not_sent_is_accepted_from_the_attempts_own_node_only(self, world):
        writer, other = nodes_by_role(world)
        w.place_order(world, other, "a")
        run(world, writer, other)
        message = messages.JournalFinish(
            attempt=f"{other}:1:{1:032x}", key=b"a" + b"." * 15, status="not_sent"
        )
        event = events.PeerReceived(at=world.now, sender="node-9", message=message)
        w.submit(world, world.nodes[writer], event)
        assert world.record_counts["journal.ending_refused"] == 1


class TestOutage:
    def test_done_key_is_answered_and_a_new_key_is_refused(self, world):
        writer, other = nodes_by_role(world)
        first = w.place_order(world, other, "a")
        run(world, writer, other)
        repeat = w.place_order(world, other, "a")
        new = w.place_order(world, other, "b")
        for _ in range(20):
            run(world, writer, other, faults=["refused"] * 100)
        assert world.finishes[repeat].response == world.finishes[first].response
        assert execution(world, new) == "not_run"
        assert world.finishes[new].status == 503
        assert sum(world.executions_by_key.values()) == 1

    def test_refused_reservation_leaves_the_key_free_after_the_outage(self, world):
        writer, other = nodes_by_role(world)
        w.place_order(world, other, "a")
        for _ in range(20):
            run(world, writer, other, faults=["down"] * 100)
        repeat = w.place_order(world, other, "a")
        run(world, writer, other)
        assert execution(world, repeat) == "completed"


class TestRepeats:
    def test_repeat_with_another_body_is_refused(self, world):
        writer, other = nodes_by_role(world)
        w.place_order(world, other, "a")
        run(world, writer, other)
        repeat = w.place_order(world, writer, "a", body=b"other")
        run(world, writer, other)
        assert world.finishes[repeat].status == 422

    def test_lookup_settles_an_order_of_a_crashed_node(self, world):
        writer, other = nodes_by_role(world)
        first = w.place_order(world, other, "a")
        deliver_all(world)
        for _ in range(6):
            for name in world.nodes:
                while world.nodes[name].calls:
                    w.answer_call(world, name)
            deliver_all(world)
            w.advance_time(world, 0.05)
        w.crash(world, other)
        early = w.place_order(world, writer, "a")
        run(world, writer)
        assert world.finishes[early].status == 409
        w.execute_delayed_call(world, 0)
        w.advance_time(world, 8.0)
        repeat = w.place_order(world, writer, "a")
        run(world, writer)
        spec = world.specs[first]
        assert world.finishes[repeat].response == w.service_response(spec)
        run(world, writer)
        assert status_of(world, "a") == "done"
        assert sum(world.executions_by_key.values()) == 1

    def test_lookup_that_finds_nothing_does_not_free_the_key(self, world):
        # The earlier call may still be under way to the service.
        writer, other = nodes_by_role(world)
        w.place_order(world, other, "a")
        for _ in range(8):
            deliver_all(world)
            for name in world.nodes:
                while world.nodes[name].calls:
                    w.answer_call(world, name)
            w.advance_time(world, 0.05)
        w.run_attempt(world, other, "delayed")
        repeat = w.place_order(world, other, "a")
        run(world, writer, other)
        assert execution(world, repeat) == "unknown"
        assert status_of(world, "a") == "unknown"

    def test_confirmation_of_unknown_keeps_a_response_found_by_lookup(self, world):
        # Guards against a confirmation without a status, which also removed the
        # "done" outcome that had replaced the confirmed "unknown".
        writer, other = nodes_by_role(world)
        node = world.nodes[other]
        attempt = f"{other}:1:{1:032x}"
        for status in ("unknown", "done"):
            effects = journal.finish(
                node.state, key=b"a" + b"." * 15, attempt=attempt, status=status
            )
            assert len(list(effects)) == 1
        reply = messages.JournalReply(
            request_id="", attempt=attempt, status="recorded", ending="unknown"
        )
        event = events.PeerReceived(at=world.now, sender=writer, message=reply)
        w.submit(world, node, event)
        (outcome,) = node.state.journal.outcomes_by_attempt.values()
        assert outcome.message.status == "done"

    def test_response_too_large_to_store_is_identified_by_its_digest(
        self, world, monkeypatch
    ):
        monkeypatch.setattr(
            w, "service_response", lambda spec: b"x" * (MAX_STORED_BODY_BYTES + 1)
        )
        writer, other = nodes_by_role(world)
        w.place_order(world, other, "a")
        run(world, writer, other)
        repeat = w.place_order(world, other, "a")
        run(world, writer, other)
        finish = world.finishes[repeat]
        assert (finish.execution, finish.response_missing) == ("completed", True)
        assert "SHA-256" in finish.detail


class TestRetention:
    def test_expired_response_is_dropped_with_its_segment(self, world, monkeypatch):
        monkeypatch.setattr(log, "FOLD_BATCHES", 2)
        monkeypatch.setattr(log, "MERGE_BELOW_BYTES", 0)
        writer, other = nodes_by_role(world)
        w.place_order(world, other, "a")
        run(world, writer, other)
        w.advance_time(world, 100_000.0)
        for key in "bcd":
            w.place_order(world, other, key)
            run(world, writer, other)
        keys = {key[:1] for key in checks.load_durable_shard(world).entries_by_key}
        assert keys == {b"b", b"c", b"d"}
        assert len(world.nodes[writer].state.journal.shards_by_number) == 1

    def test_nothing_is_written_before_the_wall_clock_is_known(self):
        # Guards against entries with wall time 0, which other nodes took for expired,
        # so that the call ran twice.
        world = w.make_world(1)
        w.place_order(world, "node-0", "a")
        assert world.nodes["node-0"].calls == []
        run(world, "node-0")
        (entry,) = checks.load_durable_shard(world).entries_by_key.values()
        assert entry.at_s > 1e6


class TestCodec:
    def test_row_size_matches_the_design_document(self):
        rows = [
            codec.Row(
                key=bytes(16),
                status="reserved",
                origin="node-0:1764829266000",
                request=bytes(16),
                at_s=5,
                deadline_wall_s=9,
                body_digest=bytes(16),
            )
        ] * 50
        size = len(codec.encode_rows("node-0:1764829266000:7", 5, rows))
        assert size / len(rows) < 64
        assert codec.decode_rows(codec.encode_rows("x", 5, rows))[1] == rows

    @pytest.mark.parametrize("cut", [1, 5, 20, 40])
    def test_truncated_values_are_refused(self, cut):
        row = codec.Row(key=b"k", status="done", origin="n:1", request="r", at_s=1)
        value = codec.encode_rows("identity", 1, [row])
        with pytest.raises(codec.JournalFormatError):
            codec.decode_rows(value[:-cut])
