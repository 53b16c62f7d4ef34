"""Consistency checks across answers.

The checks take the unvalidated values of the document, so that contradictions are
reported together with values that are missing or out of range.
"""

from savoryhill.config.findings import suggest_name


def find_contradictions(values):
    """Find contradictions between answers.

    Parameters
    ----------
    values : dict
        The document. Values of an unexpected type are skipped, because schema
        validation reports them.

    Yields
    ------
    tuple of (tuple, str)
        The path of the finding and its message.
    """
    yield from _check_not_empty(values)
    yield from _check_zones(values)
    yield from _check_hardware(values)
    yield from _check_endpoints(values)
    yield from _check_calls(values)
    yield from _check_workspaces(values)


def _mapping(value, key=None):
    """Return the value, or its entry ``key``, if it is a mapping, else an empty one."""
    value = value if key is None else _mapping(value).get(key)
    return value if isinstance(value, dict) else {}


def _items(value, key):
    """Return the items of the mapping at ``key``, each value as a mapping."""
    return ((name, _mapping(entry)) for name, entry in _mapping(value, key).items())


def _list(value, key):
    """Return the list at ``key``, or an empty one."""
    found = _mapping(value).get(key)
    return found if isinstance(found, list) else []


def _targets(values):
    """Yield section, name and answers of every model and service."""
    for section in ("models", "services"):
        for name, target in _items(values, section):
            yield section, name, target


def _endpoints(values):
    """Yield path, id and answers of every endpoint."""
    for section, name, target in _targets(values):
        for endpoint_id, endpoint in _items(target, "endpoints"):
            path = (section, name, "endpoints", endpoint_id)
            yield path, endpoint_id, endpoint


def _check_not_empty(values):
    for section in ("zones", "hardware", "workspaces", "kinds"):
        if values.get(section) == {}:
            yield (section,), "at least one entry is needed"
    if not values.get("models") and not values.get("services"):
        yield (), "at least one model or service is needed"
    for name in _mapping(values, "services"):
        if name in _mapping(values, "models"):
            yield ("services", name), "a model has the same name"


def _check_zones(values):
    zones = dict(_items(values, "zones"))
    if zones and all(zone.get("withdrawn") is True for zone in zones.values()):
        yield ("zones",), "all availability zones are withdrawn"
        return
    zones_in_use = {endpoint.get("zone") for _, _, endpoint in _endpoints(values)}
    for region in sorted({str(zone.get("region")) for zone in zones.values()}):
        names = [
            name
            for name, zone in zones.items()
            if str(zone.get("region")) == region and name in zones_in_use
        ]
        if names and all(zones[name].get("withdrawn") is True for name in names):
            yield (
                ("zones", names[0], "withdrawn"),
                f"every zone with endpoints in region {region!r} is withdrawn",
            )


def _check_hardware(values):
    for name, hardware in _items(values, "hardware"):
        cold, slots = hardware.get("cold_slots"), hardware.get("slots")
        if isinstance(cold, int) and isinstance(slots, int) and cold > slots:
            yield (
                ("hardware", name, "cold_slots"),
                f"{cold} exceeds slots, which is {slots}",
            )


def _check_endpoints(values):
    for section, name, target in _targets(values):
        if target.get("endpoints") == {}:
            yield (section, name, "endpoints"), "at least one endpoint is needed"
    paths_by_id, paths_by_address = {}, {}
    for path, endpoint_id, endpoint in _endpoints(values):
        for field, section in (("zone", "zones"), ("hardware", "hardware")):
            known = _mapping(values, section)
            value = endpoint.get(field)
            if isinstance(value, str) and value not in known:
                hint = suggest_name(value, known)
                yield (*path, field), f"unknown {field} {value!r}{hint}"
        first = paths_by_id.setdefault(endpoint_id, path)
        if first != path:
            yield path, f"endpoint id is also used at {'.'.join(map(str, first))}"
        address = endpoint.get("address")
        if not isinstance(address, str):
            continue
        first = paths_by_address.setdefault(address, path)
        if first != path:
            yield (
                (*path, "address"),
                f"address {address} is also used at {'.'.join(map(str, first))}",
            )


def _check_calls(values):
    kinds = _mapping(values, "kinds")
    for name, service in _items(values, "services"):
        path = ("services", name, "calls")
        if service.get("calls") == []:
            yield path, "at least one call is needed"
        numbers_by_call = {}
        for number, call in enumerate(map(_mapping, _list(service, "calls"))):
            yield from _check_call(call, (*path, str(number)), kinds)
            key = (call.get("method"), call.get("path"))
            first = numbers_by_call.setdefault(key, number)
            if first != number:
                yield (*path, str(number)), f"{key[0]} {key[1]} is also call {first}"
        statuses = list(map(str, _list(service, "not_run_statuses")))
        if len(set(statuses)) < len(statuses):
            yield ("services", name, "not_run_statuses"), "a status occurs twice"


def _check_call(call, path, kinds):
    kind = call.get("kind")
    if isinstance(kind, str) and kind not in kinds:
        yield (*path, "kind"), f"unknown kind {kind!r}{suggest_name(kind, kinds)}"
    if call.get("method") == "GET" and call.get("idempotent") is False:
        yield (*path, "idempotent"), "a GET call must be idempotent"
    if call.get("lookup_path") and call.get("idempotent") is True:
        yield (*path, "lookup_path"), "an idempotent call needs no lookup"


def _check_workspaces(values):
    owners_by_hash = {}
    for name, workspace in _items(values, "workspaces"):
        path = ("workspaces", name, "key_hashes")
        if workspace.get("key_hashes") == []:
            yield path, "at least one key hash is needed"
        for number, key_hash in enumerate(_list(workspace, "key_hashes")):
            owner = owners_by_hash.setdefault(str(key_hash), (name, number))
            if owner != (name, number):
                yield (
                    (*path, str(number)),
                    f"key hash is also one of workspace {owner[0]!r}",
                )
