from random import Random

import pytest
from falcon import testing

from savoryhill.prompts import prefix_chain
from savoryhill.standins.engine import EngineState, engine_application, token_text
from savoryhill.standins.engine.batching import step


@pytest.fixture
def engine():
    times = [0.0]
    state = EngineState(
        id="e",
        model="m",
        prefill_tokens_per_s=1000.0,
        decode_tokens_per_s=100.0,
        memory_tokens=4000,
        slots=4,
        clock=lambda: times[0],
        random=Random(1),
        cache_event_loss=0.0,
    )
    state.times = times
    return state


@pytest.fixture
def client(engine):
    return testing.TestClient(engine_application(engine))


def post_completion(client, request_id, prompt, *, max_tokens=8, **headers):
    return client.simulate_post(
        "/v1/completions",
        json={"prompt": prompt, "max_tokens": max_tokens},
        headers={"X-Request-Id": request_id, **headers},
    )


def add_job(engine, request_id, n_tokens, priority=0, max_tokens=8):
    from savoryhill.standins.engine.state import Job

    engine.jobs_by_id[request_id] = Job(
        request_id=request_id,
        priority=priority,
        prompt_tokens=n_tokens,
        max_tokens=max_tokens,
        digest=b"d",
        prefixes=prefix_chain(b"x" * n_tokens * 4),
        next_offset=0,
        remaining_prefill_tokens=float(n_tokens),
    )
    return engine.jobs_by_id[request_id]


class TestBatching:
    def test_short_prompt_of_higher_priority_is_prefilled_first(self, engine):
        long = add_job(engine, "long", 3000, priority=1)
        short = add_job(engine, "short", 500, priority=0)
        step(engine, 0.5)
        assert (long.remaining_prefill_tokens, short.remaining_prefill_tokens) == (
            3000.0,
            0.0,
        )

    def test_resumed_stream_repeats_the_same_tokens(self, engine, client):
        job = add_job(engine, "r", 10)
        step(engine, 0.1)
        step(engine, 0.1)
        assert job.next_offset == 8
        response = post_completion(client, "r", "ignored", **{"X-Resume-Offset": "3"})
        assert '"offset": 3' in response.text
        assert token_text(b"d", 3).strip() in response.text
        assert response.text.endswith("data: [DONE]\n\n")


class TestRefusals:
    def test_request_that_exceeds_memory_is_refused_before_running(
        self, engine, client
    ):
        response = post_completion(client, "r", "x" * 20_000)
        assert response.status_code == 429
        assert engine.jobs_by_id == {}

    def test_request_for_another_incarnation_is_refused(self, engine, client):
        response = post_completion(client, "r", "x", **{"X-Incarnation": "e#9"})
        assert response.status_code == 412

    def test_outdated_fence_is_refused_only_if_fencing_is_checked(self, engine, client):
        engine.highest_fence = 5
        assert post_completion(client, "r", "x", **{"X-Fence": "4"}).status_code == 409
        engine.checks_fencing = False
        add_job(engine, "s", 1)
        step(engine, 0.1)
        step(engine, 0.1)
        assert post_completion(client, "s", "x", **{"X-Fence": "4"}).status_code == 200

    def test_cold_engine_crashes_above_its_cold_limit(self, engine, client):
        engine.warm = False
        add_job(engine, "first", 10)
        assert post_completion(client, "second", "x").status_code == 503
        assert engine.n_cold_violations == 1
        assert engine.jobs_by_id == {}
        assert engine.incarnation == "e#2"


class TestContinuation:
    # Guards against a stream that is resumed on another engine without the text so
    # far: the engine would continue a text that it does not know.
    @pytest.mark.parametrize("continuation", [None, "something else "])
    def test_continuation_must_equal_the_text_so_far(
        self, engine, client, continuation
    ):
        response = client.simulate_post(
            "/v1/completions",
            json={"prompt": "x", "max_tokens": 8, "continuation": continuation},
            headers={"X-Request-Id": "r", "X-Resume-Offset": "3"},
        )
        assert response.status_code == 400
        assert engine.jobs_by_id == {}


class TestLoadAndCancel:
    def test_load_is_reported_with_a_lag(self, engine, client):
        assert client.simulate_get("/admin/load").json["running"] == 0
        add_job(engine, "r", 10)
        engine.times[0] = 0.1
        assert client.simulate_get("/admin/load").json["running"] == 0
        engine.times[0] = 0.4
        assert client.simulate_get("/admin/load").json["running"] == 1

    def test_detached_stream_keeps_its_memory_until_it_is_cancelled(
        self, engine, client
    ):
        add_job(engine, "r", 10)
        for _ in range(10):
            step(engine, 0.1)
        assert "r" in engine.jobs_by_id
        assert client.simulate_post("/admin/cancel/r").json == {"cancelled": True}
        assert engine.jobs_by_id == {}
