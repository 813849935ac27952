"""Puts the pieces of one answer into their order, each once."""

import attrs

from bluebellthread.core import _errors

MOST_HELD_PIECES = 256
"""Pieces kept for later while one before them is missing."""


@attrs.frozen(kw_only=True)
class AnswerPiece:
    """One token of an answer.

    Parameters
    ----------
    offset : int
        Its place in the answer, in tokens from 0.
    text : str
        The text.
    finish_reason : str
        ``'stop'`` or ``'length'`` on the last piece, else empty.
    """

    offset: int
    text: str
    finish_reason: str = ''


class TooManyHeldPiecesError(_errors.BluebellthreadError):
    """A piece is missing and too many after it have come.

    Examples
    --------
    >>> str(TooManyHeldPiecesError(first_gap=3, offset=900))
    'piece 3 is missing and piece 900 has come; resume from 3'
    """

    def __init__(self, *, first_gap, offset):
        self.first_gap = first_gap
        self.offset = offset
        super().__init__(
            f'piece {first_gap} is missing and piece {offset} has come; '
            f'resume from {first_gap}'
        )


class Assembler:
    """Collects the pieces of one answer.

    Parameters
    ----------
    most_held_pieces : int
        Pieces kept for later; one further ahead raises
        `TooManyHeldPiecesError`.
    ordered : bool
        Only tests turn it off; pieces then pass as they come.

    Examples
    --------
    >>> assembler = Assembler()
    >>> assembler.add(AnswerPiece(offset=1, text='b', finish_reason='stop'))
    ()
    >>> ready = assembler.add(AnswerPiece(offset=0, text='a'))
    >>> [piece.text for piece in ready], assembler.whole
    (['a', 'b'], True)
    """

    def __init__(self, *, most_held_pieces=MOST_HELD_PIECES, ordered=True):
        self._ordered = ordered
        self._most_held_pieces = most_held_pieces
        self._held = {}
        self._texts = []
        self._finish_reason = ''

    @property
    def first_gap(self):
        """Offset of the first piece that is missing."""
        return len(self._texts)

    @property
    def text(self):
        """The answer from its start to the first gap."""
        return ''.join(self._texts)

    @property
    def finish_reason(self):
        """The last piece's reason, once nothing is missing before it."""
        return self._finish_reason

    @property
    def whole(self):
        """Whether every piece up to the last has come."""
        return bool(self._finish_reason)

    @property
    def held_count(self):
        """Pieces that wait for one before them."""
        return len(self._held)

    def add(self, piece):
        """Take a piece in; return the pieces that are now in order."""
        if self.whole:
            return ()
        if not self._ordered:
            return (self._append(piece),)
        if piece.offset < self.first_gap:
            return ()
        if piece.offset - self.first_gap > self._most_held_pieces:
            raise TooManyHeldPiecesError(
                first_gap=self.first_gap, offset=piece.offset
            )
        self._held.setdefault(piece.offset, piece)
        return tuple(self._take_ready())

    def drop_held(self):
        """Forget the pieces after the first gap.

        Another engine may choose other words from there on.
        """
        self._held.clear()

    def _take_ready(self):
        while not self.whole and self.first_gap in self._held:
            yield self._append(self._held.pop(self.first_gap))

    def _append(self, piece):
        self._texts.append(piece.text)
        self._finish_reason = piece.finish_reason
        return piece
