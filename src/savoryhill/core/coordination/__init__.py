"""Which node coordinates which endpoint group."""

HANDLERS: dict = {}
