"""Parts of prompts that end the engines that answer them."""

from functools import partial
from types import SimpleNamespace

import gevent
import pytest

from savoryhill.core.observations.crashes import SOUND_S
from savoryhill.core.observations.parts import digest_part
from savoryhill.observability.metrics import prometheus_text
from savoryhill.serving import stream_forwarder
from savoryhill.serving.crash_guard import CrashGuard
from savoryhill.serving.shared_observations import ObservationSharing
from savoryhill.soak.deployment import route

N_ENGINES = 8
# Crashes after which it is certain that requests with the part end engines, and
# requests with it that may still reach engines.
CERTAIN_CRASHES = 5
MAX_LATER_ARRIVALS = 3


@pytest.fixture
def engines(deployment):
    """Engines that end when they begin to answer a prompt with the part ``dead``.

    They come back as another start of the engine.
    """
    engines = [
        deployment.add_endpoint(
            f"e{n}", service="pool", zone=f"zone-{n % 3}", crashing_parts={"dead"}
        )
        for n in range(N_ENGINES)
    ]
    for number, engine in enumerate(engines):
        engine.on_return = partial(
            register_return, deployment, engine, zone=f"zone-{number % 3}"
        )
    return engines


def register_return(deployment, engine, *, zone):
    born = 1 + len(engine.crashes)
    deployment.register(engine.id, service="pool", zone=zone, born=born)


def await_return(deployment, engines):
    """Wait until all engines are back, and the newest node knows it."""
    view = deployment.nodes[-1].context.cluster_view

    def is_known(engine):
        known = view.endpoints_by_id[engine.id].incarnation
        return known.endswith(f"@{1 + len(engine.crashes)}")

    deployment.wait_until(
        lambda: all(not engine.is_down and is_known(engine) for engine in engines)
    )


def crash_times(engines):
    return sorted(at for engine in engines for _, at in engine.crashes)


def arrivals_of_part(engines, part):
    """Return the times at which requests with a part reached engines."""
    return sorted(
        arrival.at
        for engine in engines
        for arrival in engine.arrivals
        if part in dict(arrival.headers).get(b"x-prompt-prefix", b"")
    )


def n_later_arrivals(engines):
    """Return how many requests reached engines when it was certain what they do."""
    certain_at = [*crash_times(engines), float("inf")][:CERTAIN_CRASHES][-1]
    return sum(at > certain_at for at in arrivals_of_part(engines, b"dead"))


def ask_with_part(deployment, number, *, node=0):
    return deployment.ask(
        "/chat/x",
        node=node,
        body=b"%d" % number,
        x_prompt_prefix=f"aa:40,dead:900,{number:x}:60",
    )


def ask_sound(deployment, number, *, node=0):
    return deployment.ask(
        "/chat/x",
        node=node,
        body=b"%d" % number,
        x_prompt_prefix=f"aa:40,bb:900,{number:x}:60",
    )


class TestCrashingPart:
    @pytest.mark.parametrize("crashes_at_event", (1, 2, 5))
    def test_part_does_not_end_engine_after_engine(
        self, deployment, engines, crashes_at_event
    ):
        # Guards against requests with one part that end back ends one after the other,
        # new ones and repeats, at all nodes; also if some events were sent before.
        for engine in engines:
            engine.crashes_at_event = crashes_at_event
            engine.n_events = 20
        for _ in range(2):
            deployment.add_node()
        deployment.wait_until(
            lambda: any(node._dispatcher._link for node in deployment.nodes)
        )
        for number in range(16):
            ask_sound(deployment, number, node=number % 2)
            ask_with_part(deployment, number, node=number % 2)
        n_crashes = len(crash_times(engines))
        n_later = n_later_arrivals(engines)
        assert n_later <= MAX_LATER_ARRIVALS, f"{n_crashes} engines ended"

    def test_sound_requests_with_the_same_key_and_first_part_are_served(
        self, deployment, engines
    ):
        deployment.add_node()
        for number in range(6):
            ask_with_part(deployment, number)
        await_return(deployment, engines)
        answers = [ask_sound(deployment, number)[::2] for number in range(6)]
        assert [status for status, _ in answers] == [200] * 6, answers

    def test_refusal_is_immediate_and_names_no_time_to_return(
        self, deployment, engines
    ):
        # Guards against a request that waits or is sent although no engine can answer
        # it, and against clients that are told to come back in vain.
        node = deployment.add_node()
        ask_sound(deployment, 0)
        for number in range(4):
            ask_with_part(deployment, number)
        n_crashes = len(crash_times(engines))
        with gevent.Timeout(0.2):
            status, headers, body, complete = ask_with_part(deployment, 9)
        assert (status, complete) == (503, True)
        assert digest_part("pool", "dead").encode() in body
        assert b"retry-after" not in headers
        assert len(crash_times(engines)) == n_crashes
        refused = deployment.lines[0].fields_of("part.refused")
        assert [fields["part"] for fields in refused] == [digest_part("pool", "dead")]
        assert "parts_refused{} 1" in prometheus_text(node.context.metrics)

    def test_node_that_joins_or_takes_over_knows_the_part(self, deployment, engines):
        # Guards against engines that end again after a restart or a hand-over.
        first = deployment.add_node()
        for number in range(4):
            ask_with_part(deployment, number)
        n_crashes = len(crash_times(engines))
        second = deployment.add_node()
        deployment.wait_until(lambda: second.context.crash_guard.crashing_by_part)
        first.stop()
        deployment.wait_until(second._dispatcher.is_leader)
        await_return(deployment, engines)
        assert ask_with_part(deployment, 9, node=1)[0] == 503
        assert len(crash_times(engines)) == n_crashes

    def test_prompt_that_waits_on_an_engine_is_withdrawn(self, deployment):
        # Guards against prompts that were sent before the part was known, and end
        # their engine after that.
        slow = deployment.add_endpoint(
            "slow", service="pool", crashing_parts={"dead"}, event_interval_s=0.9
        )
        for n in range(4):
            deployment.add_endpoint(
                f"e{n}", service="pool", zone="zone-b", crashing_parts={"dead"}
            )
        deployment.add_node()
        waiting = deployment.open(
            "/chat/x",
            x_prompt_prefix="aa:40,dead:900,1:60",
            x_token_counts="12000,100",
        )
        deployment.wait_until(lambda: slow.arrivals)
        for number in range(2):
            ask_with_part(deployment, number)
        with gevent.Timeout(0.3):
            status, _, body, _ = deployment.finish(waiting)
        assert (status, digest_part("pool", "dead").encode() in body) == (502, True)
        deployment.wait_until(lambda: slow.n_cancelled == 1, limit_s=1.5)
        assert slow.crashes == []

    def test_part_of_requests_that_are_no_streams_is_refused_as_well(
        self, deployment, engines
    ):
        # Guards against engines that end one after the other under requests which are
        # not placed by the leader.
        read = route("read", "idempotent", "pool")
        deployment.configure(version=2, routes=[read])
        deployment.add_node()
        for number in range(12):
            parts = f"aa:40,bb:900,{number:x}:60"
            assert deployment.ask("/read/x", x_prompt_prefix=parts)[0] == 200
            parts = f"aa:40,dead:900,{number:x}:60"
            status, _, body, _ = deployment.ask("/read/x", x_prompt_prefix=parts)
            assert status in (502, 503)
            deployment.wait_until(lambda: not all(e.is_down for e in engines))
        assert (status, digest_part("pool", "dead").encode() in body) == (503, True)
        arrivals = arrivals_of_part(engines, b"dead")
        assert len(arrivals) <= CERTAIN_CRASHES

    def test_malformed_list_of_parts_is_served(self, deployment, engines):
        deployment.add_node()
        for value in ("", ",,,", "zz", "aa:-1,:,zz:x,9", "dead:900"):
            assert deployment.ask("/chat/x", x_prompt_prefix=value)[0] == 200


class TestPartThatIsBorne:
    """Engines end under a part for another reason, long after they began to answer."""

    def test_stream_that_was_written_for_a_while_tells_nothing_of_its_parts(
        self, deployment, engines, monkeypatch
    ):
        # Guards against refusing the parts of sound prompts whose answers are long,
        # while engines end for another reason.
        monkeypatch.setattr(stream_forwarder, "PARTS_BORNE_S", 0.2)
        for engine in engines:
            engine.event_interval_s = 0.06
            engine.crashes_at_event = 6
            engine.n_events = 20
        node = deployment.add_node()
        for number in range(4):
            ask_with_part(deployment, number)
        assert len(crash_times(engines)) > CERTAIN_CRASHES
        assert not node.context.crash_guard.n_refused(is_request=False)


class TestPromptsThatShareManyParts:
    N_SHARED = 8

    def ask(self, deployment, number, *, middle):
        shared = ",".join(f"b{part}:300" for part in range(self.N_SHARED))
        return deployment.ask(
            "/chat/x",
            body=b"%d" % number,
            x_prompt_prefix=f"aa:40,{shared},{middle}:40,{number:x}:60",
        )

    def test_sound_ones_are_tried_and_served(self, deployment, engines):
        # Guards against refusing all sound requests on a text, none of which has been
        # tried, as requests with a crashing part were on the same text.
        deployment.add_node()
        for number in range(4):
            answer = self.ask(deployment, number, middle="dead")
        assert answer[0] == 503
        await_return(deployment, engines)
        answers = [
            self.ask(deployment, 10 + number, middle="bb")[::2] for number in range(6)
        ]
        assert [status for status, _ in answers] == [200] * 6, answers
        assert self.ask(deployment, 20, middle="dead")[0] == 503
        assert len(crash_times(engines)) <= CERTAIN_CRASHES


class TestPromptsOfManyParts:
    """As many as the header of a request holds, none of them known to be sound."""

    @pytest.mark.parametrize("n_parts", (66, 100, 1_000))
    def test_crashing_part_at_the_end_is_found(self, deployment, engines, n_parts):
        # Guards against engines that end one after the other under a part that is
        # never looked at, and against a part that is forgotten for the many others.
        for _ in range(2):
            deployment.add_node()
        shared = ",".join(f"{0xA0000000 + part:08x}:1" for part in range(n_parts - 2))
        for number in range(10):
            deployment.ask(
                "/chat/x",
                node=number % 2,
                body=b"%d" % number,
                x_prompt_prefix=f"{shared},dead:40,{number:x}:60",
            )
            # Sound prompts share all parts but one.
            status, *_ = deployment.ask(
                "/chat/x",
                node=number % 2,
                body=b"s%d" % number,
                x_prompt_prefix=f"{shared},bb:40,{number:x}:60",
            )
        assert n_later_arrivals(engines) <= MAX_LATER_ARRIVALS
        assert status == 200


class TestPartOfMostPrompts:
    def test_start_clears_what_has_been_borne_lately_only(self, clock):
        # Guards against refusing the part that all prompts share, as engines end under
        # other parts so often that hardly any answer is completed.
        guard = CrashGuard(
            clock=clock,
            sharing=ObservationSharing(clock=clock),
            record=lambda event, fields: None,
        )
        engines = [
            SimpleNamespace(incarnation=f"e{n}@1", release="v1") for n in range(9)
        ]
        guard.note_start(parts=("aa",), endpoint=engines[8], sent_at=clock.now)
        for number, engine in enumerate(engines[:6]):
            clock.advance(1.0)
            guard.note_crash(
                request=f"r{number}",
                parts=("aa", "dead"),
                workspace="ws",
                endpoint=engine,
                sent_at=clock.now - 0.1,
            )
        assert set(guard.crashing_by_part) == {"aa", "dead"}
        borne = guard.borne_lately(("aa", "dead"), engines[8])
        assert borne == ("aa",)
        guard.note_start(
            parts=borne, endpoint=engines[8], sent_at=clock.now, is_borne=False
        )
        guard.review()
        assert set(guard.crashing_by_part) == {"dead"}
        clock.advance(SOUND_S)
        assert guard.borne_lately(("aa",), engines[8]) == ()
