"""Admission control: limits checked before a request is served."""

import contextlib

from bluebellthread import core
from bluebellthread.daemon import _clock
from bluebellthread.daemon import _http

MAX_CALLER_LENGTH = 128
"""Maximum number of characters in a caller's name."""

OVERLOAD_RETRY_AFTER_MS = 1000
"""Retry-After sent while this VM has too many requests in progress."""

REMEDIES = {
    'caller-concurrency': 'wait for one of your requests to end',
    'caller-rate': 'send fewer requests a second',
}


class Admission:
    """Limits the requests of each caller and the total in progress.

    Parameters
    ----------
    data_centre : str
        The data centre of this VM.
    fleet : Fleet
        Holds the configuration, which sets the callers' limits.
    request_max : int
        Maximum number of requests that this VM serves at a time.
    """

    def __init__(self, *, data_centre, fleet, request_max):
        self._data_centre = data_centre
        self._fleet = fleet
        self._request_max = request_max
        self._limits = core.CallerLimits()
        self.in_progress = 0

    @contextlib.contextmanager
    def admit(self, caller):
        """Count a caller's request as in progress during the ``with`` block.

        Raises
        ------
        Refusal
            If the caller's name is unusable or a limit is reached.
        """
        if not caller or len(caller) > MAX_CALLER_LENGTH:
            raise _http.Refusal(
                status=400,
                kind='bad-caller',
                remedy=f'give X-Caller-Id 1 to {MAX_CALLER_LENGTH} characters',
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
