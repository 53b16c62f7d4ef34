"""State of the configuration subject."""

from dataclasses import dataclass

from savoryhill.config.model import Configuration


@dataclass(kw_only=True)
class ConfigurationState:
    """The configuration in force and when it was last confirmed as current."""

    active: Configuration | None = None
    confirmed_at: float = float("-inf")
    key_value_reached: bool = False
    isolated: bool = False
