"""Limits on callers, connections and queues at one VM.

Each refusal has a kind and a retry delay; the refused request has not run.
"""

import collections

import attrs

from bluebellthread.core import _token_bucket

CONCURRENCY_RETRY_AFTER_MS = 500
"""Retry delay if a request, connection or queued item must end first."""

RATE_BURST_MS = 1000
"""Time in which a caller's rate refills its burst of requests."""

MIN_CALLERS_TO_SWEEP = 256
"""Minimum number of known callers before idle ones are removed."""


@attrs.frozen(kw_only=True)
class LimitRefusal:
    """Describes why a limit refuses a request or connection.

    Parameters
    ----------
    kind : str
        ``'caller-concurrency'``, ``'caller-rate'``, ``'connections'``,
        ``'caller-connections'`` or ``'queue-full'``.
    retry_after_ms : int
        Milliseconds after which the caller may retry.
    """

    kind: str
    retry_after_ms: int


@attrs.define(kw_only=True)
class _CallerUsage:
    bucket: _token_bucket.TokenBucket
    rate_per_s: float
    running_count: int = 0


class CallerLimits:
    """Limits the concurrency and request rate of each caller at one VM.

    Examples
    --------
    >>> limits = CallerLimits()
    >>> limits.admit('c', concurrency=1, rate_per_s=10.0, now_ms=0)
    >>> limits.admit('c', concurrency=1, rate_per_s=10.0, now_ms=1).kind
    'caller-concurrency'
    >>> limits.finish('c')
    """

    def __init__(self):
        self._callers = {}
        self._sweep_above = MIN_CALLERS_TO_SWEEP

    def admit(self, caller, *, concurrency, rate_per_s, now_ms):
        """Admit a request and return None, or return a `LimitRefusal`."""
        usage = self._find_or_add(caller, rate_per_s, now_ms)
        if usage.running_count >= concurrency:
            return LimitRefusal(
                kind='caller-concurrency',
                retry_after_ms=CONCURRENCY_RETRY_AFTER_MS,
            )
        if not usage.bucket.take(1, now_ms=now_ms):
            wait_ms = usage.bucket.wait_ms(1, now_ms=now_ms)
            return LimitRefusal(
                kind='caller-rate',
                retry_after_ms=RATE_BURST_MS if wait_ms is None else wait_ms,
            )
        usage.running_count += 1
        return None

    def finish(self, caller):
        """Record the end of an admitted request."""
        self._callers[caller].running_count -= 1

    def running_count(self, caller):
        """Return the number of requests that a caller has in progress."""
        usage = self._callers.get(caller)
        return usage.running_count if usage else 0

    def _find_or_add(self, caller, rate_per_s, now_ms):
        usage = self._callers.get(caller)
        if usage is None:
            self._sweep(now_ms)
            usage = _CallerUsage(
                bucket=_token_bucket.TokenBucket(
                    rate_per_s=rate_per_s,
                    burst=_burst_of(rate_per_s),
                    now_ms=now_ms,
                ),
                rate_per_s=rate_per_s,
            )
            self._callers[caller] = usage
        elif usage.rate_per_s != rate_per_s:
            usage.rate_per_s = rate_per_s
            usage.bucket.change_rate(
                rate_per_s=rate_per_s,
                burst=_burst_of(rate_per_s),
                now_ms=now_ms,
            )
        return usage

    def _sweep(self, now_ms):
        if len(self._callers) < self._sweep_above:
            return
        self._callers = {
            caller: usage
            for caller, usage in self._callers.items()
            if usage.running_count or not usage.bucket.is_full(now_ms=now_ms)
        }
        self._sweep_above = max(MIN_CALLERS_TO_SWEEP, 2 * len(self._callers))


class ConnectionLimits:
    """Limits open connections at one VM, in total and per peer address.

    Examples
    --------
    >>> limits = ConnectionLimits(maximum_count=2, peer_maximum_count=1)
    >>> limits.open('10.0.0.1')
    >>> limits.open('10.0.0.1').kind
    'caller-connections'
    >>> limits.close('10.0.0.1')
    """

    def __init__(self, *, maximum_count, peer_maximum_count):
        self._maximum_count = maximum_count
        self._peer_maximum_count = peer_maximum_count
        self._counts = collections.Counter()
        self._total = 0

    def open(self, peer):
        """Admit a connection and return None, or return a `LimitRefusal`."""
        if self._total >= self._maximum_count:
            return _refuse_connection('connections')
        if self._counts[peer] >= self._peer_maximum_count:
            return _refuse_connection('caller-connections')
        self._counts[peer] += 1
        self._total += 1
        return None

    def close(self, peer):
        """Record that an admitted connection was closed."""
        self._total -= 1
        self._counts[peer] -= 1
        if not self._counts[peer]:
            del self._counts[peer]


class BoundedQueue:
    """First-in, first-out queue with a maximum length.

    Examples
    --------
    >>> queue = BoundedQueue(maximum_count=1)
    >>> queue.put('a')
    >>> queue.put('b').kind
    'queue-full'
    >>> queue.get()
    'a'
    """

    def __init__(self, *, maximum_count):
        self._maximum_count = maximum_count
        self._items = collections.deque()

    def __len__(self):
        return len(self._items)

    def put(self, item):
        """Add an item and return None, or return a `LimitRefusal`."""
        if len(self._items) >= self._maximum_count:
            return LimitRefusal(
                kind='queue-full', retry_after_ms=CONCURRENCY_RETRY_AFTER_MS
            )
        self._items.append(item)
        return None

    def get(self):
        """Remove and return the oldest item, or None if empty."""
        return self._items.popleft() if self._items else None


def _burst_of(rate_per_s):
    return max(1.0, rate_per_s * RATE_BURST_MS / 1000)


def _refuse_connection(kind):
    return LimitRefusal(kind=kind, retry_after_ms=CONCURRENCY_RETRY_AFTER_MS)
