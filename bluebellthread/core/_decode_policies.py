"""Choices of the decode server for a request."""

from bluebellthread.core import _policies


@_policies.decode_policies.register('most-reported')
class MostReported(_policies.ServerPolicy):
    """Baseline: the most free pieces by the last, late report."""

    reserves = False

    def choose(self, request, candidates, rng):
        """Return the name with the most reported free pieces."""
        return max(candidates, key=lambda item: item.reported_free_pieces).name


@_policies.decode_policies.register('most-free')
class MostFree(_policies.ServerPolicy):
    """The most free pieces by the scheduler's own account."""

    def choose(self, request, candidates, rng):
        """Return the name with the most free pieces."""
        return max(candidates, key=lambda item: item.free_pieces).name


@_policies.decode_policies.register('best-fit')
class BestFit(_policies.ServerPolicy):
    """The fewest free pieces that still hold the request.

    Large gaps are kept whole for large requests.
    """

    def choose(self, request, candidates, rng):
        """Return the name with the tightest room."""
        return min(candidates, key=lambda item: item.free_pieces).name


@_policies.decode_policies.register('fewest-running')
class FewestRunning(_policies.ServerPolicy):
    """The fewest requests held, since each slows the others' pace."""

    def choose(self, request, candidates, rng):
        """Return the name with the fewest permits, then the most room."""
        return min(
            candidates,
            key=lambda item: (item.running_count, -item.free_pieces),
        ).name
