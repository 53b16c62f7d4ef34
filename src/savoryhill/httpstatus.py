"""Which numbers are a status of an HTTP response."""

MIN_STATUS, MAX_STATUS = 100, 599


def is_status(code):
    """Tell whether a number is a status; a message without one is no response."""
    return MIN_STATUS <= code <= MAX_STATUS
