"""Keys and values of the configuration in the key-value service."""

import json
import zlib
from base64 import b64decode, b64encode
from dataclasses import asdict, dataclass, field, fields
from hashlib import sha256

from savoryhill.errors import ConfigurationError

CURRENT_KEY = "/config/current"
# Holds what a watcher compares every 2 s. Reading the current key instead would move
# the whole configuration each time, which exceeds a node's 20 KB/s at full size.
HEAD_KEY = "/config/head"
HISTORY_PREFIX = "/config/history/"
PARTS_PREFIX = "/config/part/"
# The service holds values up to a megabyte; the record's other fields need a little.
MAX_CONTENT_BYTES = 900_000


@dataclass(frozen=True, kw_only=True, slots=True)
class Record:
    """One accepted revision.

    ``changed`` are the paths that it changed. ``content`` is the packed answers and
    configuration; it is empty when they are in ``n_parts`` part keys. ``digest`` is
    that of the generated configuration; ``attempt`` identifies the write, so that a
    lost answer can be settled.
    """

    revision: int
    author: str
    attempt: str
    taken_from: int
    digest: str
    applied_at_s: float = 0.0
    note: str = ""
    changed: tuple[tuple[str, ...], ...] = ()
    n_parts: int = 0
    content: bytes = field(default=b"", repr=False)


@dataclass(frozen=True, kw_only=True, slots=True)
class Head:
    """The small value that watchers compare."""

    revision: int
    digest: str = ""


def history_key(revision):
    """Return the key of an earlier revision."""
    return f"{HISTORY_PREFIX}{revision:012d}"


def parts_prefix(revision, attempt=""):
    """Return the prefix of the part keys of a revision, or of one attempt at it."""
    suffix = f"{attempt}/" if attempt else ""
    return f"{PARTS_PREFIX}{revision:012d}/{suffix}"


def compute_digest(content):
    """Return the digest of a generated configuration."""
    return sha256(content).hexdigest()


def encode_record(record):
    """Encode a record as JSON."""
    values = asdict(record)
    values["content"] = b64encode(record.content).decode()
    return json.dumps(values).encode()


def decode_record(value):
    """Decode what `encode_record` returned.

    Raises
    ------
    ConfigurationError
        If the value is not a record.
    """
    try:
        values = json.loads(value)
        values["content"] = b64decode(values["content"])
        values["changed"] = tuple(map(tuple, values["changed"]))
        return Record(**values)
    except (ValueError, TypeError, KeyError) as error:
        raise ConfigurationError(f"invalid configuration record: {error}") from error


def encode_head(record):
    """Encode the head of a record."""
    values = {each.name: getattr(record, each.name) for each in fields(Head)}
    return json.dumps(values).encode()


def decode_head(value):
    """Decode what `encode_head` returned.

    Raises
    ------
    ConfigurationError
        If the value is not a head.
    """
    try:
        return Head(**json.loads(value))
    except (ValueError, TypeError) as error:
        raise ConfigurationError(f"invalid configuration head: {error}") from error


def pack_content(answers, configuration):
    """Compress the answers' text and the generated configuration.

    Parameters
    ----------
    answers : str
        The questionnaire as the operator wrote it.
    configuration : bytes
        The generated configuration as JSON.

    Returns
    -------
    bytes
        The packed content.
    """
    document = {"answers": answers, "configuration": configuration.decode()}
    return zlib.compress(json.dumps(document).encode(), level=6)


def unpack_content(content):
    """Decompress what `pack_content` returned.

    Returns
    -------
    tuple of (str, bytes)
        The answers and the generated configuration.

    Raises
    ------
    ConfigurationError
        If the content is damaged or incomplete.
    """
    try:
        document = json.loads(zlib.decompress(content))
        return document["answers"], document["configuration"].encode()
    except (zlib.error, ValueError, TypeError, KeyError) as error:
        raise ConfigurationError(f"damaged configuration content: {error!r}") from error


def split_parts(record):
    """Return the part keys with their values, or nothing if the content fits."""
    if len(record.content) * 4 // 3 <= MAX_CONTENT_BYTES:
        return ()
    prefix = parts_prefix(record.revision, record.attempt)
    pieces = [
        record.content[start : start + MAX_CONTENT_BYTES]
        for start in range(0, len(record.content), MAX_CONTENT_BYTES)
    ]
    return tuple((f"{prefix}{n:04d}", piece) for n, piece in enumerate(pieces))


def assemble_content(record, parts):
    """Return the content of a record from its own field or from its parts.

    Parameters
    ----------
    record : Record
        The record.
    parts : sequence of bytes
        Values of the part keys in the order of their keys.

    Raises
    ------
    ConfigurationError
        If parts are missing.
    """
    if record.n_parts == 0:
        return record.content
    if len(parts) != record.n_parts:
        raise ConfigurationError(
            f"revision {record.revision} has {len(parts)} of {record.n_parts} parts"
        )
    return b"".join(parts)
