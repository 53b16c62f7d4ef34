"""The operators' command line."""

from savoryhill.cli.main import main

__all__ = ["main"]
