"""Decides whether a request whose runs broke may go to another server."""

import trio

SERVER_ENDS_MAX = 2
"""Servers that may end under one request before it is given up."""

CHECK_TIMEOUT_S = 0.2
"""How long a request whose run broke waits to learn whether its server has
ended: some round trips between regions, within the pause that callers allow.
"""


class CutRuns:
    """Collects the runs of one request that broke.

    Parameters
    ----------
    work : Work
        The request.
    server_watch : ServerWatch
        Finds out which servers end.
    shut_outs : ShutOuts
        Knows what has ended servers.
    """

    def __init__(self, *, work, server_watch, shut_outs):
        self._work = work
        self._watch = server_watch
        self._shut_outs = shut_outs
        self._runs = []

    def add(self, run):
        """Add a `WatchedRun` that broke."""
        self._runs.append(run)

    async def may_have_ended_servers(self):
        """Return whether the request itself may be what ends servers."""
        if not self._runs:
            return False
        work = self._work
        with trio.move_on_after(CHECK_TIMEOUT_S):
            ended = [await self._watch.wait_checked(run) for run in self._runs]
            return sum(ended) >= SERVER_ENDS_MAX or (
                ended[-1]
                and self._shut_outs.is_suspicious(work.service, work.parts)
            )
        return False
