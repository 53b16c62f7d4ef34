"""Assignment of endpoint groups to coordinator nodes."""

from savoryhill.core.coordination.handlers import HANDLERS

__all__ = ["HANDLERS"]
