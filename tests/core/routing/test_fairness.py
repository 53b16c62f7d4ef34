from collections import Counter

import pytest

from savoryhill.bench import routing_driver as drive
from savoryhill.config.model import RequestKind, Workspace
from savoryhill.core.routing import fairness


def make_workspace(name, **more):
    return Workspace(name=name, key_hashes=(), **more)


def warm_driver(*workspaces, **more):
    values = {"n_engines": 1, "slots": 2, "workspaces": workspaces, **more}
    driver = drive.make_driver(drive.make_configuration(**values))
    drive.report_all_loads(driver)
    return driver


def served_tokens(driver, demands, *, n_rounds):
    """Keep requests of every workspace queued; count the tokens granted to each."""
    tokens = Counter()
    for _ in range(n_rounds):
        group = driver.state.routing.groups_by_id["group-0"]
        waiting = Counter(
            each.message.workspace for each in group.pending_by_key.values()
        )
        for name, prompt_tokens in demands.items():
            for _ in range(3 - waiting[name]):
                driver.n_requests += 1
                drive.place(
                    driver,
                    f"{name}/{prompt_tokens}/{driver.n_requests}",
                    workspace=name,
                    prompt_tokens=prompt_tokens,
                    max_tokens=1,
                    remaining_s=1e6,
                )
        for reply in [
            reply for reply in driver.replies_by_key.values() if reply.endpoint
        ]:
            name, n_tokens, _ = reply.request_id.split("/")
            tokens[name] += int(n_tokens)
            del driver.replies_by_key[reply.request_id, 1]
            drive.release(driver, reply, n_tokens=1)
    return tokens


class TestVirtualCounters:
    def test_equal_weights_share_tokens_not_requests(self):
        # If requests were shared equally, the workspace with prompts three times as
        # long would get three times the tokens.
        driver = warm_driver()
        tokens = served_tokens(driver, {"small": 1_000, "large": 3_000}, n_rounds=200)
        assert tokens["large"] / tokens["small"] == pytest.approx(1.0, rel=0.1)

    def test_tokens_are_shared_by_weight(self):
        driver = warm_driver(
            make_workspace("one", weight=3.0), make_workspace("two", weight=1.0)
        )
        tokens = served_tokens(driver, {"one": 1_000, "two": 1_000}, n_rounds=200)
        assert tokens["one"] / tokens["two"] == pytest.approx(3.0, rel=0.1)

    def test_idle_workspace_does_not_accumulate_credit(self):
        # Otherwise it would be served before all others until its counter has caught
        # up.
        driver = warm_driver()
        before = served_tokens(driver, {"early": 1_000}, n_rounds=100)
        after = served_tokens(driver, {"early": 1_000, "late": 1_000}, n_rounds=40)
        assert before["early"] > 100_000
        assert after["early"] / after["late"] == pytest.approx(1.0, rel=0.1)

    def test_unused_answer_tokens_are_refunded(self):
        driver = warm_driver()
        reply = drive.place(driver, max_tokens=1_000)
        drive.release(driver, reply, n_tokens=10)
        group = driver.state.routing.groups_by_id["group-0"]
        assert group.counters_by_workspace["one"] == 1_000 + 2.0 * 10

    def test_kind_with_the_higher_weight_is_first_if_the_policy_prefers_weights(self):
        kinds = (
            RequestKind(name="light", deadline_s=60.0),
            RequestKind(name="heavy", deadline_s=60.0, answered_weight=5.0),
        )
        configuration = drive.make_configuration(n_engines=1, slots=1, kinds=kinds)
        policy = type(configuration.policy)(prefer="answered_weighted")
        driver = drive.make_driver(drive.amend(configuration, policy=policy))
        drive.report_all_loads(driver)
        first = drive.place(driver)
        drive.place(driver, "a", kind="light")
        drive.place(driver, "b", kind="heavy")
        drive.release(driver, first)
        assert ("b", 1) in driver.replies_by_key
        assert ("a", 1) not in driver.replies_by_key


class TestOutstandingTokens:
    @pytest.mark.parametrize("n_engines", [8, 20, 100])
    def test_limit_holds_in_sum_over_all_groups(self, n_engines):
        # If every coordinator enforced the whole limit, it could be exceeded by a
        # factor of the number of groups.
        limit = 100_000
        driver = warm_driver(
            make_workspace("one", max_outstanding_tokens=limit),
            n_engines=n_engines,
            slots=8,
        )
        for group in driver.state.active.groups:
            for _ in range(60):
                drive.place(driver, group=group.id, prompt_tokens=1_900, max_tokens=100)
        outstanding = sum(
            group.outstanding_by_workspace.get("one", 0)
            for group in driver.state.routing.groups_by_id.values()
        )
        assert 0.5 * limit < outstanding <= limit

    def test_released_permit_allows_the_next_request(self):
        driver = warm_driver(
            make_workspace("one", max_outstanding_tokens=2_200), slots=8
        )
        replies = [drive.place(driver, f"r{number}") for number in range(3)]
        assert replies[2] is None
        drive.release(driver, replies[0])
        assert ("r2", 1) in driver.replies_by_key

    def test_other_workspaces_are_not_delayed(self):
        driver = warm_driver(
            make_workspace("one", max_outstanding_tokens=1_100), slots=8
        )
        drive.place(driver, "a")
        assert drive.place(driver, "b") is None
        assert drive.place(driver, "c", workspace="two") is not None

    def test_request_above_a_group_share_is_sent_to_the_home_group(self):
        driver = warm_driver(
            make_workspace("one", max_outstanding_tokens=100_000), n_engines=20, slots=8
        )
        configuration = driver.state.active
        home_ids = fairness.eligible_groups(configuration, "one", drive.MODEL, 40_000)
        assert len(home_ids) == 1
        replies = {
            group.id: drive.place(
                driver, group=group.id, prompt_tokens=39_000, max_tokens=1_000
            )
            for group in configuration.groups
        }
        assert {group for group, reply in replies.items() if reply.endpoint} == set(
            home_ids
        )
        assert {
            reply.detail for reply in replies.values() if reply.status == "moved"
        } == set(home_ids)

    def test_refusal_of_a_request_above_every_share_names_the_limit(self):
        driver = warm_driver(
            make_workspace("one", max_outstanding_tokens=10_000), n_engines=20
        )
        reply = drive.place(driver, prompt_tokens=9_000)
        assert reply.status == "refused"
        assert "max_outstanding_tokens 10000" in reply.detail

    def test_adopted_permits_count_towards_the_limit(self):
        driver = warm_driver(
            make_workspace("one", max_outstanding_tokens=2_200), slots=8
        )
        reply = drive.place(driver, "x", workspace="two")
        drive.release(driver, reply)
        held = drive.make_held_permit(reply, workspace="one")
        drive.report_permits(
            driver, type(held)(**{**_field_values(held), "request_id": "y"})
        )
        assert drive.place(driver, "a") is not None
        assert drive.place(driver, "b") is None


def _field_values(held):
    return {name: getattr(held, name) for name in held.__dataclass_fields__}
