"""Merge group summaries from gossip and refresh those of this node's own groups."""

import dataclasses
from functools import cache
from importlib import import_module
from importlib.util import find_spec

from savoryhill.core.coordination.records import held_roles, merge_record
from savoryhill.core.membership.view import is_serving
from savoryhill.core.messages import GroupSummary

_ROUTING_MODULE = "savoryhill.core.routing.summaries"


@cache
def _load_own_summaries():
    """Return routing's ``own_summaries``, imported late to avoid an import cycle."""
    if find_spec(_ROUTING_MODULE) is None:
        return lambda state: ()
    return import_module(_ROUTING_MODULE).own_summaries


def refresh_summaries(state):
    """Replace the summaries of the groups that this node coordinates."""
    summaries = state.membership.summaries_by_group
    roles = held_roles(state)
    for group in [
        group for group, each in summaries.items() if each.holder == state.node
    ]:
        if group not in roles:
            del summaries[group]
    offered_by_group = {each.group: each for each in _load_own_summaries()(state)}
    for group, (fence, provisional) in roles.items():
        previous = summaries.get(group)
        summary = offered_by_group.get(group) or GroupSummary(
            group=group,
            holder=state.node,
            fence=fence,
            predicted_wait_s=0.0,
            free_slots=0,
            version=previous.version + 1 if previous is not None else 1,
        )
        summaries[group] = dataclasses.replace(
            summary, holder=state.node, fence=fence, provisional=provisional
        )


def _is_newer(state, summary, known):
    if known is None or summary.fence != known.fence:
        return known is None or summary.fence > known.fence
    if summary.holder == known.holder:
        return summary.version > known.version
    # If two nodes hold the same fence, one of them is provisional. Its summary counts
    # only while the other one is not serving.
    if known.provisional and not summary.provisional:
        return is_serving(state, summary.holder)
    return not is_serving(state, known.holder)


def merge_summaries(state, groups):
    """Keep the newest summary of each group and learn the groups' holders from them."""
    summaries = state.membership.summaries_by_group
    for summary in groups:
        if summary.holder == state.node:
            continue
        merge_record(
            state,
            group=summary.group,
            holder=summary.holder,
            fence=summary.fence,
            provisional=summary.provisional,
        )
        if _is_newer(state, summary, summaries.get(summary.group)):
            summaries[summary.group] = summary
