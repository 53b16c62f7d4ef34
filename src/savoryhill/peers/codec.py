"""Encoding of messages between nodes.

An encoded message is a header (protocol version, message type, incarnation, sequence
number, hybrid logical clock, sender) and a Cap'n Proto struct. The header is checked
before the struct is read: an exception inside the Cap'n Proto library takes a native
stack trace, which crashes the process if it happens on a greenlet's stack.
"""

import dataclasses
import struct
import zlib
from functools import cache
from pathlib import Path

import capnp

from savoryhill.core import messages
from savoryhill.core.observations import messages as observations
from savoryhill.core.reachability import messages as reachability
from savoryhill.core.scheduling import messages as jobs
from savoryhill.errors import PeerError

_SCHEMA_PATH = Path(__file__).parent / "schema" / "messages.capnp"
PROTOCOL_VERSION = 2
# Large enough for a message with a configuration of one megabyte.
TRAVERSAL_LIMIT_WORDS = 8 * 1024 * 1024
# Packing first reserves as much space as the unpacked message takes. Content without
# zero bytes needs more when packed; the library then raises an exception internally,
# which crashed the process: a configuration of 250 kB did so in every run. Other
# messages have enough zero bytes in their pointers and numbers.
_UNPACKED_TYPES = frozenset(
    {
        messages.ConfigValue,
        messages.JournalReply,
        messages.JournalFinish,
        jobs.StoreUpdate,
        jobs.RetainedRows,
        observations.SharedObservations,
    }
)
MAX_PACKED_BYTES = 2_048
_PACKED_FLAG = 0x80
_HEADER = struct.Struct("!BBQQQB")

# A type's position is its number on the wire, so new types must be appended.
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
    observations.SharedObservations,
    observations.TurnRequest,
    observations.TurnReply,
    jobs.RetainedRows,
    reachability.RelayRequest,
    reachability.RelayReply,
    observations.BalanceRequest,
    observations.BalanceReply,
    observations.BalanceEnd,
    observations.BalanceFailure,
)
_NUMBERS_BY_TYPE = {
    message_type: type_number for type_number, message_type in enumerate(MESSAGE_TYPES)
}
_ITEM_TYPES_BY_FIELD = {
    (messages.PlaceReply, "parts"): messages.PromptPart,
    (messages.HeldPermit, "parts"): messages.PromptPart,
    (messages.PermitReport, "permits"): messages.HeldPermit,
    (messages.Ping, "updates"): messages.MemberUpdate,
    (messages.Ping, "groups"): messages.GroupSummary,
    (messages.Ack, "updates"): messages.MemberUpdate,
    (messages.Ack, "groups"): messages.GroupSummary,
    (jobs.StoreUpdate, "rows"): jobs.StoreItem,
    (jobs.RetainedRows, "rows"): jobs.StoreItem,
    (observations.SharedObservations, "items"): observations.ObservationItem,
}


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Envelope:
    """A message with its sender, clock and sequence number against replay."""

    sender: str
    incarnation: int
    sequence: int
    message: messages.Message
    hlc: int = 0


@cache
def _schema():
    capnp.remove_import_hook()
    return capnp.load(str(_SCHEMA_PATH))


def _camel_case(name):
    head, *tail = name.split("_")
    return head + "".join(part.capitalize() for part in tail)


@cache
def _wire_fields(message_type):
    return tuple(
        (
            field.name,
            _camel_case(field.name),
            _ITEM_TYPES_BY_FIELD.get((message_type, field.name)),
        )
        for field in dataclasses.fields(message_type)
    )


# Compression reduces a configuration of full size to a quarter. Without it, 2,600
# changes a day would use most of a node's share of control traffic.
_COMPRESSED_FIELDS = frozenset(
    {(messages.ConfigValue, "content"), (jobs.StoreItem, "value")}
)
MAX_DECOMPRESSED_BYTES = 16 * 1024 * 1024


def _decompress(content):
    decompressor = zlib.decompressobj()
    try:
        decompressed = decompressor.decompress(content, MAX_DECOMPRESSED_BYTES)
    except zlib.error as error:
        raise PeerError(f"compressed field cannot be decompressed: {error}") from error
    if not decompressor.eof:
        raise PeerError(
            f"compressed field of {len(content)} bytes is truncated or too large: it "
            f"must end within {MAX_DECOMPRESSED_BYTES} decompressed bytes"
        )
    return decompressed


def _to_builder_values(value):
    """Convert a message to the nested dictionaries that pycapnp expects."""
    values = {}
    for name, camel_case_name, item_type in _wire_fields(type(value)):
        content = getattr(value, name)
        if (type(value), name) in _COMPRESSED_FIELDS:
            content = zlib.compress(content)
        elif item_type is not None:
            content = [_to_builder_values(item) for item in content]
        elif type(content) is tuple:
            content = list(content)
        values[camel_case_name] = content
    return values


def _from_reader(message_type, reader):
    values = {}
    for name, camel_case_name, item_type in _wire_fields(message_type):
        content = getattr(reader, camel_case_name)
        if (message_type, name) in _COMPRESSED_FIELDS:
            content = _decompress(content)
        elif item_type is not None:
            content = tuple(_from_reader(item_type, item) for item in content)
        elif not isinstance(content, str | int | float | bytes):
            content = tuple(content)
        values[name] = content
    return message_type(**values)


def encode(envelope):
    """Encode an envelope.

    Parameters
    ----------
    envelope : Envelope
        The envelope to encode.

    Returns
    -------
    bytes
        Header and Cap'n Proto struct; the struct is packed if its type allows it and
        it is small.
    """
    message_type = type(envelope.message)
    sender = envelope.sender.encode()
    struct_type = getattr(_schema(), message_type.__name__)
    builder = struct_type.new_message(**_to_builder_values(envelope.message))
    type_number = _NUMBERS_BY_TYPE[message_type]
    n_unpacked_bytes = 8 * builder.total_size.word_count
    if message_type not in _UNPACKED_TYPES and n_unpacked_bytes <= MAX_PACKED_BYTES:
        body = builder.to_bytes_packed()
        type_number |= _PACKED_FLAG
    else:
        body = builder.to_bytes()
    header = _HEADER.pack(
        PROTOCOL_VERSION,
        type_number,
        envelope.incarnation,
        envelope.sequence,
        envelope.hlc,
        len(sender),
    )
    return header + sender + body


def _decode_struct(message_type, content, *, is_packed):
    struct_type = getattr(_schema(), message_type.__name__)
    if is_packed:
        reader = struct_type.from_bytes_packed(
            content, traversal_limit_in_words=TRAVERSAL_LIMIT_WORDS
        )
        return _from_reader(message_type, reader)
    with struct_type.from_bytes(
        content, traversal_limit_in_words=TRAVERSAL_LIMIT_WORDS
    ) as reader:
        return _from_reader(message_type, reader)


def decode(data):
    """Decode an envelope whose content has been authenticated.

    Parameters
    ----------
    data : bytes
        Result of `encode`.

    Returns
    -------
    Envelope
        The decoded envelope.

    Raises
    ------
    PeerError
        If the header is truncated, its sender is not UTF-8, the protocol version or
        the message type is unknown, the struct cannot be read, or a compressed field
        cannot be decompressed.
    """
    if len(data) < _HEADER.size:
        raise PeerError(
            f"message of {len(data)} bytes is truncated: its header takes "
            f"at least {_HEADER.size} bytes"
        )
    version, type_number, incarnation, sequence, hlc, n_sender_bytes = (
        _HEADER.unpack_from(data)
    )
    if version != PROTOCOL_VERSION:
        raise PeerError(
            f"unknown protocol version {version}; only {PROTOCOL_VERSION} is supported"
        )
    packed, type_number = type_number & _PACKED_FLAG, type_number & ~_PACKED_FLAG
    if type_number >= len(MESSAGE_TYPES):
        raise PeerError(f"unknown message type {type_number}")
    start = _HEADER.size + n_sender_bytes
    if len(data) <= start:
        raise PeerError(
            f"message of {len(data)} bytes is truncated: no struct after the header "
            f"of {start} bytes"
        )
    try:
        sender = data[_HEADER.size : start].decode()
    except UnicodeDecodeError as error:
        raise PeerError(f"sender's name is not UTF-8: {error}") from error
    message_type = MESSAGE_TYPES[type_number]
    try:
        message = _decode_struct(message_type, data[start:], is_packed=bool(packed))
    except (capnp.KjException, ValueError) as error:
        raise PeerError(
            f"{message_type.__name__} of {len(data)} bytes cannot be read: {error}"
        ) from error
    return Envelope(
        sender=sender,
        incarnation=incarnation,
        sequence=sequence,
        message=message,
        hlc=hlc,
    )
