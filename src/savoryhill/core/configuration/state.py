"""State of the configuration subject."""

from dataclasses import dataclass, field

from savoryhill.config.model import Configuration
from savoryhill.core.configuration.isolation import Standing


@dataclass(kw_only=True)
class Offer:
    """A higher revision that some peers hold and that is being fetched."""

    revision: int
    hops: int
    sources: list[str]
    asked_at: float
    n_asked: int = 1


@dataclass(kw_only=True)
class CheckRound:
    """Nodes asked at once for their confirmation, and those that answered."""

    asked_at: float
    asked: frozenset[str]
    answered: set[str] = field(default_factory=set)


@dataclass(kw_only=True)
class ServiceView:
    """Calls of this node to the key-value service about the configuration.

    ``wanted`` is the highest revision seen in a head, ``content_wanted`` its value
    when the content was last read. ``unmatched`` is a head that was read before its
    content is in force, as (revision, time of the read).
    """

    watching: bool = False
    watched_revision: int = 0
    head_call: str = ""
    head_asked_at: float = float("-inf")
    re_read_s: float = 0.0
    content_call: str = ""
    content_asked_at: float = float("-inf")
    wanted: int = 0
    content_wanted: int = 0
    record_value: bytes = field(default=b"", repr=False)
    unmatched: tuple[int, float] | None = None


@dataclass(kw_only=True)
class ConfigurationState:
    """The configuration in force and when it was last confirmed as current.

    ``confirmed_at`` is the latest time at which the service is known to have held
    no higher revision. ``isolated`` is set while new work must be refused.
    ``highest_seen`` is the highest revision that any peer or the service showed.
    ``known_nodes`` are the nodes whose majority counts.
    """

    active: Configuration | None = None
    content: bytes = field(default=b"", repr=False)
    digest: str = ""
    confirmed_at: float = float("-inf")
    key_value_reached: bool = False
    standing: Standing = Standing.CONFIRMED
    isolated: bool = False
    service: ServiceView = field(default_factory=ServiceView)
    highest_seen: int = 0
    offer: Offer | None = None
    known_nodes: frozenset[str] = frozenset()
    rounds_by_id: dict[int, CheckRound] = field(default_factory=dict)
    n_checks: int = 0
    checked_at: float = float("-inf")
    listed_at: float = float("-inf")
    bootstrapped_at: float = float("-inf")
    role_chosen_at: float = float("-inf")
    ticked_at: float = float("-inf")
    ages_ignored_until: float = float("-inf")
    last_ignored: tuple[str, int] = ("", 0)
