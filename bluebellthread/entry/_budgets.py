"""Limits the retries that this VM sends for each service."""

from bluebellthread.core import routing
from bluebellthread.daemon import _clock

SPENDABLE_SHARE = 0.75
"""Fraction of the configured retry budget that the VMs together may spend. The
rest is a reserve for VMs that join or leave within a window: each new VM
starts with an unspent part."""


class RetryBudgets:
    """Keeps one `WindowedRetryBudget` for each service.

    Parameters
    ----------
    state : EntryState
        Supplies the budget settings and the number of VMs.
    """

    def __init__(self, state):
        self._state = state
        self._budgets = {}

    def note_request(self, service):
        """Count a caller's request, which raises its service's budget."""
        self._budget_of(service).note_request(_clock.read_clock_ms())

    def forget_request(self, service):
        """Take back the latest request: another VM counts it."""
        self._budget_of(service).forget_request()

    def spend(self, service, count=1):
        """Return whether ``count`` retries are allowed; if so, count them."""
        return self._budget_of(service).spend(
            now_ms=_clock.read_clock_ms(),
            vm_count=self._state.vm_count,
            count=count,
        )

    def allows(self, service, count=1):
        """Return whether ``count`` retries may be spent now."""
        return self._budget_of(service).allows(
            now_ms=_clock.read_clock_ms(),
            vm_count=self._state.vm_count,
            count=count,
        )

    def _budget_of(self, service):
        budget = self._budgets.get(service)
        if budget is None:
            settings = self._state.settings
            budget = routing.WindowedRetryBudget(
                ratio=settings.repeat_ratio * SPENDABLE_SHARE,
                window_ms=settings.repeat_window_ms,
                slack=settings.repeat_slack * SPENDABLE_SHARE,
            )
            self._budgets[service] = budget
        return budget
