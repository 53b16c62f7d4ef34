"""Coordinator side of routing: permits, placement and cold starts."""

from savoryhill.core.routing.coordinator import HANDLERS

__all__ = ["HANDLERS"]
