"""Measure processor time and memory of a function."""

import gc
import time
import tracemalloc


def processor_s(function, *, n_calls, n_rounds=5):
    """Return the processor time of one call, the best of several rounds.

    The best round is the one least disturbed by other processes.

    Parameters
    ----------
    function : callable
        Called without arguments.
    n_calls : int
        Calls per round.
    n_rounds : int
        Rounds.

    Returns
    -------
    float
        Seconds of processor time for each call.
    """
    best = float("inf")
    for _ in range(n_rounds):
        gc.collect()
        started = time.process_time()
        for _ in range(n_calls):
            function()
        best = min(best, (time.process_time() - started) / n_calls)
    return best


def allocated_bytes(build):
    """Return the bytes that remain allocated while the result of a call lives."""
    gc.collect()
    tracemalloc.start()
    try:
        kept = build()
        gc.collect()
        size, _ = tracemalloc.get_traced_memory()
        del kept
        return size
    finally:
        tracemalloc.stop()
