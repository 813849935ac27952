"""Dependencies of all streams of a process, and the error of one attempt."""

import attrs

from bluebellthread.entry import _work


class StreamBrokenError(Exception):
    """Raised when one attempt of a stream fails.

    Parameters
    ----------
    server : str
        The server that failed.
    retry_count : int
        Number of retries that another attempt takes from the retry budget,
        one for each call that it repeats.
    was_refused : bool
        Whether the decode server stated that it did not run the request.
    is_cut : bool
        Whether the connection broke while the server may have been at work.
    is_unreached : bool
        Whether no connection to the server could be opened.

    Attributes
    ----------
    is_path_lost : bool
        Whether no other server is reached either, so that this one is not
        to blame.
    """

    def __init__(
        self,
        server,
        retry_count,
        *,
        was_refused=False,
        is_cut=False,
        is_unreached=False,
    ):
        self.server = server
        self.retry_count = retry_count
        self.was_refused = was_refused
        self.is_cut = is_cut
        self.is_unreached = is_unreached
        self.is_path_lost = False
        super().__init__(server)


class GrantDisputedError(Exception):
    """Raised when a granted server can't be used by what this VM knows.

    Nothing was sent to that server.

    Parameters
    ----------
    dispute : Dispute
        Why the server can't be used.
    retry_count : int
        Number of retries that another attempt takes from the retry budget.
    """

    def __init__(self, dispute, retry_count):
        self.dispute = dispute
        self.retry_count = retry_count
        super().__init__(f'{dispute.server} is {dispute.kind}')


class NoPlacementError(Exception):
    """Raised when an attempt finds no server that it may use.

    Nothing of it has run.

    Parameters
    ----------
    kind : str
        Kind of the refusal that the caller gets if nothing else has run.
    retry_after_ms : int
        Milliseconds after which another try is worth while.
    """

    def __init__(self, kind, retry_after_ms=_work.UNSERVED_RETRY_MS):
        self.kind = kind
        self.retry_after_ms = retry_after_ms
        super().__init__(kind)


class PromptShutOutError(Exception):
    """Raised when the parts of a request's prompt are shut out meanwhile."""


@attrs.frozen(kw_only=True)
class StreamContext:
    """Holds the objects that all streams of a process use.

    Parameters
    ----------
    state : EntryState
        Supplies the settings, the routes and the backend servers.
    caller : ServerCaller
        Makes calls to backend servers.
    placements : PlacementClient
        Requests placements from the owners of services.
    origins : StreamOrigins
        Tells and finds where streams began.
    budgets : RetryBudgets
        Limits the retries.
    shut_outs : ShutOuts
        Knows which requests and prompts end engines.
    server_watch : ServerWatch
        Finds out which engines end.
    paths : PathWatch
        Knows which services this VM can't reach.
    silences : Silences
        Knows which servers are silent.
    hand_on : HandOn
        Hands requests on to VMs that can.
    dialect : Dialect
        Headers and control calls of the backend servers.
    stats : EntryStats
        Metrics of the process.
    """

    state: object
    caller: object
    placements: object
    origins: object
    budgets: object
    shut_outs: object
    server_watch: object
    paths: object
    silences: object
    hand_on: object
    dialect: object
    stats: object
