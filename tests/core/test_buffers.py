"""The bound on all buffers together."""

from hypothesis import given, settings
from hypothesis import strategies as st

from savoryhill.core.buffers import ALWAYS_KEPT_BYTES, BufferBudget

LIMIT_BYTES = 10 * ALWAYS_KEPT_BYTES
LARGE_BYTES = 4 * ALWAYS_KEPT_BYTES


def make_budget():
    return BufferBudget(limit_bytes=lambda: LIMIT_BYTES)


class TestEviction:
    def test_largest_buffer_of_the_largest_sender_goes_first(self):
        # Guards against a sound endpoint's answer that is given up for those of a
        # faulty one.
        budget = make_budget()
        evicted = []
        sound = budget.open("e1", on_evict=lambda: evicted.append("sound"))
        budget.resize(sound, LARGE_BYTES)
        for number in range(3):
            faulty = budget.open("e2", on_evict=lambda n=number: evicted.append(n))
            budget.resize(faulty, (2 + number % 2) * ALWAYS_KEPT_BYTES)
        assert evicted == [1]
        assert (sound.is_evicted, budget.n_bytes) == (False, 8 * ALWAYS_KEPT_BYTES)

    def test_growing_buffer_may_evict_itself(self):
        budget = make_budget()
        calls = []
        buffer = budget.open("e1", on_evict=lambda: calls.append(1))
        budget.resize(buffer, LIMIT_BYTES + 1)
        assert (buffer.is_evicted, budget.n_bytes, calls) == (True, 0, [])

    def test_small_buffers_and_those_being_written_stay(self):
        budget = make_budget()
        written = budget.open("e1")
        budget.resize(written, LIMIT_BYTES)
        written.is_evictable = False
        small = budget.open("e2")
        budget.resize(small, ALWAYS_KEPT_BYTES)
        large = budget.open("e3")
        budget.resize(large, ALWAYS_KEPT_BYTES + 1)
        evicted = [buffer.is_evicted for buffer in (written, small, large)]
        assert evicted == [False, False, True]

    def test_closed_buffer_keeps_nothing(self):
        budget = make_budget()
        buffer = budget.open("e1")
        budget.resize(buffer, LARGE_BYTES)
        budget.close(buffer)
        budget.close(buffer)
        budget.resize(buffer, LARGE_BYTES)
        assert budget.n_bytes == 0


class TestRefusal:
    def test_large_buffer_is_refused_and_keeps_what_it_had(self):
        budget = make_budget()
        first, second = budget.open("c1"), budget.open("c2")
        assert budget.try_resize(first, 9 * ALWAYS_KEPT_BYTES)
        assert budget.try_resize(second, ALWAYS_KEPT_BYTES)
        assert not budget.try_resize(second, ALWAYS_KEPT_BYTES + 1)
        assert (second.n_bytes, budget.n_refused) == (ALWAYS_KEPT_BYTES, 1)

    def test_small_buffer_is_never_refused(self):
        budget = make_budget()
        assert budget.try_resize(budget.open("c1"), LIMIT_BYTES)
        assert budget.try_resize(budget.open("c2"), ALWAYS_KEPT_BYTES)


STEPS = st.lists(
    st.tuples(
        st.integers(0, 5),
        st.sampled_from(["resize", "try_resize", "close", "write"]),
        st.integers(0, 12 * ALWAYS_KEPT_BYTES),
    ),
    max_size=40,
)


class TestModel:
    @settings(max_examples=200, deadline=None)
    @given(steps=STEPS)
    def test_sum_is_that_of_the_open_buffers_and_bounded(self, steps):
        budget = make_budget()
        buffers = [budget.open(f"e{number % 3}") for number in range(6)]
        for number, action, n_bytes in steps:
            buffer = buffers[number]
            if action == "close":
                budget.close(buffer)
            elif action == "write":
                buffer.is_evictable = False
            elif buffer.is_evictable and not buffer.is_evicted:
                getattr(budget, action)(buffer, n_bytes)
            assert budget.n_bytes == sum(each.n_bytes for each in buffers)
            most = LIMIT_BYTES + len(buffers) * ALWAYS_KEPT_BYTES
            assert 0 <= budget.n_bytes <= most
