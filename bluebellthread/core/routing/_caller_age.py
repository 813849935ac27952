"""How long a caller has been trying, by the time that it has left.

The load pattern: at a burst, refused callers come back after some seconds.
Each try bears a new id, so a caller that has come back looks like a new one,
and takes the place of one that could still be on time.
"""

import collections

SAMPLE_COUNT = 64
"""Requests of a route that are looked back on: some seconds at a VM's usual
rate."""

USUAL_QUANTILE = 0.9
"""Part of the requests that have at most the usual time left: even when
most callers come back, more than a tenth are first tries."""

AGE_MIN_MS = 2500
"""Smaller differences are taken for first tries: callers' patience varies
by up to two seconds, and who was refused comes back after three."""


class CallerAges:
    """Learns how much time callers of each route have at first.

    Examples
    --------
    >>> ages = CallerAges()
    >>> ages.estimate_ms('r1', 14000), ages.estimate_ms('r1', 10000)
    (0, 4000)
    """

    def __init__(self):
        self._samples = {}

    def estimate_ms(self, route, remaining_ms):
        """Return about how long ago a caller has first tried.

        Parameters
        ----------
        route : str
            Name of the route.
        remaining_ms : int
            What the caller says that it will still wait.

        Returns
        -------
        int
            Milliseconds; 0 for a first try.
        """
        samples = self._samples.get(route)
        if samples is None:
            samples = collections.deque(maxlen=SAMPLE_COUNT)
            self._samples[route] = samples
        samples.append(remaining_ms)
        usual_ms = sorted(samples)[int(USUAL_QUANTILE * len(samples))]
        age_ms = usual_ms - remaining_ms
        return age_ms if age_ms >= AGE_MIN_MS else 0

    def keep_only(self, routes):
        """Forget the routes that are not among some."""
        self._samples = {
            route: samples
            for route, samples in self._samples.items()
            if route in routes
        }
