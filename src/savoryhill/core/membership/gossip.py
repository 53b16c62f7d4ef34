"""Keep the list of members."""

from savoryhill.core.events import HostsListed
from savoryhill.core.membership.state import Member


def _on_hosts_listed(state, event):
    members = state.membership.members_by_node
    for node, address in event.addresses_by_node.items():
        if node not in members:
            members[node] = Member(node=node, address=address)
        members[node].address = address
        members[node].status = "leaving" if node in event.leaving else "live"
    return ()


HANDLERS = {HostsListed: _on_hosts_listed}
