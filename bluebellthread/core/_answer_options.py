"""Settings of a model request's state machine."""

import attrs


@attrs.frozen(kw_only=True)
class AnswerOptions:
    """How long each step may stay without progress.

    Parameters
    ----------
    prefill_timeout_ms, transfer_timeout_ms, piece_timeout_ms : int
        The steps; the last is the time to the next piece in order.
    orders_pieces, resumes, retries : bool
        Only tests turn them off.
    """

    prefill_timeout_ms: int = 20000
    transfer_timeout_ms: int = 3000
    piece_timeout_ms: int = 3000
    orders_pieces: bool = True
    resumes: bool = True
    retries: bool = True
