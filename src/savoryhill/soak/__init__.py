"""Randomized faults against real node processes on one machine."""
