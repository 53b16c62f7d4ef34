"""Length estimates and prefix hashes of a prompt that is not tokenized yet."""

from hashlib import blake2b

# English text has about 4 bytes per token; other text deviates by up to half.
BYTES_PER_TOKEN = 4
FIRST_PREFIX_BYTES = 2048


def estimate_tokens(n_bytes):
    """Estimate the number of tokens of a prompt of ``n_bytes`` bytes."""
    return max(1, n_bytes // BYTES_PER_TOKEN)


def prefix_chain(prompt):
    """Hash a prompt's prefixes at doubling lengths.

    Parameters
    ----------
    prompt : bytes
        The prompt.

    Returns
    -------
    tuple of tuple of (int, int)
        For the first 2048, 4096, 8192 ... bytes: a 63-bit hash, and the estimated
        length in tokens.
    """
    chain = []
    digest = blake2b(digest_size=8)
    start, end = 0, FIRST_PREFIX_BYTES
    while end <= len(prompt):
        digest.update(prompt[start:end])
        value = int.from_bytes(digest.copy().digest(), "big") >> 1
        chain.append((value, end // BYTES_PER_TOKEN))
        start, end = end, 2 * end
    return tuple(chain)


def prefix_hashes(prompt):
    """Return the hashes of `prefix_chain` without the lengths."""
    return tuple(value for value, _ in prefix_chain(prompt))
