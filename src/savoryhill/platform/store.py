"""Client of the platform's metadata store."""

import json
from base64 import b64decode, b64encode
from dataclasses import dataclass
from urllib.parse import quote

from savoryhill.errors import (
    HistoryLostError,
    MalformedMessageError,
    NotConnectedError,
    OutcomeUnknownError,
    PlatformUnreachableError,
    StoreRefusedError,
)
from savoryhill.platform import names
from savoryhill.platform.json_values import is_text
from savoryhill.serving.http import encode_request
from savoryhill.serving.store_position import StorePosition
from savoryhill.serving.ways.connection import open_connection

CONNECT_TIMEOUT_S = 0.5
CALL_TIMEOUT_S = 1.0
# Fit the integers of messages between nodes.
MAX_ERA_DIGITS = 18
MAX_REVISION = 2**63 - 1


@dataclass(frozen=True, kw_only=True, slots=True)
class StoreRow:
    """One row; ``value`` is empty if the row was deleted.

    ``era`` is that of the response, or 0 if it named none. ``lease`` is 0 for a row
    without a lease.
    """

    key: str
    value: bytes
    revision: int
    is_deleted: bool = False
    era: int = 0
    lease: int = 0

    @property
    def position(self):
        """The moment of the store's history at which the row was written."""
        return StorePosition(era=self.era, revision=self.revision)


@dataclass(frozen=True, kw_only=True, slots=True)
class Lease:
    """A lease, and the era in which the store last named it.

    After the store has come back from a copy, the id may be that of another lease.
    """

    id: int
    era: int


@dataclass(frozen=True, kw_only=True, slots=True)
class StoreRows:
    """Rows, and the store revision up to which they are complete.

    ``era`` is 0 if the response named none.
    """

    rows: tuple[StoreRow, ...]
    revision: int
    era: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class StoreResponse:
    """A response of the store; ``era`` is 0 if it does not name one."""

    status: int
    content: object
    era: int


def decode_era(value):
    """Decode the era that a response names, or return 0.

    Parameters
    ----------
    value : bytes or None
        The header; anything but a number is no era.
    """
    if value is None or not value.isdigit() or len(value) > MAX_ERA_DIGITS:
        return 0
    return int(value)


def _is_position(value):
    """Tell whether a value can be a revision."""
    is_integer = isinstance(value, int) and not isinstance(value, bool)
    return is_integer and 0 <= value <= MAX_REVISION


def _decode_row(item, era):
    if not is_text(item["key"]) or not _is_position(item["revision"]):
        raise ValueError(f"key or revision of {item!r:.80}")
    if item.get("deleted"):
        return StoreRow(
            key=item["key"],
            value=b"",
            revision=item["revision"],
            is_deleted=True,
            era=era,
        )
    lease = item.get("lease", 0)
    return StoreRow(
        key=item["key"],
        value=b64decode(item["value"]),
        revision=item["revision"],
        era=era,
        lease=lease if _is_position(lease) else 0,
    )


def _decode_rows(items, era):
    rows = []
    for item in items:
        try:
            rows.append(_decode_row(item, era))
        except (AttributeError, KeyError, TypeError, ValueError):
            # Written by another writer; it names nothing that can be used.
            continue
    return tuple(rows)


def _field(content, name, field_type):
    """Return a field of an answer.

    Raises
    ------
    OutcomeUnknownError
        If it is missing or of another type. The call may have taken effect.
    """
    value = content.get(name)
    is_valid = (
        _is_position(value) if field_type is int else isinstance(value, field_type)
    )
    if not is_valid:
        raise OutcomeUnknownError(
            f"store: field {name!r} of the answer should be "
            f"{field_type.__name__}, got {value!r:.40}"
        )
    return value


class Store:
    """Client of the store at ``address``; each call opens a connection of its own.

    ``observe(operation, seconds, outcome)`` is called after each call. ``era`` is the
    latest one that a response named: the store counts them up whenever it has come back
    from an older copy. ``on_new_era(era, before)`` is called when it changes.
    """

    def __init__(self, *, address, clock, observe, on_new_era=None):
        self.address = address
        self._clock = clock
        self._observe = observe
        self._on_new_era = on_new_era
        self.era = 0

    def _call(self, method, target, body=None, *, timeout_s=CALL_TIMEOUT_S):
        """Send one call and return its response.

        Raises
        ------
        PlatformUnreachableError
            If no connection was made, so nothing was sent.
        OutcomeUnknownError
            If no valid response arrived, so the call may have taken effect.
        """
        operation = target.split("?")[0].rsplit("/", 1)[-1]
        started = self._clock.monotonic()
        outcome = "lost"
        try:
            response = self._exchange(method, target, body, timeout_s)
            outcome = str(response.status)
            self._note_era(response.era)
            return response
        except NotConnectedError as error:
            outcome = "unreachable"
            raise PlatformUnreachableError(f"store: {error}") from error
        except (
            OSError,
            MalformedMessageError,
            ValueError,
            RecursionError,
        ) as error:
            raise OutcomeUnknownError(f"store: {target}: {error!r}") from error
        finally:
            self._observe(operation, self._clock.monotonic() - started, outcome)

    def _exchange(self, method, target, body, timeout_s):
        headers = [(b"host", self.address.encode())]
        content = b""
        if body is not None:
            headers.append((b"content-type", b"application/json"))
            content = json.dumps(body).encode()
        message = encode_request(method, target.encode(), headers, content)
        connection = open_connection(self.address, timeout_s=CONNECT_TIMEOUT_S)
        try:
            connection.send(message, timeout_s=timeout_s)
            connection.receive_all(timeout_s=timeout_s)
            reader = connection.reader
            received = reader.take_body()
            return StoreResponse(
                status=reader.head.status,
                content=json.loads(received) if received else {},
                era=decode_era(reader.head.header(names.STORE_ERA)),
            )
        finally:
            connection.close()

    def _note_era(self, era):
        if era <= self.era:
            return
        before, self.era = self.era, era
        if self._on_new_era is not None:
            self._on_new_era(era, before)

    def read_prefix(self, prefix, *, after=""):
        """Read all rows whose keys start with ``prefix``.

        Returns
        -------
        StoreRows
            The rows of all pages. The pages are not one snapshot: ``revision`` is that
            of the first page and rows may be newer, so a watch that starts after
            ``revision`` misses no change.

        Raises
        ------
        HistoryLostError
            If the store came back from a copy between two pages.
        PlatformError
            If a page could not be read.
        """
        rows, revision, era = [], None, None
        while True:
            target = f"{names.STORE_RANGE_PATH}?pathPrefix={quote(prefix, safe='')}"
            if after:
                target += f"&after={quote(after, safe='')}"
            response = self._call(b"GET", target)
            content = self._require_ok(response)
            era = response.era if era is None else era
            if response.era != era:
                raise HistoryLostError(
                    f"store came back from a copy between two pages of {prefix!r}"
                )
            page = _decode_rows(_field(content, "items", list), era)
            rows += page
            if revision is None:
                revision = _field(content, "asOf", int)
            if not content.get("truncated"):
                return StoreRows(rows=tuple(rows), revision=revision, era=era)
            if not page or page[-1].key <= after:
                raise OutcomeUnknownError(
                    f"store: a page of {prefix!r} after {after!r} leads no further"
                )
            after = page[-1].key

    def watch(self, prefix, *, after_revision, wait_s):
        """Wait up to ``wait_s`` for changes after a revision.

        Raises
        ------
        HistoryLostError
            If the store no longer holds the changes after that revision.
        PlatformError
            If the call failed.
        """
        target = (
            f"{names.STORE_WATCH_PATH}?pathPrefix={quote(prefix, safe='')}"
            f"&after={after_revision}&waitMs={int(wait_s * 1000)}"
        )
        response = self._call(b"GET", target, timeout_s=wait_s + CALL_TIMEOUT_S)
        if response.status == 410:
            raise HistoryLostError(
                f"store no longer holds the changes after revision {after_revision}"
            )
        content = self._require_ok(response)
        return StoreRows(
            rows=_decode_rows(_field(content, "events", list), response.era),
            revision=_field(content, "asOf", int),
            era=response.era,
        )

    def read_row(self, key):
        """Read one row; return None if there is none.

        Raises
        ------
        PlatformError
            If the row could not be read.
        """
        target = f"{names.STORE_KEY_PATH}?key={quote(key, safe='')}"
        response = self._call(b"GET", target)
        if response.status == 404:
            return None
        rows = _decode_rows([self._require_ok(response)], response.era)
        if not rows:
            raise OutcomeUnknownError(f"store: the row {key!r} can't be read")
        return rows[0]

    def grant_lease(self, *, ttl_s):
        """Create a lease and return it."""
        body = {"ttlMs": int(ttl_s * 1000)}
        response = self._call(b"POST", names.STORE_LEASE_PATH, body)
        content = self._require_ok(response)
        return Lease(id=_field(content, "lease", int), era=response.era)

    def renew_lease(self, lease):
        """Renew the lease with the id of ``lease``; return it, or None if it ended.

        In another era than that of ``lease``, it may be somebody else's.
        """
        response = self._call(b"POST", f"{names.STORE_RENEW_PATH}{lease.id}")
        if response.status == 404:
            return None
        self._require_ok(response)
        return Lease(id=lease.id, era=response.era)

    def put(self, key, value, *, lease_id=0):
        """Write a row without a precondition and return its position."""
        row = {"key": key, "value": b64encode(value).decode(), "lease": lease_id}
        body = {"precondition": [], "writes": [row], "remove": []}
        response = self._call(b"POST", names.STORE_TRANSACTION_PATH, body)
        revision = _field(self._require_ok(response), "revision", int)
        return StorePosition(era=response.era, revision=revision)

    def _require_ok(self, response):
        if response.status != 200 or not isinstance(response.content, dict):
            raise StoreRefusedError(
                f"store answered {response.status}", status=response.status
            )
        return response.content
