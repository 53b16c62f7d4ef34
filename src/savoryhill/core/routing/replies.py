"""Build replies to placement requests and refuse requests that cannot fit."""

from savoryhill.core.effects import Observe, SendPeer
from savoryhill.core.messages import PlaceReply
from savoryhill.core.routing import admission, fairness, oversize


def build_reply(message, sender, group, status, **fields):
    """Build the effect that sends the reply to a placement request."""
    return SendPeer(
        to=sender,
        message=PlaceReply(
            request_id=message.request_id,
            attempt=message.attempt,
            group=message.group,
            status=status,
            asked_at=message.asked_at,
            fence=group.fence if group is not None else 0,
            **fields,
        ),
    )


def refuse(group, pending, detail, retry_after_s, reason):
    """Refuse a placement request, which has not been run."""
    return [
        build_reply(
            pending.message,
            pending.sender,
            group,
            "refused",
            detail=detail,
            retry_after_s=retry_after_s,
        ),
        Observe(
            metric="placements_refused",
            value=1.0,
            labels=(("group", group.id), ("reason", reason)),
        ),
    ]


def refuse_too_large(group, pending):
    """Refuse a request that does not fit the group, or mark its prompt as oversize.

    A request that fits another group of the target is answered as moved.

    Returns
    -------
    list of Effect or None
        The reply; None if the request fits the group.
    """
    message = pending.message
    needed = message.prompt_tokens + message.max_tokens
    configuration = group.configuration
    share = fairness.workspace_share(configuration, message.workspace, group.id)
    if share is not None and needed > share:
        target = configuration.groups_by_id[group.id].target
        eligible_ids = fairness.eligible_groups(
            configuration, message.workspace, target, needed
        )
        if eligible_ids:
            return [
                build_reply(
                    message, pending.sender, group, "moved", detail=eligible_ids[0]
                )
            ]
        limit = configuration.workspaces_by_name[
            message.workspace
        ].max_outstanding_tokens
        return refuse(
            group,
            pending,
            f"{needed} tokens exceed what max_outstanding_tokens {limit} of "
            f"workspace {message.workspace!r} allows one request of {target!r}",
            0.0,
            "workspace_limit",
        )
    largest = max(
        (endpoint.hardware.memory_tokens for endpoint in group.open_endpoints),
        default=0,
    )
    if needed <= largest:
        return None
    if group.is_model and needed <= oversize.open_capacity_tokens(group):
        pending.oversize = True
        return None
    group_limit = oversize.capacity_tokens(configuration, group.id)
    if group.is_model:
        target = configuration.groups_by_id[group.id].target
        limit = oversize.target_capacity_tokens(configuration, target)
    else:
        limit = group_limit
    if needed > limit:
        return refuse(
            group,
            pending,
            f"{needed} tokens exceed the limit of {limit} tokens that one group holds",
            0.0,
            "too_large",
        )
    if needed > group_limit:
        return [build_reply(message, pending.sender, group, "moved")]
    return refuse(
        group,
        pending,
        f"the open endpoints cannot hold {needed} tokens now",
        admission.MAX_RETRY_AFTER_S,
        "capacity",
    )
