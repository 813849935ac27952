"""Decides what a VM that is being stopped still begins.

The failure this guards against: a VM accepts work as long as it listens, and
gives it up when its grace period ends. Whatever takes or begins work asks
here first, however the work has come.
"""

import math

import attrs

from bluebellthread.core.routing import _owner_share

STOPPING_STATE = 'leaving'
"""State of members that are being stopped."""

END_MARGIN_MS = 1000
"""Part of the grace period that is kept for answers that say that a request is
not done, and for closing connections, before the process is killed."""

EXIT_MARGIN_MS = END_MARGIN_MS // 2
"""Part of the grace period in which a process should have ended by itself; at
most half of it, so that requests under way are answered in the other half."""

BALANCER_LAG_MS = 2600
"""How long callers still arrive after a stop begins: the load balancer probes
once a second and stops sending callers after two failed probes. It goes on if
too many VMs stop at a time."""


@attrs.define
class StopSchedule:
    """The deadlines of a planned stop; none before it begins.

    Attributes
    ----------
    begun_ms : int or None
        When the stop began, on the boot-time clock.
    leave_ms : int or None
        Earliest time at which the process ends: by then the balancer sends
        callers elsewhere.
    end_deadline_ms : int or None
        When the requests under way are ended.
    exit_deadline_ms : int or None
        When the process ends.

    Examples
    --------
    >>> schedule = StopSchedule()
    >>> need = {'need_ms': 5000, 'likely_ms': 400, 'deadline_ms': 9000}
    >>> schedule.find_begin_deadline_ms(**need)
    inf
    >>> schedule.begin(1000, grace_ms=8000)
    >>> schedule.find_begin_deadline_ms(**need)
    3600
    """

    begun_ms: int | None = None
    leave_ms: int | None = None
    end_deadline_ms: int | None = None
    exit_deadline_ms: int | None = None

    @property
    def is_begun(self):
        """Whether the VM is being stopped."""
        return self.begun_ms is not None

    def begin(self, now_ms, *, grace_ms, lag_ms=BALANCER_LAG_MS):
        """Begin the stop; a second call changes nothing.

        Parameters
        ----------
        now_ms : int
            The time.
        grace_ms : int
            Time after which the process is killed.
        lag_ms : int
            How long callers still arrive.
        """
        if self.is_begun:
            return
        self.begun_ms = now_ms
        self.leave_ms = now_ms + min(lag_ms, grace_ms)
        self.end_deadline_ms = now_ms + max(0, grace_ms - END_MARGIN_MS)
        self.exit_deadline_ms = now_ms + max(
            grace_ms // 2, grace_ms - EXIT_MARGIN_MS
        )

    def find_begin_deadline_ms(self, *, need_ms, likely_ms, deadline_ms):
        """Return until when a request may begin; infinite without a stop.

        What surely ends in time may begin. Until the balancer knows of the
        stop, so may what likely ends: its caller could not avoid this VM, and
        may come to another one that stops if it is refused. A request that
        has to be answered by the end in any case may begin at any time.

        Parameters
        ----------
        need_ms : float
            Longest time that it takes; infinite if unknown.
        likely_ms : float
            Time that it likely takes at the most; infinite if unknown.
        deadline_ms : int
            When it must have been answered.
        """
        if not self.is_begun or deadline_ms <= self.end_deadline_ms:
            return math.inf
        return max(
            self.end_deadline_ms - need_ms,
            min(self.leave_ms, self.end_deadline_ms - likely_ms),
        )

    def find_remaining_ms(self, now_ms):
        """Return the time until requests are ended; infinite without a stop.

        Parameters
        ----------
        now_ms : int
            The time.
        """
        if not self.is_begun:
            return math.inf
        return max(0, self.end_deadline_ms - now_ms)


def find_stopping_share(states):
    """Return how likely a caller that is refused comes to a VM that stops.

    Parameters
    ----------
    states : iterable of str
        States of all other members.

    Returns
    -------
    float
        The part of those that run which are being stopped; 1 if none run.

    Examples
    --------
    >>> find_stopping_share(['alive', 'suspect', 'leaving', 'leaving', 'dead'])
    0.5
    """
    states = tuple(states)
    stopping_count = states.count(STOPPING_STATE)
    live_count = sum(state in _owner_share.LIVE_STATES for state in states)
    running_count = live_count + stopping_count
    return stopping_count / running_count if running_count else 1.0
