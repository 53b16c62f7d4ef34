"""Use the platform's host list as a source of seeds only, because it lags."""

from savoryhill.core.membership.state import Member
from savoryhill.core.membership.updates import add_member


def add_seed(state, node, address):
    """Add a node that is not a member yet.

    It gets incarnation 0, so that any update received by gossip replaces it.
    """
    if node != state.node and node not in state.membership.members_by_node:
        add_member(state, Member(node=node, address=address))


def on_hosts_listed(state, event):
    """Add hosts that are not members yet; gossip decides on the status of the others.

    A listed host does not revive a gone member, and a missing host does not remove a
    live one. A host counts as leaving only as long as the list says so. The listed
    address is used until gossip delivers one.
    """
    for node, address in event.addresses_by_node.items():
        add_seed(state, node, address)
    for node, member in state.membership.members_by_node.items():
        member.listed = node in event.addresses_by_node
        member.listed_leaving = node in event.leaving
        if member.incarnation == 0 and member.listed:
            member.address = event.addresses_by_node[node]
    return ()
