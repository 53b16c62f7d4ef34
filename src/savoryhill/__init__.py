"""Serving layer for prompts of widely different lengths on mixed hardware."""

from savoryhill.errors import SavoryhillError

__all__ = ["SavoryhillError", "__version__"]

__version__ = "0.1.0"
