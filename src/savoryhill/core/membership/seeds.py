"""Use the platform's host list, which lags, as a source of seeds only."""

from savoryhill.core.membership.state import Member
from savoryhill.core.membership.updates import add_member


def add_seed(state, node, address):
    """Add a node that no gossip has told of yet; incarnation 0 loses to gossip."""
    if node != state.node and node not in state.membership.members_by_node:
        add_member(state, Member(node=node, address=address))


def on_hosts_listed(state, event):
    """Add unknown hosts; what gossip knows of a known one stays in force.

    An entry neither revives a member that is gone nor does a missing one remove a
    live member. ``leaving`` holds only as long as the list says so.
    """
    for node, address in event.addresses_by_node.items():
        add_seed(state, node, address)
    for node, member in state.membership.members_by_node.items():
        member.listed = node in event.addresses_by_node
        member.listed_leaving = node in event.leaving
        if member.incarnation == 0 and member.listed:
            member.address = event.addresses_by_node[node]
    return ()
