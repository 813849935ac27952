"""Where a request goes whose own data centre has no room.

Only a prompt travels to another data centre; KV cache never does.
"""

import attrs

from bluebellthread.core import _model
from bluebellthread.core import _policies
from bluebellthread.core import _token_bucket

STALE_SUMMARY_MS = 3000
"""Age from which a peer's summary is not believed."""

LEAST_GAIN_MS = 100
"""Wait that a spill must save to be worth it."""

REQUEST_OVERHEAD_BYTES = 2000
"""Bytes of a spilled request besides its prompt, headers included."""

BYTES_PER_OUTPUT_TOKEN = 120
"""Bytes of the answer that come back for each token."""


@attrs.frozen(kw_only=True)
class PoolSummary:
    """What a data centre says of one of its pools.

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
    """Return the bytes that a spilled request takes on a link.

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
    """Baseline: a request stays in its own data centre.

    Parameters
    ----------
    link_bytes_per_s : float
        What spilled requests may take of the link between regions.
    link_burst_bytes : int
        What they may take of it at once.
    now_ms : int
        The moment of the start.

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
        """Return the data centre to send a request to, or empty.

        Parameters
        ----------
        request : PermitRequest
            What is to be placed.
        own : PoolSummary
            The pool in this data centre.
        peers : tuple of PoolSummary
            The same model's pools elsewhere, sorted by data centre.
        now_ms : int
            The moment.
        """
        return ''


_policies.spill_policies.register('none')(SpillPolicy)


@_policies.spill_policies.register('region')
class RegionSpill(SpillPolicy):
    """To the freest data centre of the same region."""

    def choose(self, request, own, peers, *, now_ms):
        """Return the data centre to send a request to, or empty."""
        inside = [peer for peer in peers if peer.region == own.region]
        return _choose_freest(request, own, inside, now_ms)


@_policies.spill_policies.register('regions')
class RegionsSpill(RegionSpill):
    """Inside the region first, then across within the link's budget."""

    def choose(self, request, own, peers, *, now_ms):
        """Return the data centre to send a request to, or empty."""
        inside = super().choose(request, own, peers, now_ms=now_ms)
        if inside:
            return inside
        outside = [peer for peer in peers if peer.region != own.region]
        chosen = _choose_freest(request, own, outside, now_ms)
        if chosen and self._link.take(link_bytes_of(request), now_ms=now_ms):
            return chosen
        return ''


def _choose_freest(request, own, peers, now_ms):
    pieces = _model.count_pieces(request.prompt_tokens, request.output_tokens)
    usable = [
        peer
        for peer in peers
        if peer.data_centre != own.data_centre
        and now_ms - peer.received_ms < STALE_SUMMARY_MS
        and peer.free_pieces >= pieces
        and peer.wait_ms + LEAST_GAIN_MS <= own.wait_ms
    ]
    if not usable:
        return ''
    best = min(usable, key=lambda peer: (peer.wait_ms, -peer.free_pieces))
    return best.data_centre
