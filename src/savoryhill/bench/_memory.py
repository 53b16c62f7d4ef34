"""In-memory key-value service for cores in virtual time."""

from collections.abc import Callable
from dataclasses import dataclass, field

from savoryhill.config.store import Store
from savoryhill.core.events import KeyValueRow
from savoryhill.errors import OutcomeUnknownError, PlatformUnreachableError
from savoryhill.platform.key_value import KeyValueResponse


@dataclass(kw_only=True)
class MemoryService:
    """In-memory key-value service with compare-and-swap and fault injection.

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
    """Read rows like `savoryhill.platform.key_value.read_range`."""
    if service.down:
        raise PlatformUnreachableError("simulated outage of the key-value service")
    service.n_reads += 1
    rows = tuple(
        row
        for row_key, row in sorted(service.rows_by_key.items())
        if (row_key.startswith(key) if prefix else row_key == key)
    )
    return KeyValueResponse(succeeded=True, revision=service.revision, rows=rows)


def memory_write(service, *, compares, puts=(), deletes=()):
    """Write rows like `savoryhill.platform.key_value.transact`."""
    if service.down:
        raise PlatformUnreachableError("simulated outage of the key-value service")
    service.n_writes += 1
    service.before_write(service.n_writes)
    rows = service.rows_by_key
    succeeded = all(
        (rows[compare.key].mod_revision if compare.key in rows else 0)
        == compare.mod_revision
        for compare in compares
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
        raise OutcomeUnknownError("response lost; the write may have been applied")
    return KeyValueResponse(succeeded=succeeded, revision=service.revision)


def memory_store(service):
    """Make a store on an in-memory service."""
    return Store(
        read=lambda key, prefix=False: memory_read(service, key, prefix=prefix),
        write=lambda **parts: memory_write(service, **parts),
    )
