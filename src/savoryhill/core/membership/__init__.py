"""Gossip-based cluster membership."""

from savoryhill.core.membership.gossip import HANDLERS

__all__ = ["HANDLERS"]
