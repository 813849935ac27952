"""Delay the grants of a new service owner until it knows all placements.

The load pattern: VMs are restarted one after another under load, so that the
owner of a service changes every few seconds. If a new owner granted
placements without knowing those in use, decode servers would refuse requests
whose prefill has already run.
"""

import attrs

from bluebellthread.core.routing import _allocator
from bluebellthread.core.routing import _allocator_options

CONTENDED_MS = 10000
"""How long after the last sign that a service's requests compete for engines
it is decided with `CONTENDED_OPTIONS`: VMs of older builds never tell."""

REBUILD_TIMEOUT_MS = 600
"""Longest wait of a new owner for VMs that have not sent their placements: a
membership update has spread by then, and an answer can still be on time."""

OWNER_IDLE_TIMEOUT_MS = 1500
"""Time without requests after which a VM that is not the owner in its own
membership view discards its account of placements, since no VM keeps that up
to date."""


@attrs.define
class _Epoch:
    started_ms: int
    last_request_ms: int
    registered: set = attrs.field(factory=set)
    is_complete: bool = False
    contended_until_ms: int = 0


class OwnedAllocator:
    """A service's allocator, rebuilt each time this VM becomes the owner.

    Parameters
    ----------
    options : AllocatorOptions or None
        Options of each new allocator; None for the defaults.
    rng : random.Random
        Source of jitter for the retry delay of refused callers.
    limits : object or None
        Limits of engines, see `Allocator`.

    Examples
    --------
    >>> import random
    >>> owned = OwnedAllocator(options=None, rng=random.Random(1))
    >>> owned.note_request(0)
    >>> owned.may_grant({('vm1', 1)}, 10)
    False
    >>> owned.may_grant({('vm1', 1)}, 700)
    True
    """

    def __init__(self, *, options, rng, limits=None):
        self._limits = limits
        self._options = options
        self._rng = rng
        self._epoch = None
        self.allocator = self._make_allocator()

    def _make_allocator(self):
        return _allocator.Allocator(
            options=self._options, rng=self._rng, limits=self._limits
        )

    @property
    def is_active(self):
        """Whether this VM currently acts as the owner."""
        return self._epoch is not None

    def note_request(self, now_ms):
        """Record a request, and start an ownership epoch if none is active."""
        if self._epoch is None:
            self.allocator = self._make_allocator()
            self._epoch = _Epoch(started_ms=now_ms, last_request_ms=now_ms)
        self._epoch.last_request_ms = now_ms

    def note_contention(self, is_contended, now_ms):
        """Choose the options of the allocator by whether requests compete.

        Parameters
        ----------
        is_contended : bool
            Whether they do by what this VM or the one that asks knows.
        """
        epoch = self._epoch
        if is_contended:
            epoch.contended_until_ms = now_ms + CONTENDED_MS
        self.allocator.set_options(
            _allocator_options.CONTENDED_OPTIONS
            if now_ms < epoch.contended_until_ms
            else self._options
        )

    def register_held(self, held, now_ms):
        """Register the placements that one VM holds."""
        self.note_request(now_ms)
        self._epoch.registered.add((held.vm, held.vm_incarnation))
        self.allocator.register_held(held, now_ms)

    def end_if_idle(self, is_owner, now_ms):
        """End the epoch if this VM is not the owner and gets no requests.

        Returns
        -------
        bool
            Whether this call ended the epoch.
        """
        if self._epoch is None or is_owner:
            return False
        if now_ms - self._epoch.last_request_ms < OWNER_IDLE_TIMEOUT_MS:
            return False
        self._epoch = None
        self.allocator = self._make_allocator()
        return True

    def may_grant(self, live, now_ms):
        """Return whether the owner may grant placements.

        It may once all live VMs have registered their placements, or
        `REBUILD_TIMEOUT_MS` after the start of the epoch.

        Parameters
        ----------
        live : set of (str, int)
            Names and incarnations of the VMs that may hold placements.
        """
        epoch = self._epoch
        if epoch is None:
            return False
        if not epoch.is_complete:
            epoch.is_complete = (
                live <= epoch.registered
                or now_ms - epoch.started_ms >= REBUILD_TIMEOUT_MS
            )
        return epoch.is_complete
