"""Long random walks of a journal cluster under faults.

The mutation tests remove one rule of the journal each and require that the walks
detect it.
"""

import random
from collections import Counter

import pytest

from savoryhill.core.journal import entry_node, entry_rules, log, replies, writer
from savoryhill.standins import world as w
from savoryhill.standins import world_checks as checks

N_STEPS = 1_500
KEYS = [f"key-{number}" for number in range(40)]


@pytest.fixture(autouse=True)
def small_folds(monkeypatch):
    monkeypatch.setattr(log, "FOLD_BATCHES", 4)


def step(world, rng):
    """Take one random step; steps that make progress are more likely than faults."""
    name = rng.choice(list(world.nodes))
    node = world.nodes[name]
    roll = rng.random()
    if roll < 0.06:
        recent = world.n_requests // 6
        key = KEYS[min(len(KEYS) - 1, max(0, recent + rng.choice((0, 0, -1, -2))))]
        w.place_order(world, name, key)
    elif roll < 0.50 and world.in_flight_messages:
        w.deliver(world, rng.randrange(3), lose=rng.random() < 0.03)
    elif roll < 0.72 and node.calls and not node.paused:
        results = w.CALL_RESULTS if rng.random() < 0.3 else ("ok",)
        w.answer_call(world, name, fault=rng.choice(results))
    elif roll < 0.82 and node.attempts and not node.paused:
        results = w.ATTEMPT_RESULTS if rng.random() < 0.5 else ("completed",)
        w.run_attempt(world, name, rng.choice(results))
    elif roll < 0.84 and node.lookups and not node.paused:
        w.answer_lookup(world, name)
    elif roll < 0.86 and world.delayed_writes:
        w.apply_delayed_write(world, rng.randrange(5))
    elif roll < 0.87 and world.delayed_executions:
        w.execute_delayed_call(world, rng.randrange(5))
    elif roll < 0.88:
        node.paused = not node.paused
    elif roll < 0.883:
        w.crash(world, name)
    elif roll < 0.89:
        seen = [other for other in world.nodes if rng.random() < 0.6]
        w.set_live_nodes(world, name, {name, *seen})
    else:
        w.advance_time(world, rng.choice((0.02, 0.05, 0.05, 0.05, 0.3, 2.0)))


def walk(seed, *, n_steps=N_STEPS):
    """Walk, let the world settle, and return the violated properties and the world."""
    rng = random.Random(seed)
    world, done = w.make_world(3), {}
    w.advance_time(world, 0.05)
    for _ in range(n_steps):
        step(world, rng)
        findings = checks.find_violations(world, done)
        if findings:
            return findings, world
    w.run_without_faults(world, n_rounds=120)
    return checks.find_violations(world, done), world


class TestRandomWalk:
    def test_all_properties_hold_under_random_faults(self):
        counts = Counter()
        for seed in range(8):
            findings, world = walk(seed)
            assert findings == [], f"seed {seed}"
            counts.update(world.record_counts)
            counts.update(finish.execution for finish in world.finishes.values())
            counts["executions"] += len(world.executions_by_key)
        assert counts["executions"] > 40
        for name in ("completed", "not_run", "unknown", "journal.folded"):
            assert counts[name] > 20, name


def _compare_only_key(state, shard, number, original=writer._send_batch):
    effect = original(state, shard, number)
    return _with_compares(effect, effect.compares[:1])


def _compare_only_meta(state, shard, number, original=writer._send_batch):
    effect = original(state, shard, number)
    return _with_compares(effect, effect.compares[1:])


def _with_compares(effect, compares):
    return type(effect)(call_id=effect.call_id, compares=compares, puts=effect.puts)


def _unknown_key_is_free(
    state, entry, operation, original=entry_rules.reservation_status
):
    status = original(state, entry, operation)
    return None if status == "unknown" else status


def _report_unknown_as_not_sent(
    state, *, status, original=entry_node.finish, **arguments
):
    status = "not_sent" if status == "unknown" else status
    return original(state, status=status, **arguments)


MUTATIONS = {
    "a taken position is overwritten": (writer, "_send_batch", _compare_only_meta),
    "a folded position is created again": (writer, "_send_batch", _compare_only_key),
    "a call with an unknown outcome is sent again": (
        replies,
        "reservation_status",
        _unknown_key_is_free,
    ),
    "an unknown outcome is reported as not sent": (
        entry_node,
        "finish",
        _report_unknown_as_not_sent,
    ),
}


class TestMutations:
    @pytest.mark.parametrize("name", MUTATIONS)
    def test_removed_rule_is_detected(self, name, monkeypatch):
        module, function, replacement = MUTATIONS[name]
        monkeypatch.setattr(module, function, replacement)
        assert any(_violates_a_property(seed) for seed in range(60))


def _violates_a_property(seed):
    try:
        return bool(walk(seed)[0])
    except AssertionError:
        return True
