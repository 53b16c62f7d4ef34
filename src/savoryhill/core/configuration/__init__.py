"""Adoption, distribution and confirmation of configuration revisions."""

from savoryhill.core.configuration.handlers import HANDLERS

__all__ = ["HANDLERS"]
