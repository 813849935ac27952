"""Policies that choose the decode server of a request."""

from bluebellthread.core import _policies


@_policies.decode_policies.register('most-reported')
class MostReported(_policies.ServerPolicy):
    """Baseline: chooses the server that reports the most free memory.

    A load report does not yet show the latest grants, so the choice may
    be out of date.
    """

    reserves = False

    def choose(self, request, candidates, rng):
        """Return the server with the most free memory blocks reported."""
        return max(candidates, key=lambda item: item.reported_free_pieces).name


@_policies.decode_policies.register('most-free')
class MostFree(_policies.ServerPolicy):
    """Chooses the server with the most unreserved memory.

    The scheduler counts the reservations itself, so there is no lag.
    """

    def choose(self, request, candidates, rng):
        """Return the server with the most free memory blocks."""
        return max(candidates, key=lambda item: item.free_pieces).name


@_policies.decode_policies.register('best-fit')
class BestFit(_policies.ServerPolicy):
    """Chooses the server with the least free memory that suffices.

    Servers with much free memory are kept for large requests.
    """

    def choose(self, request, candidates, rng):
        """Return the server with the fewest free memory blocks."""
        return min(candidates, key=lambda item: item.free_pieces).name


@_policies.decode_policies.register('fewest-running')
class FewestRunning(_policies.ServerPolicy):
    """Chooses the server with the fewest permits.

    Each request on a decode server slows the others.
    """

    def choose(self, request, candidates, rng):
        """Return the server with the fewest permits, ties by free memory."""
        return min(
            candidates,
            key=lambda item: (item.running_count, -item.free_pieces),
        ).name
