import time
from random import Random

import gevent
import pytest

from savoryhill.endpoints.engine import (
    cancel_stream,
    prefill_part,
    send_order,
    stream_completion,
)
from savoryhill.errors import EndpointRefusedError, NotSentError
from savoryhill.httpapp import serve
from savoryhill.standins.engine import (
    EngineState,
    engine_application,
    memory_used,
    run_engine,
)


@pytest.fixture
def engine():
    state = EngineState(
        id="e",
        model="m",
        prefill_tokens_per_s=1e6,
        decode_tokens_per_s=2_000.0,
        memory_tokens=10_000,
        slots=4,
        clock=time.monotonic,
        random=Random(1),
        time_scale=100.0,
    )
    server, state.address = serve(engine_application(state), "127.0.0.1:0")
    loop = gevent.spawn(run_engine, state)
    yield state
    loop.kill()
    server.stop(timeout=0.2)


def prefill(engine, request_id, n_tokens):
    prefill_part(
        engine.address,
        request_id=request_id,
        n_tokens=n_tokens,
        imported_tokens=0,
        fence=1,
        incarnation=engine.incarnation,
        priority=1,
        timeout_s=5.0,
    )


class TestPrefillParts:
    def test_a_part_holds_memory_until_it_is_cancelled(self, engine):
        prefill(engine, "r", 4_000)
        assert memory_used(engine) == 4_000
        cancel_stream(engine.address, "r")
        assert memory_used(engine) == 0

    def test_a_part_that_does_not_fit_is_refused(self, engine):
        with pytest.raises(EndpointRefusedError, match="do not fit"):
            prefill(engine, "r", 11_000)


class TestOrders:
    # Guards against a former issuer that keeps sending orders after a takeover.
    def test_an_order_with_an_old_fence_is_refused(self, engine):
        order = {"action": "load_version", "value": "2"}
        assert send_order(engine.address, fence=5, **order)
        assert engine.version == "2"
        with pytest.raises(EndpointRefusedError, match="fence 4"):
            send_order(engine.address, fence=4, **order)

    # Guards against requests that are refused because an order has a higher fencing
    # token: engines track the tokens of orders and of requests separately.
    def test_fence_of_an_order_does_not_affect_requests(self, engine):
        assert send_order(engine.address, fence=9, action="change_role", value="x")
        chunks = stream_completion(
            engine.address,
            body={"prompt": "x" * 400, "max_tokens": 3},
            request_id="r",
            fence=1,
            incarnation=engine.incarnation,
            priority=0,
            from_offset=0,
            gap_limit_s=5.0,
        )
        assert sum(chunk.n_tokens for chunk in chunks) == 3

    def test_failed_order_is_reported(self, engine):
        engine.fail_orders = True
        assert not send_order(engine.address, fence=1, action="load_version", value="2")

    def test_order_to_an_unreachable_engine_is_not_sent(self):
        with pytest.raises(NotSentError):
            send_order("127.0.0.1:1", fence=1, action="load_version", value="2")
