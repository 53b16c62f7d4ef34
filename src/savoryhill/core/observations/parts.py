"""Identification of the parts that prompts share."""

from functools import lru_cache
from hashlib import blake2b
from itertools import islice

DIGEST_BYTES = 8
# Bounds the memory and the log line of one prompt.
MAX_PARTS = 64
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


@lru_cache(maxsize=DIGEST_CACHE_ENTRIES)
def digest_part(service, part_id):
    """Return the digest of one part, in hexadecimal."""
    content = f"{service}/{part_id}".encode("utf-8", "replace")
    return blake2b(content, digest_size=DIGEST_BYTES).hexdigest()
