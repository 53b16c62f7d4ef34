"""State of the configuration subsystem."""

from dataclasses import dataclass, field

from savoryhill.config.model import Configuration
from savoryhill.core.configuration.isolation import Standing


@dataclass(kw_only=True)
class Offer:
    """A higher revision that is being fetched from the peers that hold it."""

    revision: int
    hops: int
    sources: list[str]
    asked_at: float
    n_fetches: int = 1


@dataclass(kw_only=True)
class CheckRound:
    """A round of confirmation checks: the nodes asked, and those that answered."""

    asked_at: float
    asked: frozenset[str]
    answered: set[str] = field(default_factory=set)


@dataclass(kw_only=True)
class ServiceReads:
    """Reads and watch of the configuration in the key-value service.

    ``highest_head_revision`` is the highest revision seen in a head, and
    ``content_target_revision`` is its value when the latest content read started.
    ``unconfirmed_head`` is a head that was read before its content came into force,
    as (revision, time of the read). ``pending_record`` is a record whose parts are
    still being read.
    """

    watching: bool = False
    watched_revision: int = 0
    head_call_id: str = ""
    head_asked_at: float = float("-inf")
    head_interval_s: float = 0.0
    content_call_id: str = ""
    content_asked_at: float = float("-inf")
    highest_head_revision: int = 0
    content_target_revision: int = 0
    pending_record: bytes = field(default=b"", repr=False)
    unconfirmed_head: tuple[int, float] | None = None


@dataclass(kw_only=True)
class ConfigurationState:
    """The configuration in force and when it was last confirmed as current.

    ``confirmed_at`` is the latest time at which the service is known to have held
    no higher revision. ``isolated`` is set while new work must be refused.
    ``highest_seen`` is the highest revision reported by any peer or the service.
    ``known_nodes`` are the nodes over which a majority is counted.
    ``last_reported_lower_revision`` is the (source, revision) logged last.
    """

    active: Configuration | None = None
    content: bytes = field(default=b"", repr=False)
    digest: str = ""
    confirmed_at: float = float("-inf")
    key_value_reached: bool = False
    standing: Standing = Standing.CONFIRMED
    isolated: bool = False
    service: ServiceReads = field(default_factory=ServiceReads)
    highest_seen: int = 0
    offer: Offer | None = None
    known_nodes: frozenset[str] = frozenset()
    rounds_by_id: dict[int, CheckRound] = field(default_factory=dict)
    n_checks: int = 0
    last_check_at: float = float("-inf")
    known_nodes_updated_at: float = float("-inf")
    last_bootstrap_at: float = float("-inf")
    watch_role_updated_at: float = float("-inf")
    last_tick_at: float = float("-inf")
    ages_ignored_until: float = float("-inf")
    last_reported_lower_revision: tuple[str, int] = ("", 0)
