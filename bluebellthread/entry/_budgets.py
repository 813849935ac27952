"""The budgets of repeats of all services, on this VM's clock."""

from bluebellthread.core import routing
from bluebellthread.daemon import _clock

SAFE_SHARE = 0.75
"""Part of the fleet's slack that is used: VMs come and go within a window,
and each new one begins with a part of its own."""


class RepeatBudgets:
    """One `RepeatBudget` a service.

    Parameters
    ----------
    state : EntryState
    """

    def __init__(self, state):
        self._state = state
        self._budgets = {}

    def note_request(self, service):
        """Count a caller's request for a service."""
        self._budget_of(service).note_request(_clock.read_clock_ms())

    def spend(self, service, count=1):
        """Return whether so many repeats are allowed, and count them."""
        return self._budget_of(service).spend(
            now_ms=_clock.read_clock_ms(),
            vm_count=self._state.vm_count,
            count=count,
        )

    def _budget_of(self, service):
        budget = self._budgets.get(service)
        if budget is None:
            settings = self._state.settings
            budget = routing.RepeatBudget(
                ratio=settings.repeat_ratio * SAFE_SHARE,
                window_ms=settings.repeat_window_ms,
                slack=settings.repeat_slack * SAFE_SHARE,
            )
            self._budgets[service] = budget
        return budget
