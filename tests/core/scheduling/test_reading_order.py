"""Long prompts on engines that read the newest part first."""

import pytest

from savoryhill.bench.placement.engines import ReadingEngine
from savoryhill.bench.placement.replay import replay_pattern, summarize
from savoryhill.core.scheduling.read_queue import ReadQueue


class TestReadQueue:
    @pytest.fixture
    def queue(self):
        queue = ReadQueue()
        queue.add("whole", 0.5, 0.0, is_part=False, ends_by=4.0)
        queue.add("part", 1.0, 0.0, is_part=True, ends_by=2.0)
        return queue

    def test_pending_decreases_with_time(self, queue):
        assert queue.pending_s(0.0) == pytest.approx(1.5)
        assert queue.pending_s(1.2) == pytest.approx(0.3)
        assert queue.pending_s(1.5) == 0.0

    def test_new_part_delays_what_was_there(self, queue):
        # The part ends at 1.0 and may at 2.0, the whole prompt at 1.5 and 4.0.
        assert queue.slack_s(0.0) == pytest.approx(1.0)
        queue.add("new", 0.4, 0.0, is_part=True, ends_by=9.0)
        assert queue.slack_s(0.0) == pytest.approx(0.6)
        queue.finish("new", 0.4)
        assert queue.slack_s(0.4) == pytest.approx(0.6)

    def test_whole_prompt_is_read_after_the_parts(self, queue):
        queue.finish("part", 0.2)
        assert queue.slack_s(0.2) == pytest.approx(4.0 - 0.7)

    def test_engine_that_is_late_has_pending_reading(self, queue):
        assert queue.pending_s(5.0) == pytest.approx(0.25 * 1.5)
        queue.finish("whole", 5.0)
        queue.finish("part", 5.0)
        assert (queue.pending_s(5.0), queue.slack_s(5.0)) == (0.0, float("inf"))

    def test_part_that_waits_for_other_engines_is_not_pending(self, queue):
        assert queue.pending_s(1.7) == 0.0

    def test_agrees_with_the_engine(self):
        engine, queue = ReadingEngine(id="e"), ReadQueue()
        for job, (at, seconds, is_part) in enumerate(
            [(0.0, 1.0, True), (0.5, 2.0, False), (0.7, 0.4, True), (0.9, 0.3, True)]
        ):
            while engine.reads and queue._advanced_at < at:
                step_s = min(engine.next_end_s(), at - queue._advanced_at)
                now = queue._advanced_at + step_s
                ended = engine.advance(step_s)
                assert queue.pending_s(now) == pytest.approx(
                    sum(read.left_s for read in engine.reads)
                )
                if ended is not None:
                    queue.finish(ended, now)
            engine.add(job, seconds, is_part=is_part)
            queue.add(job, seconds, at, is_part=is_part, ends_by=99.0)


class TestBurstsOfLongPrompts:
    """The share of prompts in time is the one that TestLoadSwing asks for."""

    @pytest.mark.parametrize("pattern", ["wave", "burst", "swing"])
    def test_prompts_of_each_size_meet_their_objective(self, pattern):
        # Guards against parts that are put before those of other prompts, which are
        # then late, given up as silent and read again from the start.
        prompts = [
            prompt
            for seed in range(4)
            for prompt in replay_pattern(pattern, n_engines=18, seed=seed)
        ]
        for kind, some in summarize(prompts).items():
            assert some["in_time"] >= 0.9 * some["n"], (kind, some)

    def test_no_sound_run_is_given_up_in_an_ordinary_wave(self):
        for seed in range(8):
            prompts = replay_pattern("wave", n_engines=18, seed=seed)
            assert sum(prompt.n_runs > 1 for prompt in prompts) == 0

    @pytest.mark.parametrize("seed", range(3))
    def test_it_does_not_matter_which_node_leads(self, seed):
        # Guards against an order of equally good engines that decides on the day.
        for number in range(9):
            prompts = replay_pattern(
                "wave", n_engines=18, seed=seed, node=f"edge-{number}"
            )
            long = summarize(prompts)["long"]
            assert long["in_time"] >= 0.9 * long["n"] - 1, (number, long)


class TestReplay:
    def test_bad_input_is_refused(self):
        with pytest.raises(ValueError, match="pattern must be one of"):
            replay_pattern("unknown", n_engines=18, seed=1)
        with pytest.raises(ValueError, match="n_engines"):
            replay_pattern("wave", n_engines=0, seed=1)
