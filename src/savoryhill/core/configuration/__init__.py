"""Which configuration revision is in force on this node, and how it spreads."""

from savoryhill.core.configuration.handlers import HANDLERS

__all__ = ["HANDLERS"]
