"""Entry side: the life of a caller's request."""

from savoryhill.core.requests.lifecycle import HANDLERS

__all__ = ["HANDLERS"]
