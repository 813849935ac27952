"""Limit the retries of a service to one VM's share of the fleet's budget.

VMs do not tell each other how many retries they have spent. The shares of
all VMs add up to no more than the fleet's budget, even while the membership
view of one VM is incomplete.
"""

import collections


class WindowedRetryBudget:
    """One VM's share of the retry budget of one service.

    Parameters
    ----------
    ratio : float
        Retries allowed per request in the window.
    window_ms : int
        Length of the sliding window in milliseconds.
    slack : float
        Additional retries of the whole fleet per window.

    Examples
    --------
    >>> budget = WindowedRetryBudget(ratio=0.5, window_ms=1000, slack=2)
    >>> budget.note_request(0)
    >>> [budget.spend(now_ms=0, vm_count=2) for _ in range(2)]
    [True, False]
    >>> budget.spend(now_ms=2000, vm_count=2)
    True
    """

    def __init__(self, *, ratio, window_ms, slack):
        self._ratio = ratio
        self._window_ms = window_ms
        self._slack = slack
        self._requests_ms = collections.deque()
        self._retries_ms = collections.deque()

    def note_request(self, now_ms):
        """Count a request of a caller, which raises the budget."""
        self._requests_ms.append(now_ms)

    def forget_request(self):
        """Take back the latest request that was counted."""
        if self._requests_ms:
            self._requests_ms.pop()

    def spend(self, *, now_ms, vm_count, count=1):
        """Spend ``count`` retries if allowed; return whether they were."""
        if not self.allows(now_ms=now_ms, vm_count=vm_count, count=count):
            return False
        self._retries_ms.extend([now_ms] * count)
        return True

    def allows(self, *, now_ms, vm_count, count=1):
        """Return whether ``count`` retries may be spent now."""
        horizon_ms = now_ms - self._window_ms
        for times_ms in (self._requests_ms, self._retries_ms):
            while times_ms and times_ms[0] <= horizon_ms:
                times_ms.popleft()
        allowed = self._ratio * len(self._requests_ms) + self._slack / max(
            1, vm_count
        )
        return len(self._retries_ms) + count <= allowed
