"""The isolation rule: what a node may do that cannot confirm its configuration.

A change is accepted by the key-value service alone. A node that read it within
`CONFIRMED_S`, directly or through peers, cannot have missed an older change. If
nobody confirms the node although it hears from a majority, the service is down for
all and no change can be accepted. Otherwise a change may have been accepted on the
other side, so the node must not start new work.
"""

from enum import StrEnum

# The bound for new work in a withdrawn zone is 3 s.
CONFIRMED_S = 3.0
MAJORITY = 0.5
# Of 48 sampled nodes, over half answer with even odds when a deployment is split in
# two halves, and over three quarters in 4 of 10,000 cases. The lower share for going
# on keeps a node from changing to and fro when a tenth of the messages is lost.
SAMPLED_MAJORITY = 0.75
SAMPLED_MAJORITY_TO_GO_ON = 0.6


class Standing(StrEnum):
    """How a node stands towards the accepted configuration."""

    CONFIRMED = "confirmed"
    SERVICE_DOWN = "service_down"
    CUT_OFF = "cut_off"


def judge(
    *, confirmed_age_s, n_heard, n_known, sampled=False, behind=False, before=None
):
    """Judge how a node stands.

    Parameters
    ----------
    confirmed_age_s : float
        Seconds since the service's content was known to be what is in force here.
    n_heard, n_known : int
        Nodes that answered just now, and nodes asked; both include this node.
    sampled : bool
        Whether the nodes asked are a sample of those known.
    behind : bool
        Whether a higher revision is known to exist that is not in force here yet.
    before : Standing, optional
        The standing until now.

    Returns
    -------
    Standing
        The node's standing.
    """
    if confirmed_age_s < CONFIRMED_S:
        return Standing.CONFIRMED
    share = MAJORITY
    if sampled:
        goes_on = before is Standing.SERVICE_DOWN
        share = SAMPLED_MAJORITY_TO_GO_ON if goes_on else SAMPLED_MAJORITY
    if not behind and n_heard > n_known * share:
        return Standing.SERVICE_DOWN
    return Standing.CUT_OFF


def may_start(standing, *, idempotent):
    """Tell whether a node may start new work.

    Parameters
    ----------
    standing : Standing
        The node's standing.
    idempotent : bool
        Whether the work may run twice. Work that may not needs the journal, which
        is in the key-value service as well.

    Returns
    -------
    bool
        False if the request must be refused as not run. Running streams finish in
        every standing.
    """
    if standing is Standing.CONFIRMED:
        return True
    return standing is Standing.SERVICE_DOWN and idempotent
