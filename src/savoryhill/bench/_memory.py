"""The key-value service in memory, for cores in virtual time."""

from collections.abc import Callable
from dataclasses import dataclass, field

from savoryhill.config.store import Store
from savoryhill.core.events import KeyValueRow
from savoryhill.errors import OutcomeUnknownError, PlatformUnreachableError
from savoryhill.platform.key_value import KeyValueResponse


@dataclass(kw_only=True)
class MemoryService:
    """Key-value service in memory with compare-and-swap and faults.

    ``before_write`` is called with the number of a write before it is applied, so
    that a test can insert a write of another operator first. The next
    ``n_responses_to_lose`` writes are applied but report an unknown outcome.
    """

    rows_by_key: dict[str, KeyValueRow] = field(default_factory=dict)
    revision: int = 1
    down: bool = False
    n_responses_to_lose: int = 0
    n_reads: int = 0
    n_writes: int = 0
    before_write: Callable[[int], None] = lambda number: None
    on_put: Callable[[KeyValueRow], None] = lambda row: None


def memory_read(service, key, *, prefix=False):
    """Read like `savoryhill.platform.key_value.read_range`."""
    if service.down:
        raise PlatformUnreachableError("outage is switched on")
    service.n_reads += 1
    rows = tuple(
        row
        for name, row in sorted(service.rows_by_key.items())
        if (name.startswith(key) if prefix else name == key)
    )
    return KeyValueResponse(succeeded=True, revision=service.revision, rows=rows)


def memory_write(service, *, compares, puts=(), deletes=()):
    """Write like `savoryhill.platform.key_value.transact`."""
    if service.down:
        raise PlatformUnreachableError("outage is switched on")
    service.n_writes += 1
    service.before_write(service.n_writes)
    rows = service.rows_by_key
    succeeded = all(
        (rows[each.key].mod_revision if each.key in rows else 0) == each.mod_revision
        for each in compares
    )
    if succeeded:
        service.revision += 1
        for key, value in puts:
            rows[key] = KeyValueRow(key=key, value=value, mod_revision=service.revision)
            service.on_put(rows[key])
        for key in deletes:
            rows.pop(key, None)
    if service.n_responses_to_lose > 0:
        service.n_responses_to_lose -= 1
        raise OutcomeUnknownError("answer lost")
    return KeyValueResponse(succeeded=succeeded, revision=service.revision)


def memory_store(service):
    """Return a store on a service in memory."""
    return Store(
        read=lambda key, prefix=False: memory_read(service, key, prefix=prefix),
        write=lambda **parts: memory_write(service, **parts),
    )
