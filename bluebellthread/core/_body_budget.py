"""Limits the memory that the bodies of many messages take together."""

from bluebellthread.core import _errors

FREE_BYTES = 64 * 1024
"""Part of each body that does not draw on the shared budget, so that short
ones never fail beside long ones."""


class BodyBudget:
    """Memory that long bodies share while they are read.

    Parameters
    ----------
    size_max_bytes : int
        Most bytes that all bodies together may take beyond `FREE_BYTES` each.

    Examples
    --------
    >>> budget = BodyBudget(100)
    >>> budget.reserve(FREE_BYTES + 60), budget.reserve(FREE_BYTES + 60)
    (True, False)
    >>> budget.release(FREE_BYTES + 60)
    >>> budget.used_bytes
    0
    """

    def __init__(self, size_max_bytes):
        self._size_max_bytes = size_max_bytes
        self.used_bytes = 0

    def reserve(self, size_bytes, held_bytes=0):
        """Return whether a body may grow to a size; reserve it if so.

        Parameters
        ----------
        size_bytes : int
            Size of the body with the bytes that have arrived.
        held_bytes : int
            Size for which the body holds a reservation already.
        """
        more_bytes = _shared_part(size_bytes) - _shared_part(held_bytes)
        if self.used_bytes + more_bytes > self._size_max_bytes:
            return False
        self.used_bytes += more_bytes
        return True

    def release(self, held_bytes):
        """Release the reservation of a body."""
        self.used_bytes -= _shared_part(held_bytes)


class NoMemoryLeftError(_errors.BluebellthreadError):
    """Raised when the bodies under way leave no memory for another one."""


class BodyReservation:
    """The part of a `BodyBudget` that one body holds.

    Parameters
    ----------
    budget : BodyBudget
        The budget.

    Examples
    --------
    >>> budget = BodyBudget(100)
    >>> reservation = BodyReservation(budget)
    >>> reservation.grow(FREE_BYTES + 60)
    >>> reservation.release()
    >>> budget.used_bytes
    0
    """

    def __init__(self, budget):
        self._budget = budget
        self._size_bytes = 0

    def grow(self, size_bytes):
        """Hold a size at least.

        Raises
        ------
        NoMemoryLeftError
            If the budget does not suffice.
        """
        if size_bytes <= self._size_bytes:
            return
        if not self._budget.reserve(size_bytes, self._size_bytes):
            raise NoMemoryLeftError
        self._size_bytes = size_bytes

    def release(self):
        """Hold nothing any more."""
        self._budget.release(self._size_bytes)
        self._size_bytes = 0


def _shared_part(size_bytes):
    return max(0, size_bytes - FREE_BYTES)
