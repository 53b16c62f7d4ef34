"""Compact encoding of batches, segments and the meta key.

A batch and a segment are the same: a header with an identity and the wall time,
a table of origins, and rows. A reservation takes 62 bytes, an ending 46 and its
packed answer, for keys and digests of 16 bytes.
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
_NUMBERS_BY_STATUS = {status: number for number, status in enumerate(_STATUSES)}
_TEXT_REQUEST = 0x80
MAX_ATTEMPT_S = 0xFFFF


@dataclass(frozen=True, kw_only=True, slots=True)
class Row:
    """One operation of a batch or one entry of a segment."""

    key: bytes
    status: str
    origin: str
    request: bytes | str
    at_s: int
    deadline_wall_s: int = 0
    body_digest: bytes = b""
    response: bytes = b""


def split_attempt(attempt):
    """Split an attempt into its origin and its request.

    Parameters
    ----------
    attempt : str
        ``node:incarnation:request``.

    Returns
    -------
    tuple of (str, bytes or str)
        Origin, and the request as 16 bytes if it is 32 hexadecimal digits.
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
    """Undo `split_attempt`."""
    text = request.hex() if isinstance(request, bytes) else request
    return f"{origin}:{text}"


def attempt_node(attempt):
    """Return the node name and the incarnation of an attempt."""
    return origin_node(attempt.rpartition(":")[0])


def origin_node(origin):
    """Return the node name and the incarnation of an origin."""
    node, _, incarnation = origin.rpartition(":")
    return node, int(incarnation) if incarnation.isdigit() else 0


def row_bytes(row):
    """Return the encoded size of a row without its origin."""
    request = row.request if isinstance(row.request, bytes) else row.request.encode()
    parts = (request, row.key, row.body_digest, row.response)
    return _ROW.size + sum(map(len, parts))


def encode_rows(identity, at_s, rows):
    """Encode a batch or a segment.

    Parameters
    ----------
    identity : str
        Who wrote it; unique for each batch.
    at_s : int
        Wall time in seconds.
    rows : sequence of Row
        The rows in order.

    Returns
    -------
    bytes
        The encoding, which `decode_rows` reads.
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
        kind, request = _NUMBERS_BY_STATUS[row.status], row.request
        if isinstance(request, str):
            kind, request = kind | _TEXT_REQUEST, request.encode()
        lasts_s = min(MAX_ATTEMPT_S, max(0, row.deadline_wall_s - row.at_s))
        parts.append(
            _ROW.pack(
                kind,
                numbers_by_origin[row.origin],
                row.at_s,
                lasts_s if row.deadline_wall_s else 0,
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
            f"journal value of {len(value)} bytes is damaged: {error}"
        ) from error


def _decode_rows(value):
    version, n_name, _, n_origins, n_rows = _HEADER.unpack_from(value)
    if version != FORMAT:
        raise JournalFormatError(f"unknown journal format {version}")
    at = _HEADER.size + n_name
    identity = value[_HEADER.size : at].decode()
    origins = []
    for _ in range(n_origins):
        n_bytes = value[at]
        origins.append(intern(value[at + 1 : at + 1 + n_bytes].decode()))
        at += 1 + n_bytes
    rows = []
    for _ in range(n_rows):
        kind, origin, at_s, lasts_s, *lengths = _ROW.unpack_from(value, at)
        at += _ROW.size
        fields = []
        for length in lengths:
            fields.append(value[at : at + length])
            at += length
        request, key, body_digest, response = fields
        rows.append(
            Row(
                key=key,
                status=_STATUSES[kind & ~_TEXT_REQUEST],
                origin=origins[origin],
                request=request.decode() if kind & _TEXT_REQUEST else request,
                at_s=at_s,
                deadline_wall_s=at_s + lasts_s if lasts_s else 0,
                body_digest=body_digest,
                response=response,
            )
        )
    if at != len(value):
        raise JournalFormatError(f"journal value has {len(value)} bytes, not {at}")
    return identity, rows


def encode_meta(meta):
    """Encode a shard's meta key as JSON, which operators can read."""
    segments = [
        [each.last_position, each.n_bytes, each.newest_s] for each in meta.segments
    ]
    document = {"folded_through": meta.folded_through, "segments": segments}
    return json.dumps(document).encode()


def decode_meta(value):
    """Decode a shard's meta key.

    Raises
    ------
    JournalFormatError
        If the value is not what `encode_meta` writes.
    """
    try:
        document = json.loads(value)
        segments = tuple(
            Segment(last_position=last, n_bytes=n_bytes, newest_s=newest_s)
            for last, n_bytes, newest_s in document["segments"]
        )
        return Meta(folded_through=document["folded_through"], segments=segments)
    except (ValueError, KeyError, TypeError) as error:
        raise JournalFormatError(f"meta key is damaged: {error!r}") from error
