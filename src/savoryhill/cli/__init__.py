"""Command line for operators."""

from savoryhill.cli.main import main

__all__ = ["main"]
