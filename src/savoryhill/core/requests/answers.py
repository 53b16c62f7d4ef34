"""Answers of plain services as they are passed on and kept in the journal."""

import json

# A journal batch and its segment hold many answers in values under a megabyte.
MAX_STORED_BYTES = 16 * 1024


def pack_response(*, status, content_type, body):
    """Join an answer's status, content type and body.

    Parameters
    ----------
    status : int
        HTTP status.
    content_type : str
        Media type.
    body : bytes
        Content.

    Returns
    -------
    bytes
        What `unpack_response` takes apart.
    """
    head = json.dumps({"status": status, "content_type": content_type})
    return head.encode() + b"\n" + body


def unpack_response(packed):
    """Take an answer apart.

    Returns
    -------
    tuple of (int, str, bytes, bool)
        Status, content type, body, and whether the body was kept.
    """
    head, _, body = packed.partition(b"\n")
    fields = json.loads(head)
    return fields["status"], fields["content_type"], body, not fields.get("cut")


def bound_response(packed):
    """Return a packed answer for the journal, without its body if too large."""
    if len(packed) <= MAX_STORED_BYTES:
        return packed
    status, content_type, _, _ = unpack_response(packed)
    head = {"status": status, "content_type": content_type, "cut": True}
    return json.dumps(head).encode() + b"\n"
