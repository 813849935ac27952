"""Estimate how long ago a caller first tried, from its remaining time.

The load pattern: in a burst, refused callers retry after some seconds. Each
try has a new id, so a retry looks like a new request and would displace one
that could still be on time.
"""

import collections

SAMPLE_COUNT = 64
"""Most recent requests of a route that are kept: some seconds of traffic at
the usual rate of one VM."""

FIRST_TRY_QUANTILE = 0.9
"""Quantile of the remaining times that is taken as the remaining time of a
first try: even when most requests are retries, more than a tenth are first
tries."""

AGE_MIN_MS = 2500
"""Requests with a smaller estimated age count as first tries: the patience
of callers varies by up to two seconds, and refused callers retry after
three."""


class CallerAges:
    """Learn how much time callers of each route have on their first try.

    Examples
    --------
    >>> ages = CallerAges()
    >>> ages.estimate_ms('r1', 14000), ages.estimate_ms('r1', 10000)
    (0, 4000)
    """

    def __init__(self):
        self._samples = {}

    def estimate_ms(self, route, remaining_ms):
        """Return about how long ago a caller first tried.

        Parameters
        ----------
        route : str
            Name of the route.
        remaining_ms : int
            Time in milliseconds that the caller is still willing to wait.

        Returns
        -------
        int
            Age in milliseconds; 0 for a first try.
        """
        samples = self._samples.get(route)
        if samples is None:
            samples = collections.deque(maxlen=SAMPLE_COUNT)
            self._samples[route] = samples
        samples.append(remaining_ms)
        first_try_ms = sorted(samples)[int(FIRST_TRY_QUANTILE * len(samples))]
        age_ms = first_try_ms - remaining_ms
        return age_ms if age_ms >= AGE_MIN_MS else 0

    def keep_only(self, routes):
        """Discard the samples of all routes except ``routes``."""
        self._samples = {
            route: samples
            for route, samples in self._samples.items()
            if route in routes
        }
