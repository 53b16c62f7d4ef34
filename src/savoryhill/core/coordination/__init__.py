"""Which node coordinates which endpoint group."""

from savoryhill.core.coordination.handlers import HANDLERS

__all__ = ["HANDLERS"]
