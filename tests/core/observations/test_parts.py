"""Tests of the digests of prompt parts."""

from savoryhill.core.observations.parts import MAX_PARTS, digest_parts


class TestDigests:
    def test_part_of_another_service_has_another_digest(self):
        # Guards against refusing a part that only engines of another service can't
        # serve.
        assert digest_parts("pool", ["5c1e"]) != digest_parts("other", ["5c1e"])

    def test_repeated_parts_count_once_and_their_number_is_bounded(self):
        ids = [f"{n:x}" for n in range(200)]
        assert len(digest_parts("pool", ["5c1e", "5c1e"])) == 1
        assert digest_parts("pool", ids) == digest_parts("pool", ids)[:MAX_PARTS]
