"""Compact encoding of batches, segments and the meta key.

Batches and segments have the same format: a header with an identity and the wall
time, a table of origins, and rows. With keys and digests of 16 bytes, a reservation
takes 62 bytes and an outcome 46 bytes plus the packed response.
"""

import json
import struct
from dataclasses import dataclass
from sys import intern

from savoryhill.core.journal.state import Meta, Segment
from savoryhill.errors import JournalFormatError

FORMAT = 1
_HEADER = struct.Struct("!BBIHI")
_ROW = struct.Struct("!BHIHBBBH")
_STATUSES = ("reserved", "done", "not_sent", "unknown")
_CODES_BY_STATUS = {status: code for code, status in enumerate(_STATUSES)}
_TEXT_REQUEST_FLAG = 0x80
MAX_ATTEMPT_S = 0xFFFF


@dataclass(frozen=True, kw_only=True, slots=True)
class Row:
    """One operation in a batch or one entry in a segment."""

    key: bytes
    status: str
    origin: str
    request: bytes | str
    at_s: int
    deadline_wall_s: int = 0
    body_digest: bytes = b""
    response: bytes = b""


def split_attempt(attempt):
    """Split an attempt into its origin and its request id.

    Parameters
    ----------
    attempt : str
        ``node:incarnation:request``.

    Returns
    -------
    tuple of (str, bytes or str)
        Origin and request id. A request id of 32 lower-case hexadecimal digits is
        returned as 16 bytes.
    """
    origin, _, request = attempt.rpartition(":")
    if len(request) == 32:
        try:
            compact = bytes.fromhex(request)
        except ValueError:
            return intern(origin), request
        if compact.hex() == request:
            return intern(origin), compact
    return intern(origin), request


def join_attempt(origin, request):
    """Join an origin and a request id; the inverse of `split_attempt`."""
    text = request.hex() if isinstance(request, bytes) else request
    return f"{origin}:{text}"


def attempt_node(attempt):
    """Return the node name and the incarnation of an attempt."""
    return origin_node(attempt.rpartition(":")[0])


def origin_node(origin):
    """Return the node name and the incarnation of an origin."""
    node, _, incarnation = origin.rpartition(":")
    return node, int(incarnation) if incarnation.isdigit() else 0


def encoded_row_size(row):
    """Return the encoded size of a row in bytes, without its origin."""
    request = row.request if isinstance(row.request, bytes) else row.request.encode()
    parts = (request, row.key, row.body_digest, row.response)
    return _ROW.size + sum(map(len, parts))


def encode_rows(identity, at_s, rows):
    """Encode a batch or a segment.

    Parameters
    ----------
    identity : str
        Identifies the writer; unique for each batch.
    at_s : int
        Wall time in seconds.
    rows : sequence of Row
        The rows in order.

    Returns
    -------
    bytes
        The encoded value, as `decode_rows` reads it.
    """
    name = identity.encode()
    numbers_by_origin = {}
    for row in rows:
        numbers_by_origin.setdefault(row.origin, len(numbers_by_origin))
    parts = [_HEADER.pack(FORMAT, len(name), at_s, len(numbers_by_origin), len(rows))]
    parts.append(name)
    for origin in numbers_by_origin:
        text = origin.encode()
        parts += (bytes((len(text),)), text)
    for row in rows:
        code, request = _CODES_BY_STATUS[row.status], row.request
        if isinstance(request, str):
            code, request = code | _TEXT_REQUEST_FLAG, request.encode()
        remaining_s = min(MAX_ATTEMPT_S, max(0, row.deadline_wall_s - row.at_s))
        parts.append(
            _ROW.pack(
                code,
                numbers_by_origin[row.origin],
                row.at_s,
                remaining_s if row.deadline_wall_s else 0,
                len(request),
                len(row.key),
                len(row.body_digest),
                len(row.response),
            )
        )
        parts += (request, row.key, row.body_digest, row.response)
    return b"".join(parts)


def decode_rows(value):
    """Decode a batch or a segment.

    Returns
    -------
    tuple of (str, list of Row)
        Identity and rows.

    Raises
    ------
    JournalFormatError
        If the format is unknown or the value is truncated.
    """
    try:
        return _decode_rows(value)
    except (struct.error, IndexError, UnicodeDecodeError) as error:
        raise JournalFormatError(
            f"journal value of {len(value)} bytes cannot be decoded: {error}"
        ) from error


def _decode_rows(value):
    version, n_identity_bytes, _, n_origins, n_rows = _HEADER.unpack_from(value)
    if version != FORMAT:
        raise JournalFormatError(
            f"unknown journal format {version}; only format {FORMAT} is supported"
        )
    offset = _HEADER.size + n_identity_bytes
    identity = value[_HEADER.size : offset].decode()
    origins = []
    for _ in range(n_origins):
        n_bytes = value[offset]
        origins.append(intern(value[offset + 1 : offset + 1 + n_bytes].decode()))
        offset += 1 + n_bytes
    rows = []
    for _ in range(n_rows):
        code, origin_number, at_s, remaining_s, *lengths = _ROW.unpack_from(
            value, offset
        )
        offset += _ROW.size
        fields = []
        for length in lengths:
            fields.append(value[offset : offset + length])
            offset += length
        request, key, body_digest, response = fields
        rows.append(
            Row(
                key=key,
                status=_STATUSES[code & ~_TEXT_REQUEST_FLAG],
                origin=origins[origin_number],
                request=request.decode() if code & _TEXT_REQUEST_FLAG else request,
                at_s=at_s,
                deadline_wall_s=at_s + remaining_s if remaining_s else 0,
                body_digest=body_digest,
                response=response,
            )
        )
    if offset != len(value):
        raise JournalFormatError(
            f"journal value has {len(value)} bytes, its rows end at byte {offset}"
        )
    return identity, rows


def encode_meta(meta):
    """Encode a shard's meta key as JSON, so that operators can read it."""
    segments = [
        [segment.last_position, segment.n_bytes, segment.newest_s]
        for segment in meta.segments
    ]
    document = {"folded_through": meta.folded_through, "segments": segments}
    return json.dumps(document).encode()


def decode_meta(value):
    """Decode a shard's meta key.

    Raises
    ------
    JournalFormatError
        If the value was not written by `encode_meta`.
    """
    try:
        document = json.loads(value)
        segments = tuple(
            Segment(last_position=last, n_bytes=n_bytes, newest_s=newest_s)
            for last, n_bytes, newest_s in document["segments"]
        )
        return Meta(folded_through=document["folded_through"], segments=segments)
    except (ValueError, KeyError, TypeError) as error:
        raise JournalFormatError(f"meta key cannot be decoded: {error!r}") from error
