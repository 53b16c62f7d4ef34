"""Small messages whose content has few zero bytes."""

import pytest

from savoryhill.core.observations.messages import (
    BalanceEnd,
    BalanceFailure,
    BalanceReply,
    BalanceRequest,
    ObservationItem,
    SharedObservations,
    TurnReply,
    TurnRequest,
)
from savoryhill.core.scheduling.messages import JobSubmit
from savoryhill.peers.codec import Envelope, decode, encode

# Those of a prompt that is tried; its parts are not limited in number.
NUMBERS_OF_PARTS = (*range(65), 100, 1_000)
NAMES = tuple(f"i-{'f' * n}@1792178441316" for n in range(1, 25))


def job_submit(n_parts):
    return JobSubmit(
        job_id="f" * 32,
        service="s" * 20,
        zone="z" * 20,
        workspace="w" * 20,
        prompt_tokens=2**53 - 1,
        answer_tokens=2**53 - 1,
        due_s=0.1234567891,
        ends_s=1.0 / 3.0,
        pause_s=1.0 / 7.0,
        priority=-1,
        avoid=NAMES[:4],
        endpoints=NAMES[:4],
        has_started=True,
        probed_parts=("fedcba9876543210",) * n_parts,
    )


class TestPacking:
    @pytest.mark.parametrize(
        "message",
        [
            *(job_submit(n) for n in NUMBERS_OF_PARTS),
            *(
                TurnRequest(number=-1, endpoints=NAMES[:n], max_wait_s=1.0 / 3.0)
                for n in (1, 8, 24)
            ),
            TurnReply(number=2**62 + 1, endpoint=NAMES[-1], wait_s=1.0 / 3.0),
            *(
                BalanceRequest(
                    number=-1, service="s" * 20, zone="z" * 8, avoided=NAMES[:n]
                )
                for n in (0, 1, 24)
            ),
            BalanceFailure(endpoint=NAMES[-1]),
            BalanceReply(number=2**62 + 1, endpoint=NAMES[-1]),
            BalanceEnd(
                number=2**62 + 1,
                endpoint=NAMES[-1],
                n_running=-1,
                n_waiting=2**62 + 1,
                n_slots=6,
                age_s=1.0 / 3.0,
            ),
            SharedObservations(
                items=tuple(
                    ObservationItem(
                        kind="crash",
                        subject="fedcba9876543210",
                        source=name,
                        version=-1,
                        age_s=1.0 / 3.0,
                        value=-1.0 / 7.0,
                        workspace="w" * 40,
                    )
                    for name in NAMES
                )
            ),
        ],
        ids=lambda message: type(message).__name__,
    )
    def test_message_is_read_as_it_was_sent(self, message):
        # Guards against a crash of the process: the library reserves as much space for
        # a packed message as it takes unpacked.
        envelope = Envelope(sender="n" * 20, incarnation=1, sequence=1, message=message)
        assert decode(encode(envelope)).message == message
