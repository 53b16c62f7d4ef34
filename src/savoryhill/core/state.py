"""State of a node's decision core."""

from dataclasses import dataclass, field
from random import Random

from savoryhill.config.model import Configuration
from savoryhill.core.configuration.state import ConfigurationState
from savoryhill.core.coordination.state import CoordinationState
from savoryhill.core.journal.state import JournalState
from savoryhill.core.membership.state import MembershipState
from savoryhill.core.requests.state import RequestsState
from savoryhill.core.routing.state import RoutingState


@dataclass(kw_only=True)
class NodeState:
    """State that the reducer of one node reads and updates.

    ``random`` is the only source of randomness in the core. ``now`` is the time of
    the event being processed, in seconds of the runtime clock. ``n_ids`` counts the
    identifiers generated so far.
    """

    node: str
    zone: str
    region: str
    address: str
    incarnation: int
    random: Random
    now: float = 0.0
    last_tick_at: float | None = None
    draining: bool = False
    n_ids: int = 0
    configuration: ConfigurationState = field(default_factory=ConfigurationState)
    membership: MembershipState = field(default_factory=MembershipState)
    coordination: CoordinationState = field(default_factory=CoordinationState)
    journal: JournalState = field(default_factory=JournalState)
    routing: RoutingState = field(default_factory=RoutingState)
    requests: RequestsState = field(default_factory=RequestsState)

    @property
    def active(self) -> Configuration | None:
        """The configuration in force, or None before the first one arrives."""
        return self.configuration.active


def new_state(*, node, zone, region, address, incarnation, seed, policy="savoryhill"):
    """Return the state of a node that has just started.

    Parameters
    ----------
    node : str
        The node's name, unique in the deployment.
    zone, region : str
        Availability zone and region from the settings.
    address : str
        The node's peer address, ``ip:port``.
    incarnation : int
        Number greater than that of any earlier process with the same node name.
    seed : int
        Seed of the core's random number generator.
    policy : str
        Routing policy: ``savoryhill``, or a baseline to compare with: ``random``,
        ``round-robin`` or ``least-outstanding``.

    Returns
    -------
    NodeState
        The initial state.
    """
    state = NodeState(
        node=node,
        zone=zone,
        region=region,
        address=address,
        incarnation=incarnation,
        random=Random(seed),
        routing=RoutingState(policy=policy),
    )
    return state


def next_id(state, prefix):
    """Return an identifier that is unique across nodes and incarnations."""
    state.n_ids += 1
    return f"{prefix}:{state.node}:{state.incarnation}:{state.n_ids}"
