"""What the parts of a stream's path share."""

import attrs


class StreamBrokenError(Exception):
    """One try of a stream failed.

    Parameters
    ----------
    server : str
        The server that failed it.
    repeat_count : int
        How many repeats of calls another try costs.
    was_refused : bool
        Whether the decode server said that it did not run the request.
    """

    def __init__(self, server, repeat_count, *, was_refused=False):
        self.server = server
        self.repeat_count = repeat_count
        self.was_refused = was_refused
        super().__init__(server)


@attrs.frozen(kw_only=True)
class StreamParts:
    """What the streams of a process share.

    Parameters
    ----------
    state : EntryState
    caller : ServerCaller
    placements : PlacementClient
    budgets : RepeatBudgets
    dialect : Dialect
    stats : EntryStats
    """

    state: object
    caller: object
    placements: object
    budgets: object
    dialect: object
    stats: object
