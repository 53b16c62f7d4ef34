"""State of the coordination subject."""

from dataclasses import dataclass, field


@dataclass(kw_only=True)
class CoordinatorRecord:
    """The holder of a group and its fencing number."""

    holder: str
    fence: int


@dataclass(kw_only=True)
class CoordinationState:
    """Known coordinator records."""

    records_by_group: dict[str, CoordinatorRecord] = field(default_factory=dict)
