"""Request lifecycle on the entry node."""

from savoryhill.core.requests.lifecycle import HANDLERS

__all__ = ["HANDLERS"]
