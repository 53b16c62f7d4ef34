"""Checks of answers against each other."""

from savoryhill.config.findings import suggestion


def cross_findings(answers):
    """Find contradictions between valid answers.

    Parameters
    ----------
    answers : Questionnaire
        Answers whose values are each in range.

    Yields
    ------
    tuple of (tuple, str)
        The path of the finding and its message.
    """
    yield from _check_present(answers)
    yield from _check_zones(answers)
    yield from _check_hardware(answers)
    yield from _check_endpoints(answers)
    yield from _check_calls(answers)
    yield from _check_workspaces(answers)


def _check_present(answers):
    for section in ("zones", "hardware", "workspaces", "kinds"):
        if not getattr(answers, section):
            yield (section,), "at least one entry is needed"
    if not answers.models and not answers.services:
        yield (), "at least one model or service is needed"
    for name in answers.services:
        if name in answers.models:
            yield ("services", name), "a model has the same name"


def _check_zones(answers):
    zones = answers.zones.values()
    if zones and all(zone.withdrawn for zone in zones):
        yield ("zones",), "all availability zones are withdrawn"
    used = {each.zone for _, _, each in _endpoints(answers)}
    for name, zone in answers.zones.items():
        others = [
            other.withdrawn
            for other_name, other in answers.zones.items()
            if other.region == zone.region and other_name in used
        ]
        if name in used and zone.withdrawn and others and all(others):
            yield (
                ("zones", name, "withdrawn"),
                f"every zone with endpoints in region {zone.region!r} is withdrawn",
            )


def _check_hardware(answers):
    for name, hardware in answers.hardware.items():
        if hardware.cold_slots > hardware.slots:
            yield (
                ("hardware", name, "cold_slots"),
                f"{hardware.cold_slots} exceeds slots, which is {hardware.slots}",
            )


def _endpoints(answers):
    """Yield section path, endpoint id and answers of every endpoint."""
    for section in ("models", "services"):
        for name, target in getattr(answers, section).items():
            for endpoint_id, endpoint in target.endpoints.items():
                path = (section, name, "endpoints", endpoint_id)
                yield path, endpoint_id, endpoint


def _check_endpoints(answers):
    for section in ("models", "services"):
        for name, target in getattr(answers, section).items():
            if not target.endpoints:
                yield (section, name, "endpoints"), "at least one endpoint is needed"
    paths_by_id, paths_by_address = {}, {}
    for path, endpoint_id, endpoint in _endpoints(answers):
        for field, known in (("zone", answers.zones), ("hardware", answers.hardware)):
            value = getattr(endpoint, field)
            if value not in known:
                hint = suggestion(value, known)
                yield (*path, field), f"unknown {field} {value!r}{hint}"
        first = paths_by_id.setdefault(endpoint_id, path)
        if first != path:
            yield path, f"endpoint id is also used at {'.'.join(first)}"
        first = paths_by_address.setdefault(endpoint.address, path)
        if first != path:
            yield (
                (*path, "address"),
                f"address {endpoint.address} is also used at {'.'.join(first)}",
            )


def _check_calls(answers):
    for name, service in answers.services.items():
        path = ("services", name, "calls")
        if not service.calls:
            yield path, "at least one call is needed"
        seen = {}
        for number, call in enumerate(service.calls):
            inner = (*path, str(number))
            if call.kind not in answers.kinds:
                hint = suggestion(call.kind, answers.kinds)
                yield (*inner, "kind"), f"unknown kind {call.kind!r}{hint}"
            if call.method == "GET" and not call.idempotent:
                yield (*inner, "idempotent"), "a GET call must be idempotent"
            if call.lookup_path and not call.lookup_path.startswith("/"):
                yield (*inner, "lookup_path"), "must start with '/'"
            if call.lookup_path and call.idempotent:
                yield (*inner, "lookup_path"), "an idempotent call needs no lookup"
            first = seen.setdefault((call.method, call.path), number)
            if first != number:
                yield inner, f"{call.method} {call.path} is also call {first}"
        if len(set(service.not_run_statuses)) < len(service.not_run_statuses):
            yield ("services", name, "not_run_statuses"), "a status occurs twice"


def _check_workspaces(answers):
    owners_by_hash = {}
    for name, workspace in answers.workspaces.items():
        path = ("workspaces", name, "key_hashes")
        if not workspace.key_hashes:
            yield path, "at least one key hash is needed"
        for number, key_hash in enumerate(workspace.key_hashes):
            owner = owners_by_hash.setdefault(key_hash, (name, number))
            if owner != (name, number):
                yield (
                    (*path, str(number)),
                    f"key hash is also one of workspace {owner[0]!r}",
                )
