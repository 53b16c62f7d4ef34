import pytest

from savoryhill.bench import routing_driver as drive

LONG = 100_000


def warm_driver(*, policy="savoryhill", **more):
    driver = drive.make_driver(drive.make_configuration(**more), policy=policy)
    drive.report_all_loads(driver)
    return driver


def group_of(driver):
    return driver.state.routing.groups_by_id["group-0"]


class TestPriorities:
    def test_short_prompts_run_before_long_ones_on_the_engine(self):
        driver = warm_driver()
        short = drive.place(driver)
        long = drive.place(driver, prompt_tokens=LONG)
        assert short.priority < long.priority

    def test_waiting_short_prompt_is_served_before_an_earlier_long_one(self):
        driver = warm_driver(n_engines=1, slots=1)
        first = drive.place(driver)
        drive.place(driver, "long", prompt_tokens=LONG)
        drive.place(driver, "short")
        drive.release(driver, first)
        assert list(driver.replies_by_key)[-1] == ("short", 1)

    def test_long_prompt_is_not_starved_by_short_ones(self):
        driver = warm_driver(n_engines=1, slots=1)
        running = drive.place(driver)
        drive.place(driver, "long", prompt_tokens=LONG, remaining_s=60.0)
        for number in range(40):
            drive.place(driver, f"short-{number}", remaining_s=60.0)
            drive.advance(driver, 0.5)
            drive.release(driver, running)
            running = list(driver.replies_by_key.values())[-1]
            if running.request_id == "long":
                break
        assert driver.now - 100.0 < 6.0


class TestLongPrompts:
    def test_some_engines_take_none(self):
        driver = warm_driver(n_engines=8)
        used = set()
        for _ in range(40):
            reply = drive.place(driver, prompt_tokens=LONG, remaining_s=300.0)
            drive.advance(driver, 0.25)
            used |= {reply.endpoint} if reply else set()
        assert 1 <= len(used) <= 7

    def test_boundary_follows_the_load(self):
        driver = warm_driver(n_engines=8)
        start = group_of(driver).n_long_endpoints
        for _ in range(60):
            drive.place(driver, prompt_tokens=LONG, remaining_s=300.0)
        drive.advance(driver, 4.0)
        assert group_of(driver).n_long_endpoints == 7
        for _ in range(2):
            for reply in list(driver.replies_by_key.values()):
                drive.release(driver, reply)
        for _ in range(60):
            drive.place(driver, remaining_s=300.0)
        drive.advance(driver, 8.0)
        assert group_of(driver).n_long_endpoints < start

    def test_number_on_one_engine_is_limited(self):
        driver = warm_driver(n_engines=2, slots=8)
        replies = [
            drive.place(driver, prompt_tokens=80_000, remaining_s=300.0)
            for _ in range(8)
        ]
        # The second engine takes no long prompts, the first at most in half its slots.
        assert sum(reply is not None for reply in replies) == 4

    def test_endpoint_is_reserved_for_an_aged_prompt_that_does_not_fit(self):
        # Without a reservation, smaller long prompts take all memory as soon as it is
        # freed.
        driver = warm_driver(n_engines=1, slots=4)
        running = [
            drive.place(driver, prompt_tokens=LONG, remaining_s=300.0) for _ in range(2)
        ]
        drive.place(driver, "big", prompt_tokens=550_000, remaining_s=250.0)
        for number in range(30):
            drive.place(driver, f"{number}", prompt_tokens=LONG, remaining_s=300.0)
        for _ in range(12):
            drive.advance(driver, 1.0)
            drive.report_permits(
                driver, *(drive.make_held_permit(reply) for reply in running)
            )
            drive.release(driver, running.pop(0))
            held = {reply.request_id for reply in running}
            running += [
                reply
                for reply in driver.replies_by_key.values()
                if reply.endpoint and reply.request_id not in held
            ]
            driver.replies_by_key = {
                key: reply
                for key, reply in driver.replies_by_key.items()
                if key[0] == "big"
            }
            if driver.replies_by_key:
                break
        assert driver.replies_by_key["big", 1].status == "granted"


class TestPrefixAffinity:
    HASHES = (11, 12, 13, 14)

    def test_endpoint_with_the_cached_prefix_is_chosen(self):
        driver = warm_driver(n_engines=4)
        drive.report_load(driver, "engine-3", cached_prefixes=self.HASHES)
        reply = drive.place(driver, prompt_tokens=3_900, prefix_hashes=self.HASHES)
        assert (reply.endpoint, reply.cached_tokens) == ("engine-3", 3_900)

    def test_recently_placed_prefix_counts_before_a_cache_event_arrives(self):
        driver = warm_driver(n_engines=4)
        first = drive.place(driver, prompt_tokens=3_900, prefix_hashes=self.HASHES)
        drive.advance(driver, 1.0)
        hashes = (*self.HASHES[:3], 99)
        second = drive.place(driver, prompt_tokens=3_900, prefix_hashes=hashes)
        assert second.endpoint == first.endpoint
        assert second.cached_tokens == 2_048

    def test_prefix_that_the_endpoint_no_longer_lists_does_not_count(self):
        driver = warm_driver(n_engines=1)
        drive.place(driver, prompt_tokens=3_900, prefix_hashes=self.HASHES)
        drive.advance(driver, 11.0)
        drive.report_load(driver, "engine-0", cached_prefixes=(1, 2))
        reply = drive.place(driver, prompt_tokens=3_900, prefix_hashes=self.HASHES)
        assert reply.cached_tokens == 0

    def test_busy_endpoint_is_not_chosen_although_it_has_the_prefix(self):
        # Otherwise requests with a popular prefix queue on one endpoint while others
        # are idle.
        driver = warm_driver(n_engines=4, slots=16)
        drive.report_load(driver, "engine-3", cached_prefixes=self.HASHES[:2])
        endpoints = {
            drive.place(
                driver, prompt_tokens=3_900, prefix_hashes=self.HASHES[:2]
            ).endpoint
            for _ in range(12)
        }
        assert len(endpoints) > 1


class TestBaselines:
    @pytest.mark.parametrize("policy", ["random", "round-robin", "least-outstanding"])
    def test_one_queue_without_priorities_and_with_the_same_limits(self, policy):
        driver = warm_driver(policy=policy, n_engines=2, slots=2)
        replies = [drive.place(driver, prompt_tokens=LONG) for _ in range(4)]
        assert [reply.priority for reply in replies] == [0] * 4
        assert sorted(reply.endpoint for reply in replies) == [
            "engine-0",
            "engine-0",
            "engine-1",
            "engine-1",
        ]
        drive.place(driver, "long", prompt_tokens=LONG)
        drive.place(driver, "short")
        drive.release(driver, replies[0])
        assert driver.replies_by_key["long", 1].status == "granted"
        assert ("short", 1) not in driver.replies_by_key

    def test_round_robin_uses_all_endpoints_in_turn(self):
        driver = warm_driver(policy="round-robin", n_engines=3)
        endpoints = [drive.place(driver).endpoint for _ in range(6)]
        assert endpoints == ["engine-0", "engine-1", "engine-2"] * 2

    def test_least_outstanding_prefers_the_endpoint_with_the_fewest_permits(self):
        driver = warm_driver(policy="least-outstanding", n_engines=2)
        first = drive.place(driver)
        second = drive.place(driver)
        drive.release(driver, second)
        assert drive.place(driver).endpoint == second.endpoint != first.endpoint
