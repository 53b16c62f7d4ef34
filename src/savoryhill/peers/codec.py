"""Encode messages between nodes.

A frame is a fixed header (protocol version, message type, incarnation, sequence
number, hybrid logical clock, sender) and a Cap'n Proto struct. The header is
checked before the struct is touched: an exception inside the Cap'n Proto library
takes a native stack trace, which crashes the process when it runs on a greenlet's
stack.
"""

import dataclasses
import struct
import zlib
from functools import cache
from pathlib import Path

import capnp

from savoryhill.core import messages
from savoryhill.core.scheduling import messages as jobs
from savoryhill.errors import PeerError

_SCHEMA_PATH = Path(__file__).parent / "schema" / "messages.capnp"
PROTOCOL_VERSION = 2
# A frame must hold a configuration of one megabyte and some more.
TRAVERSAL_LIMIT_WORDS = 8 * 1024 * 1024
# Packing first reserves the room that the plain message takes. Content without zero
# bytes needs more, and the exception by which the library notices it crashed the
# process: a configuration of 250 kB did so in each run. Other messages have enough
# zero bytes in pointers and numbers.
_DENSE_TYPES = frozenset(
    {
        messages.ConfigValue,
        messages.JournalReply,
        messages.JournalFinish,
        jobs.StoreUpdate,
    }
)
MAX_PACKED_BYTES = 2_048
_PACKED = 0x80
_HEADER = struct.Struct("!BBQQQB")

# The position is the message's type number, so new types are appended.
MESSAGE_TYPES = (
    messages.PlaceRequest,
    messages.PlaceReply,
    messages.PermitRelease,
    messages.PermitReport,
    messages.JournalReserve,
    messages.JournalReply,
    messages.JournalFinish,
    messages.ConfigAnnounce,
    messages.ConfigFetch,
    messages.ConfigValue,
    messages.Ping,
    messages.Ack,
    messages.PingRequest,
    messages.HandOver,
    messages.CoordinatorChanged,
    messages.ConfigCheck,
    messages.ConfigStatus,
    jobs.NodeHello,
    jobs.JobSubmit,
    jobs.JobPlaced,
    jobs.JobRejected,
    jobs.JobReport,
    jobs.StoreUpdate,
    jobs.NodeBeat,
    jobs.NodeAside,
)
_NUMBERS_BY_TYPE = {kind: number for number, kind in enumerate(MESSAGE_TYPES)}
_ITEM_TYPES_BY_FIELD = {
    (messages.PlaceReply, "parts"): messages.PromptPart,
    (messages.HeldPermit, "parts"): messages.PromptPart,
    (messages.PermitReport, "permits"): messages.HeldPermit,
    (messages.Ping, "updates"): messages.MemberUpdate,
    (messages.Ping, "groups"): messages.GroupSummary,
    (messages.Ack, "updates"): messages.MemberUpdate,
    (messages.Ack, "groups"): messages.GroupSummary,
    (jobs.StoreUpdate, "rows"): jobs.StoreItem,
}


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Envelope:
    """A message with its sender and the sequence number against replay."""

    sender: str
    incarnation: int
    sequence: int
    message: messages.Message
    hlc: int = 0


@cache
def _schema():
    capnp.remove_import_hook()
    return capnp.load(str(_SCHEMA_PATH))


def _camel(name):
    head, *tail = name.split("_")
    return head + "".join(part.capitalize() for part in tail)


@cache
def _fields(message_type):
    return tuple(
        (
            field.name,
            _camel(field.name),
            _ITEM_TYPES_BY_FIELD.get((message_type, field.name)),
        )
        for field in dataclasses.fields(message_type)
    )


# A configuration of full size shrinks to a quarter; 2,600 changes a day would
# otherwise take most of a node's share of control traffic.
_COMPRESSED_FIELDS = frozenset(
    {(messages.ConfigValue, "content"), (jobs.StoreItem, "value")}
)
MAX_DECOMPRESSED_BYTES = 16 * 1024 * 1024


def _decompress(content):
    reader = zlib.decompressobj()
    try:
        plain = reader.decompress(content, MAX_DECOMPRESSED_BYTES)
    except zlib.error as error:
        raise PeerError(f"compressed field is damaged: {error}") from error
    if not reader.eof:
        raise PeerError(f"compressed field of {len(content)} bytes is too large")
    return plain


def _plain(value):
    """Convert a message to the nested dictionaries that pycapnp takes."""
    values = {}
    for name, camel, item_type in _fields(type(value)):
        content = getattr(value, name)
        if (type(value), name) in _COMPRESSED_FIELDS:
            content = zlib.compress(content)
        elif item_type is not None:
            content = [_plain(item) for item in content]
        elif type(content) is tuple:
            content = list(content)
        values[camel] = content
    return values


def _build(message_type, reader):
    values = {}
    for name, camel, item_type in _fields(message_type):
        content = getattr(reader, camel)
        if (message_type, name) in _COMPRESSED_FIELDS:
            content = _decompress(content)
        elif item_type is not None:
            content = tuple(_build(item_type, item) for item in content)
        elif not isinstance(content, str | int | float | bytes):
            content = tuple(content)
        values[name] = content
    return message_type(**values)


def encode(envelope):
    """Encode an envelope.

    Parameters
    ----------
    envelope : Envelope
        What to encode.

    Returns
    -------
    bytes
        Header and packed Cap'n Proto struct.
    """
    message_type = type(envelope.message)
    sender = envelope.sender.encode()
    struct_type = getattr(_schema(), message_type.__name__)
    builder = struct_type.new_message(**_plain(envelope.message))
    number = _NUMBERS_BY_TYPE[message_type]
    plain_bytes = 8 * builder.total_size.word_count
    if message_type not in _DENSE_TYPES and plain_bytes <= MAX_PACKED_BYTES:
        body = builder.to_bytes_packed()
        number |= _PACKED
    else:
        body = builder.to_bytes()
    header = _HEADER.pack(
        PROTOCOL_VERSION,
        number,
        envelope.incarnation,
        envelope.sequence,
        envelope.hlc,
        len(sender),
    )
    return header + sender + body


def decode(data):
    """Decode an envelope that has been authenticated.

    Parameters
    ----------
    data : bytes
        What `encode` returned.

    Returns
    -------
    Envelope
        The decoded envelope.

    Raises
    ------
    PeerError
        If the header is truncated or its sender unreadable, or the protocol version
        or the message type is unknown.
    """
    if len(data) < _HEADER.size:
        raise PeerError(f"message of {len(data)} bytes is truncated")
    version, number, incarnation, sequence, hlc, n_sender = _HEADER.unpack_from(data)
    if version != PROTOCOL_VERSION:
        raise PeerError(f"unknown protocol version {version}")
    packed, number = number & _PACKED, number & ~_PACKED
    if number >= len(MESSAGE_TYPES):
        raise PeerError(f"unknown message type {number}")
    start = _HEADER.size + n_sender
    if len(data) <= start:
        raise PeerError(f"message of {len(data)} bytes is truncated")
    try:
        sender = data[_HEADER.size : start].decode()
    except UnicodeDecodeError as error:
        raise PeerError(f"sender's name is not UTF-8: {error}") from error
    message_type = MESSAGE_TYPES[number]
    struct_type = getattr(_schema(), message_type.__name__)
    if packed:
        reader = struct_type.from_bytes_packed(
            data[start:], traversal_limit_in_words=TRAVERSAL_LIMIT_WORDS
        )
        message = _build(message_type, reader)
    else:
        with struct_type.from_bytes(
            data[start:], traversal_limit_in_words=TRAVERSAL_LIMIT_WORDS
        ) as reader:
            message = _build(message_type, reader)
    return Envelope(
        sender=sender,
        incarnation=incarnation,
        sequence=sequence,
        message=message,
        hlc=hlc,
    )
