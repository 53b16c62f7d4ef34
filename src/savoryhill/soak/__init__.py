"""Soak tests: random faults against real node processes on one machine."""
