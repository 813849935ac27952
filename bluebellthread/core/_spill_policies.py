"""Policies that send a request to another data centre when its own is full.

Only the prompt is sent to another data centre, never KV cache.
"""

import attrs

from bluebellthread.core import _model
from bluebellthread.core import _policies
from bluebellthread.core import _token_bucket

STALE_SUMMARY_MS = 3000
"""Age from which a peer's pool summary is ignored."""

MIN_SAVED_WAIT_MS = 100
"""Minimum waiting time that a spill must save."""

REQUEST_OVERHEAD_BYTES = 2000
"""Estimated bytes of a spilled request without its prompt, headers
included."""

BYTES_PER_OUTPUT_TOKEN = 120
"""Estimated bytes returned for each token of the answer."""


@attrs.frozen(kw_only=True)
class PoolSummary:
    """Describes one pool of a data centre, as the pool owner reports it.

    Examples
    --------
    >>> PoolSummary(data_centre='cluj-a', region='transilvania',
    ...             free_pieces=10, wait_ms=0, received_ms=5).free_pieces
    10
    """

    data_centre: str
    region: str
    free_pieces: int
    wait_ms: int
    received_ms: int


def link_bytes_of(request):
    """Return the estimated bytes that a spilled request and its answer take.

    Examples
    --------
    >>> import types
    >>> link_bytes_of(types.SimpleNamespace(
    ...     prompt_tokens=1000, output_tokens=100))
    18000
    """
    prompt_bytes = request.prompt_tokens * _model.CHARACTERS_PER_TOKEN
    answer_bytes = request.output_tokens * BYTES_PER_OUTPUT_TOKEN
    return REQUEST_OVERHEAD_BYTES + prompt_bytes + answer_bytes


class SpillPolicy:
    """Baseline: keeps every request in its own data centre.

    Parameters
    ----------
    link_bytes_per_s : float
        Bandwidth between regions that spilled requests may use.
    link_burst_bytes : int
        Bytes that spilled requests may send between regions in one burst.
    now_ms : int
        Time of creation.

    Examples
    --------
    >>> own = PoolSummary(data_centre='cluj-a', region='transilvania',
    ...                   free_pieces=0, wait_ms=900, received_ms=0)
    >>> SpillPolicy().choose(None, own, (), now_ms=0)
    ''
    """

    def __init__(self, *, link_bytes_per_s=0, link_burst_bytes=0, now_ms=0):
        self._link = _token_bucket.TokenBucket(
            rate_per_s=link_bytes_per_s, burst=link_burst_bytes, now_ms=now_ms
        )

    def choose(self, request, own, peers, *, now_ms):
        """Return the data centre to spill a request to, or an empty string.

        Parameters
        ----------
        request : PermitRequest
            The request to place.
        own : PoolSummary
            Summary of the pool in this data centre.
        peers : tuple of PoolSummary
            Summaries of the same model's pools in other data centres,
            sorted by data centre.
        now_ms : int
            Current time.
        """
        return ''


_policies.spill_policies.register('none')(SpillPolicy)


@_policies.spill_policies.register('region')
class RegionSpill(SpillPolicy):
    """Spills to the data centre with the shortest wait in the same region."""

    def choose(self, request, own, peers, *, now_ms):
        """Return the data centre to spill a request to, or an empty string."""
        inside = [peer for peer in peers if peer.region == own.region]
        return _choose_shortest_wait(request, own, inside, now_ms)


@_policies.spill_policies.register('regions')
class RegionsSpill(RegionSpill):
    """Spills inside the region, else to other regions within a link budget."""

    def choose(self, request, own, peers, *, now_ms):
        """Return the data centre to spill a request to, or an empty string."""
        inside = super().choose(request, own, peers, now_ms=now_ms)
        if inside:
            return inside
        outside = [peer for peer in peers if peer.region != own.region]
        chosen = _choose_shortest_wait(request, own, outside, now_ms)
        if chosen and self._link.take(link_bytes_of(request), now_ms=now_ms):
            return chosen
        return ''


def _choose_shortest_wait(request, own, peers, now_ms):
    pieces = _model.count_pieces(request.prompt_tokens, request.output_tokens)
    usable = [
        peer
        for peer in peers
        if peer.data_centre != own.data_centre
        and now_ms - peer.received_ms < STALE_SUMMARY_MS
        and peer.free_pieces >= pieces
        and peer.wait_ms + MIN_SAVED_WAIT_MS <= own.wait_ms
    ]
    if not usable:
        return ''
    best = min(usable, key=lambda peer: (peer.wait_ms, -peer.free_pieces))
    return best.data_centre
