"""Options of the state machine of a model request."""

import attrs


@attrs.frozen(kw_only=True)
class AnswerOptions:
    """Limit how long each step of a request may last without progress.

    Parameters
    ----------
    prefill_timeout_ms, transfer_timeout_ms : int
        Longest duration of a prefill and of a KV cache transfer.
    piece_timeout_ms : int
        Longest wait for the next piece that can be sent in order.
    reorders_pieces, resumes, retries : bool
        Whether to reorder pieces, resume answers and retry requests. Only
        tests turn these off.
    """

    prefill_timeout_ms: int = 20000
    transfer_timeout_ms: int = 3000
    piece_timeout_ms: int = 3000
    reorders_pieces: bool = True
    resumes: bool = True
    retries: bool = True
