"""Membership of nodes by gossip."""

from savoryhill.core.membership.gossip import HANDLERS

__all__ = ["HANDLERS"]
