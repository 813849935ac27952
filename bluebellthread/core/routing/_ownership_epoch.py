"""When an owner may give places: not before it knows those in use.

The load pattern: VMs are restarted one after another under load, so that
another VM owns a service every few seconds. An owner that gives places from
an empty account has engines refuse prompts that were read already.
"""

import attrs

from bluebellthread.core.routing import _allocator

REBUILD_TIMEOUT_MS = 600
"""How long a new owner waits for VMs that have not told what they use: a
change of the view has spread by then, and an answer can still be on time."""

UNASKED_TIMEOUT_MS = 1500
"""An owner that was not asked for as long, and is not the owner by its own
view, has an account that nobody keeps up to date."""


@attrs.define
class _Epoch:
    began_ms: int
    asked_ms: int
    registered: set = attrs.field(factory=set)
    is_complete: bool = False


class OwnedAllocator:
    """An allocator that begins anew each time its VM becomes the owner.

    Parameters
    ----------
    options : AllocatorOptions
    rng : random.Random

    Examples
    --------
    >>> import random
    >>> owned = OwnedAllocator(options=None, rng=random.Random(1))
    >>> owned.note_asked(0)
    >>> owned.may_grant({('vm1', 1)}, 10)
    False
    >>> owned.may_grant({('vm1', 1)}, 700)
    True
    """

    def __init__(self, *, options, rng):
        self._options = options
        self._rng = rng
        self._epoch = None
        self.allocator = self._make_allocator()

    def _make_allocator(self):
        return _allocator.Allocator(options=self._options, rng=self._rng)

    @property
    def is_active(self):
        """Whether this VM gives places."""
        return self._epoch is not None

    def note_asked(self, now_ms):
        """Begin an epoch if none is going on."""
        if self._epoch is None:
            self.allocator = self._make_allocator()
            self._epoch = _Epoch(began_ms=now_ms, asked_ms=now_ms)
        self._epoch.asked_ms = now_ms

    def hold(self, held, now_ms):
        """Take in what one VM uses."""
        self.note_asked(now_ms)
        self._epoch.registered.add((held.vm, held.vm_incarnation))
        self.allocator.hold(held, now_ms)

    def check_ended(self, is_owner, now_ms):
        """End the epoch if this VM is not the owner any more.

        Returns
        -------
        bool
            Whether it has just ended.
        """
        if self._epoch is None or is_owner:
            return False
        if now_ms - self._epoch.asked_ms < UNASKED_TIMEOUT_MS:
            return False
        self._epoch = None
        self.allocator = self._make_allocator()
        return True

    def may_grant(self, live, now_ms):
        """Return whether all that live have told what they use.

        Parameters
        ----------
        live : set of (str, int)
            Names and incarnations of the VMs that may hold places.
        """
        epoch = self._epoch
        if epoch is None:
            return False
        if not epoch.is_complete:
            epoch.is_complete = (
                live <= epoch.registered
                or now_ms - epoch.began_ms >= REBUILD_TIMEOUT_MS
            )
        return epoch.is_complete
