"""Answers of calls as the journal stores them."""

import struct
from dataclasses import dataclass, field
from hashlib import sha256

from savoryhill.errors import JournalFormatError

MAX_STORED_BODY_BYTES = 2048
_HEADER = struct.Struct("!HIB")


@dataclass(frozen=True, kw_only=True, slots=True)
class StoredResponse:
    """The answer of a completed call.

    ``body`` is None if the body of ``n_bytes`` was too large to be stored; then
    ``digest`` is its SHA-256.
    """

    status: int
    content_type: str
    n_bytes: int
    body: bytes | None = field(repr=False)
    digest: bytes = b""


def pack_response(*, status, content_type, body):
    """Pack an answer into bytes; a large body is replaced by its digest.

    Parameters
    ----------
    status : int
        HTTP status.
    content_type : str
        Type of the body, at most 255 bytes; a longer one is not stored.
    body : bytes
        The body.

    Returns
    -------
    bytes
        At most ``MAX_STORED_BODY_BYTES`` and 262 more.
    """
    kind = content_type.encode()
    if len(kind) > 255:
        kind = b""
    stored = body if len(body) <= MAX_STORED_BODY_BYTES else sha256(body).digest()
    return _HEADER.pack(status, len(body), len(kind)) + kind + stored


def unpack_response(packed):
    """Unpack what `pack_answer` returned.

    Raises
    ------
    JournalFormatError
        If the bytes are truncated.
    """
    if len(packed) < _HEADER.size:
        raise JournalFormatError(f"stored answer of {len(packed)} bytes is truncated")
    status, n_bytes, n_kind = _HEADER.unpack_from(packed)
    start = _HEADER.size + n_kind
    content_type = packed[_HEADER.size : start].decode()
    rest = packed[start:]
    if n_bytes <= MAX_STORED_BODY_BYTES:
        if len(rest) != n_bytes:
            raise JournalFormatError(
                f"stored body has {len(rest)} bytes instead of {n_bytes}"
            )
        return StoredResponse(
            status=status, content_type=content_type, n_bytes=n_bytes, body=rest
        )
    return StoredResponse(
        status=status,
        content_type=content_type,
        n_bytes=n_bytes,
        body=None,
        digest=rest,
    )
