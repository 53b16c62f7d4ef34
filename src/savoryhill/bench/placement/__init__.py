"""Replays of load patterns on the scheduler, with engines that read in their order."""
