"""Limits that a request meets before anything is done for it."""

import contextlib

from bluebellthread import core
from bluebellthread.daemon import _clock
from bluebellthread.daemon import _http

LONGEST_CALLER = 128
"""Characters of a caller's name."""

OVERLOAD_RETRY_AFTER_MS = 1000
"""When to come back to a VM that has too many requests in progress."""

REMEDIES = {
    'caller-concurrency': 'wait for one of your requests to end',
    'caller-rate': 'send fewer requests a second',
}


class Admission:
    """Counts requests in and out, by caller and in all.

    Parameters
    ----------
    data_centre : str
        Where this VM stands.
    fleet : Fleet
        Has the configuration with the callers' limits.
    request_max : int
        Requests in progress at this VM at a time.
    """

    def __init__(self, *, data_centre, fleet, request_max):
        self._data_centre = data_centre
        self._fleet = fleet
        self._request_max = request_max
        self._limits = core.CallerLimits()
        self.in_progress = 0

    @contextlib.contextmanager
    def admit(self, caller):
        """Count a request of a caller, or raise `Refusal`."""
        if not caller or len(caller) > LONGEST_CALLER:
            raise _http.Refusal(
                status=400,
                kind='bad-caller',
                remedy=f'give X-Caller-Id 1 to {LONGEST_CALLER} characters',
            )
        if self.in_progress >= self._request_max:
            raise _http.Refusal(
                status=503,
                kind='overloaded',
                remedy='come back after the time in Retry-After',
                retry_after_ms=OVERLOAD_RETRY_AFTER_MS,
            )
        self._admit_caller(caller)
        self.in_progress += 1
        try:
            yield
        finally:
            self.in_progress -= 1
            self._limits.finish(caller)

    def _admit_caller(self, caller):
        values = core.resolve(
            self._fleet.configuration,
            data_centre=self._data_centre,
            caller=caller,
        )
        refusal = self._limits.admit(
            caller,
            concurrency=values.caller_concurrency,
            rate_per_s=values.caller_rate_per_s,
            now_ms=_clock.read_clock_ms(),
        )
        if refusal is not None:
            raise _http.Refusal(
                status=429,
                kind=refusal.kind,
                remedy=REMEDIES[refusal.kind],
                retry_after_ms=refusal.retry_after_ms,
            )
