"""Demo deployment in one process, with stand-ins for the outside systems."""
