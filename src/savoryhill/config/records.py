"""Keys and value encodings of the configuration in the key-value service."""

import json
import zlib
from base64 import b64decode, b64encode
from dataclasses import asdict, dataclass, field, fields
from hashlib import sha256

from savoryhill.errors import ConfigurationError

CURRENT_KEY = "/config/current"
# Watchers poll the head every 2 s. Polling the current key would transfer the whole
# configuration each time, which at full size exceeds a node's budget of 20 KB/s.
HEAD_KEY = "/config/head"
HISTORY_PREFIX = "/config/history/"
PARTS_PREFIX = "/config/part/"
# The key-value service limits values to 1 MB; the remainder is for the record's other
# fields.
MAX_CONTENT_BYTES = 900_000


@dataclass(frozen=True, kw_only=True, slots=True)
class Record:
    """One accepted revision.

    ``changed`` lists the paths of the answers that the revision changed. ``content``
    holds the compressed answers and configuration; it is empty when they are stored
    in ``n_parts`` separate part keys. ``digest`` is the digest of the generated
    configuration. ``attempt`` identifies the write, so that a writer whose response
    was lost can tell whether the write was accepted.
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
    """Revision and digest of the accepted configuration, polled by watchers."""

    revision: int
    digest: str = ""


def history_key(revision):
    """Return the history key of a revision."""
    return f"{HISTORY_PREFIX}{revision:012d}"


def parts_prefix(revision, attempt=""):
    """Return the prefix of a revision's part keys, or of those of one attempt."""
    suffix = f"{attempt}/" if attempt else ""
    return f"{PARTS_PREFIX}{revision:012d}/{suffix}"


def compute_digest(content):
    """Return the hexadecimal SHA-256 digest of a generated configuration."""
    return sha256(content).hexdigest()


def encode_record(record):
    """Encode a record as JSON, with its content in base64."""
    values = asdict(record)
    values["content"] = b64encode(record.content).decode()
    return json.dumps(values).encode()


def decode_record(value):
    """Decode a record encoded by `encode_record`.

    Raises
    ------
    ConfigurationError
        If the value is not a valid record.
    """
    try:
        values = json.loads(value)
        values["content"] = b64decode(values["content"])
        values["changed"] = tuple(map(tuple, values["changed"]))
        return Record(**values)
    except (ValueError, TypeError, KeyError) as error:
        raise ConfigurationError(f"invalid configuration record: {error}") from error


def encode_head(record):
    """Encode the head of a record as JSON."""
    values = {
        head_field.name: getattr(record, head_field.name) for head_field in fields(Head)
    }
    return json.dumps(values).encode()


def decode_head(value):
    """Decode a head encoded by `encode_head`.

    Raises
    ------
    ConfigurationError
        If the value is not a valid head.
    """
    try:
        return Head(**json.loads(value))
    except (ValueError, TypeError) as error:
        raise ConfigurationError(f"invalid configuration head: {error}") from error


def pack_content(answers, configuration):
    """Compress the text of the answers and the generated configuration.

    Parameters
    ----------
    answers : str
        The questionnaire as YAML; the operator's comments are kept unless it was
        merged.
    configuration : bytes
        The generated configuration as JSON.

    Returns
    -------
    bytes
        The compressed content.
    """
    document = {"answers": answers, "configuration": configuration.decode()}
    return zlib.compress(json.dumps(document).encode(), level=6)


def unpack_content(content):
    """Decompress content compressed by `pack_content`.

    Parameters
    ----------
    content : bytes
        The compressed content.

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
    """Return part keys and values; empty if the content fits into the record.

    Base64 makes the content in the record larger by a third; parts hold raw bytes.
    """
    if len(record.content) * 4 // 3 <= MAX_CONTENT_BYTES:
        return ()
    prefix = parts_prefix(record.revision, record.attempt)
    parts = [
        record.content[start : start + MAX_CONTENT_BYTES]
        for start in range(0, len(record.content), MAX_CONTENT_BYTES)
    ]
    return tuple((f"{prefix}{number:04d}", part) for number, part in enumerate(parts))


def assemble_content(record, parts):
    """Return the content of a record, joined from its parts if it has any.

    Parameters
    ----------
    record : Record
        The record, whose ``n_parts`` is 0 if it holds its content itself.
    parts : sequence of bytes
        Values of the part keys, in key order.

    Returns
    -------
    bytes
        The compressed content.

    Raises
    ------
    ConfigurationError
        If the number of parts differs from the record's.
    """
    if record.n_parts == 0:
        return record.content
    if len(parts) != record.n_parts:
        raise ConfigurationError(
            f"revision {record.revision} has {len(parts)} of {record.n_parts} parts"
        )
    return b"".join(parts)
