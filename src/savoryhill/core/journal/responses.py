"""Encoding of the responses that the journal stores."""

import struct
from dataclasses import dataclass, field
from hashlib import sha256

from savoryhill.errors import JournalFormatError

MAX_STORED_BODY_BYTES = 2048
_HEADER = struct.Struct("!HIB")


@dataclass(frozen=True, kw_only=True, slots=True)
class StoredResponse:
    """Response of a completed call.

    If the body of ``n_bytes`` was too large to be stored, ``body`` is None and
    ``digest`` is the body's SHA-256 digest.
    """

    status: int
    content_type: str
    n_bytes: int
    body: bytes | None = field(repr=False)
    digest: bytes = b""


def pack_response(*, status, content_type, body):
    """Pack a response into bytes; a large body is replaced by its digest.

    Parameters
    ----------
    status : int
        HTTP status.
    content_type : str
        Content type of the body; one of more than 255 bytes is not stored.
    body : bytes
        The body.

    Returns
    -------
    bytes
        At most ``MAX_STORED_BODY_BYTES`` + 262 bytes.
    """
    encoded_type = content_type.encode()
    if len(encoded_type) > 255:
        encoded_type = b""
    stored = body if len(body) <= MAX_STORED_BODY_BYTES else sha256(body).digest()
    return _HEADER.pack(status, len(body), len(encoded_type)) + encoded_type + stored


def unpack_response(packed):
    """Unpack the result of `pack_response`.

    Raises
    ------
    JournalFormatError
        If the bytes are truncated.
    """
    if len(packed) < _HEADER.size:
        raise JournalFormatError(
            f"stored response is truncated: got {len(packed)} bytes, its header "
            f"alone takes {_HEADER.size}"
        )
    status, n_bytes, n_type_bytes = _HEADER.unpack_from(packed)
    start = _HEADER.size + n_type_bytes
    content_type = packed[_HEADER.size : start].decode()
    stored = packed[start:]
    if n_bytes <= MAX_STORED_BODY_BYTES:
        if len(stored) != n_bytes:
            raise JournalFormatError(
                f"stored body has {len(stored)} bytes instead of {n_bytes}"
            )
        return StoredResponse(
            status=status, content_type=content_type, n_bytes=n_bytes, body=stored
        )
    return StoredResponse(
        status=status,
        content_type=content_type,
        n_bytes=n_bytes,
        body=None,
        digest=stored,
    )
