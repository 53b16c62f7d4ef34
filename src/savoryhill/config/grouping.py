"""Assignment of a target's endpoints to groups that stay stable across revisions."""

from collections import defaultdict
from math import ceil

from savoryhill.config.model import Group

MAX_GROUP_SIZE = 8
# Two groups are merged only if the result is smaller than a full group, so that a
# single endpoint that leaves and returns does not merge and split the same groups
# repeatedly.
MAX_MERGED_SIZE = 6


def assign_groups(target, endpoints, zones, *, previous=()):
    """Assign the endpoints of one model or service to groups.

    Endpoints stay in their previous group. A new endpoint joins the group with the
    fewest endpoints of its zone, or a new group if all are full. The two smallest
    groups are merged while the result has at most `MAX_MERGED_SIZE` endpoints.

    Parameters
    ----------
    target : str
        Name of the model or service.
    endpoints : mapping of str to EndpointAnswers
        Endpoints of the target.
    zones : mapping of str to ZoneAnswers
        All availability zones.
    previous : iterable of Group
        Groups of the previous revision, of any target.

    Yields
    ------
    Group
        Groups of at most `MAX_GROUP_SIZE` endpoints of one region, ordered by region
        and group number.
    """
    ids_by_region = defaultdict(list)
    for endpoint_id, endpoint in endpoints.items():
        ids_by_region[zones[endpoint.zone].region].append(endpoint_id)
    zones_by_endpoint = {
        endpoint_id: endpoint.zone for endpoint_id, endpoint in endpoints.items()
    }
    for region, ids in sorted(ids_by_region.items()):
        members_by_number = _previous_members(target, region, set(ids), previous)
        kept = {
            endpoint_id
            for members in members_by_number.values()
            for endpoint_id in members
        }
        added = sorted(
            set(ids) - kept,
            key=lambda endpoint_id: (zones_by_endpoint[endpoint_id], endpoint_id),
        )
        if not members_by_number:
            members_by_number = _distribute(added)
        else:
            for endpoint_id in added:
                _add_endpoint(members_by_number, endpoint_id, zones_by_endpoint)
            _merge_smallest(members_by_number)
        for number, members in sorted(members_by_number.items()):
            yield Group(
                id=f"{target}/{region}/{number}",
                target=target,
                region=region,
                endpoints=tuple(sorted(members)),
            )


def _previous_members(target, region, ids, previous):
    """Return the remaining members of the previous groups by group number."""
    members_by_number = {}
    for group in previous:
        if group.target != target or group.region != region:
            continue
        members = [endpoint_id for endpoint_id in group.endpoints if endpoint_id in ids]
        if members:
            members_by_number[int(group.id.rsplit("/", 1)[1])] = members
    return members_by_number


def _distribute(added):
    """Distribute endpoints round-robin over the fewest possible groups.

    The endpoints are ordered by zone, so each zone is spread evenly over the groups.
    """
    n_groups = ceil(len(added) / MAX_GROUP_SIZE)
    return {number: added[number::n_groups] for number in range(n_groups)}


def _add_endpoint(members_by_number, endpoint_id, zones_by_endpoint):
    """Add an endpoint to the group with the fewest endpoints of its zone.

    Full groups are skipped; if all are full, a new group is created.
    """
    zone = zones_by_endpoint[endpoint_id]

    def sort_key(number):
        members = members_by_number[number]
        n_same_zone = sum(zones_by_endpoint[member] == zone for member in members)
        return n_same_zone, len(members), number

    available_numbers = [
        number
        for number, members in members_by_number.items()
        if len(members) < MAX_GROUP_SIZE
    ]
    if available_numbers:
        members_by_number[min(available_numbers, key=sort_key)].append(endpoint_id)
        return
    unused_numbers = set(range(len(members_by_number) + 1)) - set(members_by_number)
    members_by_number[min(unused_numbers)] = [endpoint_id]


def _merge_smallest(members_by_number):
    """Merge the two smallest groups while the result is small enough."""
    while len(members_by_number) > 1:
        numbers_by_size = sorted(
            members_by_number,
            key=lambda number: (len(members_by_number[number]), number),
        )
        smallest, next_smallest = numbers_by_size[:2]
        merged = members_by_number[smallest] + members_by_number[next_smallest]
        if len(merged) > MAX_MERGED_SIZE:
            return
        del members_by_number[smallest]
        members_by_number[next_smallest] = merged
