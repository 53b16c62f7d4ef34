"""Commands that query running nodes: status and timeline."""

import json
import os
from dataclasses import asdict
from datetime import UTC, datetime

from fire.decorators import SetParseFn

from savoryhill.cli.commands import (
    EXIT_FAILED,
    EXIT_OK,
    UsageError,
    check_output,
    deferred,
    print_result,
)
from savoryhill.cli.metrics_status import read_statuses, status_lines
from savoryhill.cli.node_calls import NodeCallError, call_all, fetch
from savoryhill.errors import PlatformError
from savoryhill.observability.timeline import merge_timelines

KEY_VARIABLE = "SAVORYHILL_ADMIN_KEY"


class AdminCallError(NodeCallError):
    """A node did not answer an admin call as expected."""


@SetParseFn(str)
def status(admin="", hosts="", settings="", key_file="", metrics="", output="text"):
    """Show roles, groups, members, revision and requests of nodes.

    The exit code is 1 if a node does not respond or is not ready.

    Parameters
    ----------
    admin : str
        Admin addresses of nodes, ``ip:port`` separated by commas.
    hosts : str
        Address of the platform's host list; its entries with ``admin`` are queried.
    settings : str
        Path of a node's settings, which contain its admin address and the key.
    key_file : str
        File with the admin key. Without it the key is taken from the settings or
        from the environment variable SAVORYHILL_ADMIN_KEY.
    metrics : str
        Metrics addresses of nodes of the platform deployment, ``ip:port`` separated
        by commas; they are queried instead of admin addresses.
    output : str
        text or json.
    """

    def start():
        check_output(output)
        if metrics:
            return _show_metrics_status(
                [address for address in metrics.split(",") if address], output
            )
        addresses, key = _resolve_targets(admin, hosts, settings, key_file)
        responses, errors = _call_all(addresses, "/admin/status", key)
        document = {"nodes": responses, "errors": errors}
        print_result(document, output, _status_lines(responses, errors))
        ready = all(response["ready"] for response in responses)
        return EXIT_OK if ready and not errors else EXIT_FAILED

    return deferred(start)


def _show_metrics_status(addresses, output):
    statuses, errors = read_statuses(addresses)
    document = {
        "nodes": [asdict(node_status) for node_status in statuses],
        "errors": errors,
    }
    print_result(document, output, [*status_lines(statuses), *_error_lines(errors)])
    is_healthy = not errors and not any(
        node_status.findings for node_status in statuses
    )
    return EXIT_OK if is_healthy else EXIT_FAILED


@SetParseFn(str)
def timeline(
    admin="",
    hosts="",
    settings="",
    key_file="",
    request="",
    endpoint="",
    zone="",
    limit="2000",
    output="text",
):
    """Show the events of several nodes in causal order.

    The exit code is 1 if a node does not respond; the events of the others are
    still shown.

    Parameters
    ----------
    admin, hosts, settings, key_file : str
        As for ``savoryhill status``.
    request : str
        Show only events of the request with this id.
    endpoint : str
        Show only events of the endpoint with this id.
    zone : str
        Show only events of nodes in this availability zone.
    limit : str
        Number of latest events to take from each node.
    output : str
        text or json.
    """

    def start():
        check_output(output)
        if not limit.isdigit() or int(limit) < 1:
            raise UsageError(f"--limit: expected a number above 0, not {limit!r}")
        addresses, key = _resolve_targets(admin, hosts, settings, key_file)
        filters = {"request": request, "endpoint": endpoint, "limit": limit}
        query = "&".join(f"{name}={_quote(v)}" for name, v in filters.items() if v)
        responses, errors = _call_all(addresses, f"/admin/timeline?{query}", key)
        events = merge_timelines(
            response["events"]
            for response in responses
            if not zone or response["zone"] == zone
        )
        print_result(
            {"events": events, "errors": errors}, output, _event_lines(events, errors)
        )
        return EXIT_FAILED if errors else EXIT_OK

    return deferred(start)


def _quote(value):
    from urllib.parse import quote

    return quote(value, safe="")


def _resolve_targets(admin, hosts, settings, key_file):
    """Return the admin addresses to query and the admin key."""
    addresses = [address for address in admin.split(",") if address]
    key = os.environ.get(KEY_VARIABLE, "")
    if settings:
        from savoryhill.node.settings import load_settings

        loaded = load_settings(settings)
        addresses.append(loaded.admin_listen)
        key = loaded.admin_key or key
    if hosts:
        addresses += _read_admin_addresses(hosts)
    if key_file:
        try:
            with open(key_file) as file:
                key = file.read().strip()
        except OSError as error:
            raise UsageError(f"--key_file: cannot be read: {error}") from error
    if not addresses:
        raise UsageError("give nodes with --admin, --hosts or --settings")
    for address in addresses:
        if not address.rpartition(":")[2].isdigit():
            raise UsageError(f"--admin: expected ip:port, not {address!r}")
    if not key:
        raise UsageError(
            f"no admin key: give --key_file, --settings or the variable {KEY_VARIABLE}"
        )
    return list(dict.fromkeys(addresses)), key


def _read_admin_addresses(hosts):
    try:
        listed_hosts = _get_json(hosts, "/hosts", "")["hosts"]
    except (NodeCallError, KeyError) as error:
        raise PlatformError(f"host list at {hosts}: {error}") from error
    return [host["admin"] for host in listed_hosts if host.get("admin")]


def _get_json(address, path, key):
    headers = {"Authorization": f"Bearer {key}"} if key else {}
    status_code, body = fetch(address, path, headers=headers)
    try:
        content = json.loads(body)
    except ValueError as error:
        raise AdminCallError(f"no answer: {error!r}") from error
    if status_code != 200:
        raise AdminCallError(f"{status_code}: {content.get('detail', '')}")
    return content


def _call_all(addresses, path, key):
    """Query all nodes concurrently; return the responses, and errors by address."""
    responses_by_address, errors = call_all(
        addresses, lambda address: _get_json(address, path, key)
    )
    return list(responses_by_address.values()), errors


def _status_lines(responses, errors):
    for response in responses:
        state = "ready" if response["ready"] else f"not ready ({response['reason']})"
        yield (
            f"{response['node']} in {response['zone']}: {state}, "
            f"revision {response['configuration_revision']}, "
            f"{response['n_requests']} requests, "
            f"{response['callers']['connections']} connections"
        )
        coordinated_groups = [
            g["group"] for g in response["groups"] if _is_coordinator(response, g)
        ]
        yield f"  coordinates: {', '.join(coordinated_groups) or 'no group'}"
        members = [f"{m['node']} {m['status']}" for m in response["members"]]
        yield f"  members: {', '.join(members) or 'none'}"
        for request in response["requests"]:
            yield (
                f"  request {request['request']} {request['phase']} {request['kind']} "
                f"at {request['endpoint'] or '-'}, {request['remaining_s']} s left"
            )
    yield from _error_lines(errors)


def _is_coordinator(response, group):
    return group["coordinator"] == response["node"]


def _event_lines(events, errors):
    prefix_fields = ("hlc", "wall_s", "event", "node", "zone")
    for event in events:
        when = datetime.fromtimestamp(event["wall_s"], UTC)
        fields = [
            f"{name}={v}" for name, v in event.items() if name not in prefix_fields
        ]
        origin = f"{event['node']} {event['zone']}"
        yield f"{when:%H:%M:%S.%f} {origin} {event['event']} {' '.join(fields)}"
    yield from _error_lines(errors)


def _error_lines(errors):
    for address, error in errors.items():
        yield f"{address}: {error}"
