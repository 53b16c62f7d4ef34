"""Identification of requests, and of the parts that their prompts share."""

from functools import lru_cache
from hashlib import blake2b
from itertools import islice

DIGEST_BYTES = 8
# Bounds the memory that one prompt takes. More do not fit into the header of a request,
# unless an operator allows much larger headers.
MAX_PARTS = 4_096
# Bounds the log line and the message to the client.
MAX_NAMED_DIGESTS = 64
REQUEST_PREFIX = "request-"
DIGEST_CACHE_ENTRIES = 4_096


def digest_parts(service, part_ids):
    """Return the digests of the parts of a prompt, without repetitions.

    Parameters
    ----------
    service : str
        Name of the service; engines of another service may treat a part differently.
    part_ids : iterable of str
        Ids of the parts, in the order of the prompt.

    Returns
    -------
    tuple of str
        At most ``MAX_PARTS`` digests of ``DIGEST_BYTES`` bytes, in hexadecimal.
    """
    unique_ids = islice(dict.fromkeys(part_ids), MAX_PARTS)
    return tuple(digest_part(service, part_id) for part_id in unique_ids)


def name_digests(digests):
    """Return digests as text: the first ones, and how many others there are."""
    digests = tuple(digests)
    names = ",".join(digests[:MAX_NAMED_DIGESTS])
    n_others = len(digests) - MAX_NAMED_DIGESTS
    return f"{names},and {n_others} more" if n_others > 0 else names


def start_body_digest():
    """Return a hash to which a request's body is added as it arrives."""
    return blake2b(digest_size=DIGEST_BYTES)


def digest_request(*, host, path, caller, body_digest):
    """Return the digest that a request has in common with its repetitions.

    Parameters
    ----------
    host, path : bytes
        Where the request is sent to, with its query.
    caller : str
        Name of the caller's workspace; empty if it has none.
    body_digest : bytes
        Digest of the body, see `start_body_digest`.

    Returns
    -------
    str
        ``DIGEST_BYTES`` bytes in hexadecimal, after a prefix that no part has.
    """
    digest = blake2b(digest_size=DIGEST_BYTES)
    for field in (host, path, caller.encode("utf-8", "replace"), body_digest):
        digest.update(len(field).to_bytes(4))
        digest.update(field)
    return REQUEST_PREFIX + digest.hexdigest()


def is_request_digest(subject):
    """Tell whether a digest is that of a request, not of a part of prompts."""
    return subject.startswith(REQUEST_PREFIX)


@lru_cache(maxsize=DIGEST_CACHE_ENTRIES)
def digest_part(service, part_id):
    """Return the digest of one part, in hexadecimal."""
    content = f"{service}/{part_id}".encode("utf-8", "replace")
    return blake2b(content, digest_size=DIGEST_BYTES).hexdigest()
