import pytest

from savoryhill.bench import routing_driver as drive
from savoryhill.core.messages import HeldPermit, PlaceReply

MEMORY_TOKENS = 600_000


def warm_driver(**more):
    driver = drive.make_driver(drive.make_configuration(**more))
    drive.report_all_loads(driver)
    return driver


def used_tokens_by_endpoint(driver):
    return {
        endpoint.id: endpoint.used_tokens
        for endpoint in driver.state.routing.groups_by_id[
            "group-0"
        ].states_by_endpoint.values()
        if endpoint.used_tokens
    }


def place_oversize(driver, request_id="big", *, tokens=1_400_000, **more):
    return drive.place(
        driver,
        request_id,
        prompt_tokens=tokens,
        max_tokens=1_000,
        remaining_s=300.0,
        **more,
    )


def occupy_all(driver, n_tokens):
    """Report one permit of a long prompt on every endpoint; return the grants."""
    held = [
        HeldPermit(
            request_id=f"old-{endpoint}",
            attempt=1,
            endpoint=endpoint,
            prompt_tokens=n_tokens,
            max_tokens=0,
            first_token_seen=True,
        )
        for endpoint in driver.state.active.endpoints_by_id
    ]
    drive.report_permits(driver, *held)
    return [
        PlaceReply(
            request_id=each.request_id,
            attempt=1,
            group="group-0",
            status="granted",
            endpoint=each.endpoint,
        )
        for each in held
    ]


class TestOversize:
    @pytest.mark.parametrize("tokens", [600_000, 1_400_000, 2_300_000])
    def test_parts_cover_the_prompt_and_the_last_endpoint_streams(self, tokens):
        driver = warm_driver()
        reply = place_oversize(driver, tokens=tokens)
        assert sum(part.n_tokens for part in reply.parts) == tokens
        assert reply.parts[-1].endpoint == reply.endpoint
        assert len({part.endpoint for part in reply.parts}) == len(reply.parts) <= 4
        assert all(part.incarnation == "1" for part in reply.parts)
        assert sum(used_tokens_by_endpoint(driver).values()) == tokens + 1_000
        assert max(used_tokens_by_endpoint(driver).values()) <= MEMORY_TOKENS

    @pytest.mark.parametrize(
        "result", ["completed", "unused", "not_sent", "refused", "cancelled", "broken"]
    )
    def test_one_release_frees_every_part(self, result):
        driver = warm_driver()
        reply = place_oversize(driver)
        drive.release(driver, reply, result=result)
        drive.advance(driver, 1.5)
        drive.report_all_loads(driver, streams=())
        assert used_tokens_by_endpoint(driver) == {}
        assert driver.state.routing.groups_by_id["group-0"].oversize_key is None

    def test_report_renews_every_part_and_all_expire_without_reports(self):
        # A report names the permit only once. Parts that it does not renew would
        # expire during the prefill.
        driver = warm_driver()
        reply = place_oversize(driver)
        for _ in range(8):
            drive.advance(driver, 1.0)
            drive.report_permits(driver, drive.make_held_permit(reply))
        assert len(used_tokens_by_endpoint(driver)) == len(reply.parts)
        drive.advance(driver, 6.5)
        drive.report_all_loads(driver, streams=())
        assert used_tokens_by_endpoint(driver) == {}

    def test_repeated_request_gets_the_same_parts(self):
        driver = warm_driver()
        first = place_oversize(driver)
        assert place_oversize(driver) == first

    def test_second_oversize_prompt_waits_for_the_first(self):
        driver = warm_driver()
        first = place_oversize(driver)
        assert place_oversize(driver, "second", tokens=700_000) is None
        drive.release(driver, first)
        assert driver.replies_by_key["second", 1].status == "granted"

    def test_parts_get_all_their_memory_or_none_on_half_of_the_endpoints(self):
        # Prompts whose parts are reserved one by one can block each other forever,
        # and a prompt on every endpoint stops all other work of the group.
        driver = warm_driver()
        occupy_all(driver, 400_000)
        before = used_tokens_by_endpoint(driver)
        assert place_oversize(driver) is None
        assert used_tokens_by_endpoint(driver) == before

    def test_no_long_prompts_are_placed_on_endpoints_reserved_for_a_pending_one(self):
        driver = warm_driver(slots=4)
        held = occupy_all(driver, 300_000)
        assert place_oversize(driver, tokens=2_300_000) is None
        for each in held:
            for _ in range(3):
                drive.place(driver, prompt_tokens=250_000, remaining_s=400.0)
            drive.advance(driver, 0.5)
            drive.release(driver, each)
        assert driver.replies_by_key["big", 1].status == "granted"

    def test_is_granted_although_smaller_prompts_before_it_do_not_fit(self):
        driver = warm_driver()
        for _ in range(8):
            drive.place(driver, prompt_tokens=400_000, remaining_s=300.0)
        assert place_oversize(driver).status == "granted"

    def test_refusal_of_a_prompt_that_fits_no_group_names_the_limit(self):
        driver = warm_driver()
        reply = place_oversize(driver, tokens=2_400_000)
        assert (reply.status, reply.retry_after_s) == ("refused", 0.0)
        assert "limit of 2400000 tokens" in reply.detail

    def test_closed_endpoints_reduce_the_largest_prompt_temporarily(self):
        driver = warm_driver(n_zones=2)
        amended = drive.amend(driver.state.active, withdrawn=("zone-0",))
        drive.configure(driver, amended)
        assert place_oversize(driver, tokens=2_300_000).parts
        leaving = tuple(f"engine-{number}" for number in (1, 3))
        drive.configure(
            driver, drive.amend(amended, withdrawn=("zone-0",), leaving=leaving)
        )
        reply = place_oversize(driver, "second", tokens=2_300_000)
        assert (reply.status, reply.retry_after_s) == ("refused", 30.0)

    def test_new_coordinator_counts_the_reported_parts(self):
        reply = place_oversize(warm_driver())
        driver = warm_driver()
        drive.report_permits(
            driver, drive.make_held_permit(reply, prompt_tokens=1_400_000)
        )
        assert len(used_tokens_by_endpoint(driver)) == len(reply.parts)
        assert place_oversize(driver, "second", tokens=700_000) is None
        drive.release(driver, reply)
        assert driver.replies_by_key["second", 1].status == "granted"

    def test_streams_of_all_parts_are_not_orphans(self):
        driver = warm_driver()
        reply = place_oversize(driver)
        for _ in range(6):
            drive.advance(driver, 1.0)
            drive.report_permits(driver, drive.make_held_permit(reply))
            effects = drive.report_all_loads(driver, streams=("big",))
            assert not [
                effect for effect in effects if type(effect).__name__ == "CancelStream"
            ]
