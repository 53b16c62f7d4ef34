"""Divide the endpoints of a target into groups that change little."""

from collections import defaultdict
from math import ceil

from savoryhill.config.model import Group

MAX_GROUP_SIZE = 8
# Two groups are joined only when the joined group keeps some room, so that a single
# endpoint that leaves and returns does not join and divide the same groups.
MAX_JOINED_SIZE = 6


def assign_groups(target, endpoints, zones, *, previous=()):
    """Divide the endpoints of one model or service.

    Endpoints stay in their previous group. A new one joins the group with the
    fewest endpoints of its zone; a group is opened when all are full, and the two
    smallest are joined when they fit into one.

    Parameters
    ----------
    target : str
        Name of the model or service.
    endpoints : mapping of str to EndpointAnswers
        Its endpoints.
    zones : mapping of str to ZoneAnswers
        All availability zones.
    previous : iterable of Group
        Groups in force, of any target.

    Yields
    ------
    Group
        Groups of at most `MAX_GROUP_SIZE` endpoints of one region, in the order of
        their numbers.
    """
    ids_by_region = defaultdict(list)
    for endpoint_id, each in endpoints.items():
        ids_by_region[zones[each.zone].region].append(endpoint_id)
    zone_of = {endpoint_id: each.zone for endpoint_id, each in endpoints.items()}
    for region, ids in sorted(ids_by_region.items()):
        members_by_number = _keep(target, region, set(ids), previous)
        kept = {each for members in members_by_number.values() for each in members}
        added = sorted(set(ids) - kept, key=lambda each: (zone_of[each], each))
        if not members_by_number:
            members_by_number = _deal(added)
        else:
            for endpoint_id in added:
                _insert(members_by_number, endpoint_id, zone_of)
            _join(members_by_number)
        for number, members in sorted(members_by_number.items()):
            yield Group(
                id=f"{target}/{region}/{number}",
                target=target,
                region=region,
                endpoints=tuple(sorted(members)),
            )


def _keep(target, region, ids, previous):
    members_by_number = {}
    for group in previous:
        if group.target != target or group.region != region:
            continue
        members = [each for each in group.endpoints if each in ids]
        if members:
            members_by_number[int(group.id.rsplit("/", 1)[1])] = members
    return members_by_number


def _deal(added):
    """Deal endpoints, which are ordered by zone, to the fewest possible groups."""
    n_groups = ceil(len(added) / MAX_GROUP_SIZE)
    return {number: added[number::n_groups] for number in range(n_groups)}


def _insert(members_by_number, endpoint_id, zone_of):
    zone = zone_of[endpoint_id]

    def cost(number):
        members = members_by_number[number]
        same_zone = sum(zone_of[each] == zone for each in members)
        return same_zone, len(members), number

    open_numbers = [
        number
        for number, members in members_by_number.items()
        if len(members) < MAX_GROUP_SIZE
    ]
    if open_numbers:
        members_by_number[min(open_numbers, key=cost)].append(endpoint_id)
        return
    unused = set(range(len(members_by_number) + 1)) - set(members_by_number)
    members_by_number[min(unused)] = [endpoint_id]


def _join(members_by_number):
    while len(members_by_number) > 1:
        by_size = sorted(
            members_by_number, key=lambda n: (len(members_by_number[n]), n)
        )
        smallest, next_smallest = by_size[:2]
        joined = members_by_number[smallest] + members_by_number[next_smallest]
        if len(joined) > MAX_JOINED_SIZE:
            return
        del members_by_number[smallest]
        members_by_number[next_smallest] = joined
