"""Decides how long requests wait for a VM that has just started.

The load pattern: all VMs of a fleet lose power at once. Their callers come
back, and new ones come, while the VMs listen already but do not know the
configuration and the servers yet, which takes 0.3 s. A caller that is refused
then comes back later than that, and at a fleet that still has to serve the
others.
"""

import attrs

WAIT_MAX_MS = 500
"""Longest wait of one request: the wait of a VM that starts for its peers, and
a few round trips between regions for what it has to read."""

START_MAX_MS = 1500
"""Time after the start of a VM in which it may expect what it lacks. After
that the platform is away, and callers are better served by another VM."""

PATIENCE_SHARE = 4
"""A request waits for no more than this part of its caller's patience."""

WAITING_MAX = 256
"""Requests that wait at a time: with 16 KB each they take a small part of a
VM's memory."""


@attrs.define
class StartWait:
    """The waits of the requests at a VM that has just started.

    Parameters
    ----------
    start_ms : int
        When the VM started to listen.

    Attributes
    ----------
    waiting_count : int
        Requests that wait now.

    Examples
    --------
    >>> wait = StartWait(start_ms=1000)
    >>> wait.find_deadline_ms(now_ms=1100, patience_ms=1200)
    1400
    >>> wait.find_deadline_ms(now_ms=2500, patience_ms=1200)
    2500
    """

    start_ms: int
    waiting_count: int = 0

    def find_deadline_ms(self, *, now_ms, patience_ms):
        """Return until when a request waits; ``now_ms`` for not at all.

        Parameters
        ----------
        now_ms : int
            The time.
        patience_ms : int or None
            How long its caller waits for the answer, if it says so.
        """
        if self.waiting_count >= WAITING_MAX:
            return now_ms
        wait_ms = WAIT_MAX_MS
        if patience_ms is not None:
            wait_ms = min(wait_ms, patience_ms // PATIENCE_SHARE)
        return max(now_ms, min(now_ms + wait_ms, self.start_ms + START_MAX_MS))
