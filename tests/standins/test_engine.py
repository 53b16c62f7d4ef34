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


def ask(client, request_id, prompt, *, max_tokens=8, **headers):
    return client.simulate_post(
        "/v1/completions",
        json={"prompt": prompt, "max_tokens": max_tokens},
        headers={"X-Request-Id": request_id, **headers},
    )


def start(engine, request_id, n_tokens, priority=0, max_tokens=8):
    from savoryhill.standins.engine.state import Job

    engine.jobs_by_id[request_id] = Job(
        request_id=request_id,
        priority=priority,
        prompt_tokens=n_tokens,
        max_tokens=max_tokens,
        digest=b"d",
        prefixes=prefix_chain(b"x" * n_tokens * 4),
        next_offset=0,
        prefill_left=float(n_tokens),
    )
    return engine.jobs_by_id[request_id]


class TestBatching:
    def test_a_short_prompt_of_higher_priority_is_prefilled_first(self, engine):
        long = start(engine, "long", 3000, priority=1)
        short = start(engine, "short", 500, priority=0)
        step(engine, 0.5)
        assert (long.prefill_left, short.prefill_left) == (3000.0, 0.0)

    def test_the_answer_is_the_same_after_a_resume(self, engine, client):
        job = start(engine, "r", 10)
        step(engine, 0.1)
        step(engine, 0.1)
        assert job.next_offset == 8
        response = ask(client, "r", "ignored", **{"X-Resume-Offset": "3"})
        assert '"offset": 3' in response.text
        assert token_text(b"d", 3).strip() in response.text
        assert response.text.endswith("data: [DONE]\n\n")


class TestRefusals:
    def test_a_full_memory_refuses_before_running(self, engine, client):
        response = ask(client, "r", "x" * 20_000)
        assert response.status_code == 429
        assert engine.jobs_by_id == {}

    def test_another_incarnation_is_refused(self, engine, client):
        response = ask(client, "r", "x", **{"X-Incarnation": "e#9"})
        assert response.status_code == 412

    def test_an_old_fence_is_refused_only_where_fencing_is_checked(
        self, engine, client
    ):
        engine.highest_fence = 5
        assert ask(client, "r", "x", **{"X-Fence": "4"}).status_code == 409
        engine.checks_fencing = False
        start(engine, "s", 1)
        step(engine, 0.1)
        step(engine, 0.1)
        assert ask(client, "s", "x", **{"X-Fence": "4"}).status_code == 200

    def test_a_cold_engine_falls_over_above_its_cold_limit(self, engine, client):
        engine.warm = False
        start(engine, "first", 10)
        assert ask(client, "second", "x").status_code == 503
        assert engine.n_cold_violations == 1
        assert engine.jobs_by_id == {}
        assert engine.incarnation == "e#2"


class TestContinuation:
    # Guards against an answer that another engine continues without knowing it.
    @pytest.mark.parametrize("continuation", [None, "something else "])
    def test_a_continuation_must_hold_the_text_so_far(
        self, engine, client, continuation
    ):
        response = client.simulate_post(
            "/v1/completions",
            json={"prompt": "x", "max_tokens": 8, "continuation": continuation},
            headers={"X-Request-Id": "r", "X-Resume-Offset": "3"},
        )
        assert response.status_code == 400
        assert engine.jobs_by_id == {}


class TestReports:
    def test_the_load_is_published_with_a_lag(self, engine, client):
        assert client.simulate_get("/admin/load").json["running"] == 0
        start(engine, "r", 10)
        engine.times[0] = 0.1
        assert client.simulate_get("/admin/load").json["running"] == 0
        engine.times[0] = 0.4
        assert client.simulate_get("/admin/load").json["running"] == 1

    def test_a_detached_stream_keeps_its_memory_until_it_is_cancelled(
        self, engine, client
    ):
        start(engine, "r", 10)
        for _ in range(10):
            step(engine, 0.1)
        assert "r" in engine.jobs_by_id
        assert client.simulate_post("/admin/cancel/r").json == {"cancelled": True}
        assert engine.jobs_by_id == {}
