"""The isolation rule for nodes that cannot confirm their configuration.

Only the key-value service accepts changes. A node that has read the service within
`CONFIRMATION_LIFETIME_S`, directly or through peers, cannot have missed a change older
than that. If a node hears from a majority but no node confirms its configuration, the
service is down for all nodes and cannot accept changes. Otherwise a change may have
been accepted on the other side of a partition, so the node must not start new work.
"""

from enum import StrEnum

# No new work may start in an availability zone later than 3 s after its withdrawal.
CONFIRMATION_LIFETIME_S = 3.0
MAJORITY = 0.5
# If a deployment is split into two halves, more than half of 48 sampled nodes answer
# with a probability of one half, and more than three quarters in 4 of 10,000 cases. The
# lower share to continue keeps the standing from alternating when a tenth of the
# messages is lost.
SAMPLED_MAJORITY = 0.75
SAMPLED_MAJORITY_TO_CONTINUE = 0.6


class Standing(StrEnum):
    """Whether a node's configuration is confirmed, or why it is not."""

    CONFIRMED = "confirmed"
    SERVICE_DOWN = "service_down"
    CUT_OFF = "cut_off"


def determine_standing(
    *,
    confirmed_age_s,
    n_heard,
    n_known,
    sampled=False,
    is_behind=False,
    previous_standing=None,
):
    """Determine the standing of a node.

    Parameters
    ----------
    confirmed_age_s : float
        Seconds since the service was last known to hold no higher revision than the
        one in force on this node.
    n_heard, n_known : int
        Number of nodes that answered recently, and number of nodes that should have
        answered; both include this node.
    sampled : bool
        Whether the nodes asked are a sample of the known nodes.
    is_behind : bool
        Whether a higher revision than the one in force is known to exist.
    previous_standing : Standing, optional
        Standing before this evaluation.

    Returns
    -------
    Standing
        New standing of the node.
    """
    if confirmed_age_s < CONFIRMATION_LIFETIME_S:
        return Standing.CONFIRMED
    share = MAJORITY
    if sampled:
        was_service_down = previous_standing is Standing.SERVICE_DOWN
        share = SAMPLED_MAJORITY_TO_CONTINUE if was_service_down else SAMPLED_MAJORITY
    if not is_behind and n_heard > n_known * share:
        return Standing.SERVICE_DOWN
    return Standing.CUT_OFF


def may_start(standing, *, idempotent):
    """Tell whether a node may start new work.

    Parameters
    ----------
    standing : Standing
        Standing of the node.
    idempotent : bool
        Whether the work may run twice. Other work needs the journal, which is also
        stored in the key-value service.

    Returns
    -------
    bool
        False if the request must be refused as not run. Running streams may finish
        in every standing.
    """
    if standing is Standing.CONFIRMED:
        return True
    return standing is Standing.SERVICE_DOWN and idempotent
