"""The at-most-once journal of non-idempotent calls."""

from savoryhill.core.journal.writer import HANDLERS

__all__ = ["HANDLERS"]
