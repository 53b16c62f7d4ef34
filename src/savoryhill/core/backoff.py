"""Exponential backoff."""

# Doublings beyond this exceed any limit that is in use, and later a float.
MAX_DOUBLINGS = 16


def backoff_s(first_s, max_s, n_before):
    """Return the seconds to back off after ``n_before`` failures in a row before."""
    return min(max_s, first_s * 2 ** min(n_before, MAX_DOUBLINGS))
