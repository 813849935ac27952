"""Reassembly of one answer from pieces in any order, with duplicates."""

import attrs

from bluebellthread.core import _errors

MAX_HELD_PIECES = 256
"""Maximum distance, in pieces, of a piece from the first missing piece."""


@attrs.frozen(kw_only=True)
class AnswerPiece:
    """Hold one piece of an answer, which is one token.

    Parameters
    ----------
    offset : int
        Position in the answer, in tokens from 0.
    text : str
        Text of the token.
    finish_reason : str
        ``'stop'`` or ``'length'`` on the last piece, else empty.
    """

    offset: int
    text: str
    finish_reason: str = ''


class TooManyHeldPiecesError(_errors.BluebellthreadError):
    """Raised if a piece arrives too far ahead of a missing one.

    Examples
    --------
    >>> str(TooManyHeldPiecesError(first_gap=3, offset=900))
    'answer piece 3 is missing, but piece 900 has arrived; resume from 3'
    """

    def __init__(self, *, first_gap, offset):
        self.first_gap = first_gap
        self.offset = offset
        super().__init__(
            f'answer piece {first_gap} is missing, but piece {offset} has '
            f'arrived; resume from {first_gap}'
        )


class Assembler:
    """Collect the pieces of one answer and release them in order.

    Parameters
    ----------
    max_held_pieces : int
        Maximum distance, in pieces, of a piece from the first missing piece.
        A piece farther ahead raises `TooManyHeldPiecesError`.
    ordered : bool
        Whether to reorder pieces and drop duplicates. Only tests turn it
        off; pieces are then released as they arrive.

    Examples
    --------
    >>> assembler = Assembler()
    >>> assembler.add(AnswerPiece(offset=1, text='b', finish_reason='stop'))
    ()
    >>> ready = assembler.add(AnswerPiece(offset=0, text='a'))
    >>> [piece.text for piece in ready], assembler.whole
    (['a', 'b'], True)
    """

    def __init__(self, *, max_held_pieces=MAX_HELD_PIECES, ordered=True):
        self._ordered = ordered
        self._max_held_pieces = max_held_pieces
        self._held = {}
        self._texts = []
        self._finish_reason = ''

    @property
    def first_gap(self):
        """Return the offset of the first missing piece."""
        return len(self._texts)

    @property
    def text(self):
        """Return the text of the answer up to the first missing piece."""
        return ''.join(self._texts)

    @property
    def finish_reason(self):
        """Return the last piece's finish reason; empty while incomplete."""
        return self._finish_reason

    @property
    def whole(self):
        """Return whether every piece up to the last has arrived."""
        return bool(self._finish_reason)

    @property
    def held_count(self):
        """Return how many pieces wait for an earlier missing piece."""
        return len(self._held)

    def add(self, piece):
        """Add a piece and return the pieces that can now be sent in order."""
        if self.whole:
            return ()
        if not self._ordered:
            return (self._append(piece),)
        if piece.offset < self.first_gap:
            return ()
        if piece.offset - self.first_gap > self._max_held_pieces:
            raise TooManyHeldPiecesError(
                first_gap=self.first_gap, offset=piece.offset
            )
        self._held.setdefault(piece.offset, piece)
        return tuple(self._take_ready())

    def drop_held(self):
        """Discard the pieces after the first missing one.

        Another engine may generate a different text after the gap.
        """
        self._held.clear()

    def _take_ready(self):
        while not self.whole and self.first_gap in self._held:
            yield self._append(self._held.pop(self.first_gap))

    def _append(self, piece):
        self._texts.append(piece.text)
        self._finish_reason = piece.finish_reason
        return piece
