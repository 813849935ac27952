"""Estimate the time since a caller's first try from its remaining time.

The load pattern: in a burst, refused callers retry after some seconds. Each
try has a new id, so a retry looks like a new request and would displace a
request that could still be on time.
"""

import collections

SAMPLE_COUNT = 64
"""Number of most recent requests of a route whose remaining times are kept:
some seconds of traffic at the usual rate of one VM."""

FIRST_TRY_QUANTILE = 0.9
"""Quantile of the remaining times that is taken as the remaining time of a
first try: even when most requests are retries, more than a tenth are first
tries."""

AGE_MIN_MS = 2500
"""Requests with a smaller estimated age count as first tries: the patience
of callers varies by up to two seconds, and refused callers retry after
three."""


class CallerAges:
    """Learn, for each route, how much time callers have on their first try.

    Examples
    --------
    >>> ages = CallerAges()
    >>> ages.estimate_ms('r1', 14000), ages.estimate_ms('r1', 10000)
    (0, 4000)
    """

    def __init__(self):
        self._samples = {}

    def estimate_ms(self, route, remaining_ms):
        """Record a request's remaining time; return the request's age.

        The age is estimated from the remaining times of the route's requests.

        Parameters
        ----------
        route : str
            Name of the route.
        remaining_ms : int
            Time in milliseconds that the caller is still willing to wait.

        Returns
        -------
        int
            Milliseconds since the caller's first try; 0 on the first try.
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
