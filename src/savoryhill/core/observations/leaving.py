"""Endpoints that have said in an answer that they leave.

Load pattern: endpoints leave while the store is away, slow, or does not answer this
node. The node that is told tells the others.
"""

from savoryhill.core.observations.table import Observation

# The subject is the endpoint with its start: one that starts again does not leave.
LEAVING = "leaving"


def observe_leaving(table, *, incarnation, now):
    """Return the observations of an endpoint that says that it leaves.

    Parameters
    ----------
    table : ObservationTable
        The observations known so far.
    incarnation : str
        The endpoint, with its start.
    now : float
        The current time, in seconds.

    Returns
    -------
    list of Observation
        Empty if it is known.
    """
    if table.get(LEAVING, incarnation) is not None:
        return []
    return [
        Observation(
            kind=LEAVING, subject=incarnation, source="", version=1, observed_at=now
        )
    ]
