"""Waits and switches of the distribution of revisions."""

import attrs


@attrs.frozen(kw_only=True)
class RevisionOptions:
    """Waits of the distribution.

    Parameters
    ----------
    exchange_interval_ms : int
        Between two questions to partners in the data centre, on average.
    far_interval_ms : int
        Between two questions of a watcher to other data centres.
    fetch_timeout_ms : int
        Longest wait for a revision from one VM.
    start_timeout_ms : int
        How long a started VM holds the platform's revision back until a
        peer has answered, since the platform may be behind the fleet.
    holds_at_start, ignores_older, exchanges, shares_watch : bool
        Whether the hold at the start, the order of revisions, the
        exchange of digests and the choice of watchers are on; tests turn
        them off to show what they are for.
    """

    exchange_interval_ms: int = 2000
    far_interval_ms: int = 1000
    fetch_timeout_ms: int = 2000
    start_timeout_ms: int = 1000
    holds_at_start: bool = True
    ignores_older: bool = True
    exchanges: bool = True
    shares_watch: bool = True
