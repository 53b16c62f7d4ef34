"""Bytes of a body, kept in blocks whose number does not depend on the sender."""

# A smaller block is joined with the next one: each object that holds a few bytes costs
# many times as much as they do.
MIN_BLOCK_BYTES = 16_384


class BodyBlocks:
    """Collects the pieces of a body.

    Pieces that are parsed at once are joined by `join_pieces`, which must be called
    before anything else runs; until then they are kept as they are. ``blocks`` holds
    what was joined.
    """

    def __init__(self):
        self._pieces = []
        self.blocks = []
        self.n_bytes = 0

    def add(self, piece):
        """Add a piece."""
        self._pieces.append(piece)
        self.n_bytes += len(piece)

    def join_pieces(self):
        """Join the pieces that were added; return them, or None if there are none."""
        if not self._pieces:
            return None
        joined = b"".join(self._pieces)
        self._pieces.clear()
        if self.blocks and len(self.blocks[-1]) < MIN_BLOCK_BYTES:
            self.blocks[-1] += joined
        else:
            self.blocks.append(joined)
        return joined

    def take(self):
        """Return all bytes and forget them."""
        self.join_pieces()
        data = b"".join(self.blocks)
        self.blocks.clear()
        self.n_bytes = 0
        return data
