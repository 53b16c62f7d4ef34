import pytest

from savoryhill.errors import PlatformUnreachableError
from savoryhill.httpapp import serve
from savoryhill.platform.weights import has_weights, weights_name
from savoryhill.standins.platform import PlatformState, platform_application


@pytest.fixture
def platform():
    state = PlatformState()
    server, address = serve(platform_application(state), "127.0.0.1:0")
    yield state, address
    server.stop(timeout=0.2)


class TestWeights:
    # Guards against an engine that unloads its version to load one that does not exist.
    def test_only_stored_weights_are_found(self, platform):
        state, address = platform
        state.weights_by_name[weights_name("assistant", "2")] = b"weights"
        assert has_weights(address, "assistant:2")
        assert not has_weights(address, "assistant:3")

    def test_unreachable_store_raises_instead_of_reporting_absence(self):
        with pytest.raises(PlatformUnreachableError):
            has_weights("127.0.0.1:1", "assistant:2")
