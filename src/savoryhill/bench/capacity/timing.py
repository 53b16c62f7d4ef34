"""Measure the CPU time and memory of a function."""

import gc
import time
import tracemalloc


def cpu_time_s(function, *, n_calls, n_rounds=5):
    """Return the CPU time per call in the best of several rounds.

    The best round is the one that other processes disturbed least.

    Parameters
    ----------
    function : callable
        Called without arguments.
    n_calls : int
        Number of calls per round.
    n_rounds : int
        Number of rounds.

    Returns
    -------
    float
        CPU seconds per call.
    """
    best_s = float("inf")
    for _ in range(n_rounds):
        gc.collect()
        started = time.process_time()
        for _ in range(n_calls):
            function()
        best_s = min(best_s, (time.process_time() - started) / n_calls)
    return best_s


def allocated_bytes(build):
    """Return the bytes still allocated while the result of a call is referenced."""
    gc.collect()
    tracemalloc.start()
    try:
        result = build()
        gc.collect()
        size, _ = tracemalloc.get_traced_memory()
        del result
        return size
    finally:
        tracemalloc.stop()
