"""Commands that ask running nodes: status and timeline."""

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
    show,
)
from savoryhill.cli.metrics_status import read_all, status_lines
from savoryhill.cli.node_calls import NodeCallError, ask_all, fetch
from savoryhill.errors import PlatformError
from savoryhill.observability.timeline import merge_timelines

KEY_VARIABLE = "SAVORYHILL_ADMIN_KEY"


class AdminCallError(NodeCallError):
    """A node did not answer an admin call."""


@SetParseFn(str)
def status(admin="", hosts="", settings="", key_file="", metrics="", output="text"):
    """Show roles, groups, members, revision and requests of nodes.

    The exit code is 1 if a node did not answer or is not ready.

    Parameters
    ----------
    admin : str
        Admin addresses of nodes, ``ip:port`` with commas between them.
    hosts : str
        Address of the platform's host list; its entries with ``admin`` are asked.
    settings : str
        Path of a node's settings, which give its admin address and the key.
    key_file : str
        File with the admin key; else the key comes from the settings or from the
        environment variable SAVORYHILL_ADMIN_KEY.
    metrics : str
        Metrics addresses of nodes of the platform deployment, ``ip:port`` with commas
        between them; they are asked instead of admin addresses.
    output : str
        text or json.
    """

    def start():
        check_output(output)
        if metrics:
            return _metrics_status([a for a in metrics.split(",") if a], output)
        addresses, key = _targets(admin, hosts, settings, key_file)
        answers, errors = _ask_all(addresses, "/admin/status", key)
        document = {"nodes": answers, "errors": errors}
        show(document, output, _status_lines(answers, errors))
        ready = all(answer["ready"] for answer in answers)
        return EXIT_OK if ready and not errors else EXIT_FAILED

    return deferred(start)


def _metrics_status(addresses, output):
    statuses, errors = read_all(addresses)
    document = {"nodes": [asdict(s) for s in statuses], "errors": errors}
    show(document, output, [*status_lines(statuses), *_error_lines(errors)])
    is_well = not errors and not any(status.findings for status in statuses)
    return EXIT_OK if is_well else EXIT_FAILED


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

    The exit code is 1 if a node did not answer; the events of the others are
    shown all the same.

    Parameters
    ----------
    admin, hosts, settings, key_file : str
        As for ``savoryhill status``.
    request : str
        Show only events of this request.
    endpoint : str
        Show only events of this endpoint.
    zone : str
        Show only events of nodes in this availability zone.
    limit : str
        Latest events to take from each node.
    output : str
        text or json.
    """

    def start():
        check_output(output)
        if not limit.isdigit() or int(limit) < 1:
            raise UsageError(f"--limit: expected a number above 0, not {limit!r}")
        addresses, key = _targets(admin, hosts, settings, key_file)
        filters = {"request": request, "endpoint": endpoint, "limit": limit}
        query = "&".join(f"{name}={_quoted(v)}" for name, v in filters.items() if v)
        answers, errors = _ask_all(addresses, f"/admin/timeline?{query}", key)
        events = merge_timelines(
            answer["events"] for answer in answers if not zone or answer["zone"] == zone
        )
        show({"events": events, "errors": errors}, output, _event_lines(events, errors))
        return EXIT_FAILED if errors else EXIT_OK

    return deferred(start)


def _quoted(value):
    from urllib.parse import quote

    return quote(value, safe="")


def _targets(admin, hosts, settings, key_file):
    """Return the admin addresses to ask and the admin key."""
    addresses = [address for address in admin.split(",") if address]
    key = os.environ.get(KEY_VARIABLE, "")
    if settings:
        from savoryhill.node.settings import load_settings

        loaded = load_settings(settings)
        addresses.append(loaded.admin_listen)
        key = loaded.admin_key or key
    if hosts:
        addresses += _discover(hosts)
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


def _discover(hosts):
    try:
        listed = _get(hosts, "/hosts", "")["hosts"]
    except (NodeCallError, KeyError) as error:
        raise PlatformError(f"host list at {hosts}: {error}") from error
    return [host["admin"] for host in listed if host.get("admin")]


def _get(address, path, key):
    headers = {"Authorization": f"Bearer {key}"} if key else {}
    status_code, body = fetch(address, path, headers=headers)
    try:
        content = json.loads(body)
    except ValueError as error:
        raise AdminCallError(f"no answer: {error!r}") from error
    if status_code != 200:
        raise AdminCallError(f"{status_code}: {content.get('detail', '')}")
    return content


def _ask_all(addresses, path, key):
    """Ask all nodes at once; return the answers and the errors by address."""
    answers_by_address, errors = ask_all(addresses, lambda a: _get(a, path, key))
    return list(answers_by_address.values()), errors


def _status_lines(answers, errors):
    for answer in answers:
        state = "ready" if answer["ready"] else f"not ready ({answer['reason']})"
        yield (
            f"{answer['node']} in {answer['zone']}: {state}, "
            f"revision {answer['configuration_revision']}, "
            f"{answer['n_requests']} requests, "
            f"{answer['callers']['connections']} connections"
        )
        own = [g["group"] for g in answer["groups"] if _coordinates(answer, g)]
        yield f"  coordinates: {', '.join(own) or 'no group'}"
        members = [f"{m['node']} {m['status']}" for m in answer["members"]]
        yield f"  members: {', '.join(members) or 'none'}"
        for each in answer["requests"]:
            yield (
                f"  request {each['request']} {each['phase']} {each['kind']} "
                f"at {each['endpoint'] or '-'}, {each['remaining_s']} s left"
            )
    yield from _error_lines(errors)


def _coordinates(answer, group):
    return group["coordinator"] == answer["node"]


def _event_lines(events, errors):
    hidden = ("hlc", "wall_s", "event", "node", "zone")
    for event in events:
        when = datetime.fromtimestamp(event["wall_s"], UTC)
        pairs = [f"{name}={v}" for name, v in event.items() if name not in hidden]
        place = f"{event['node']} {event['zone']}"
        yield f"{when:%H:%M:%S.%f} {place} {event['event']} {' '.join(pairs)}"
    yield from _error_lines(errors)


def _error_lines(errors):
    for address, error in errors.items():
        yield f"{address}: {error}"
