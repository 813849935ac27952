"""A scheduler's running totals for one backend server."""

STAGES = ('reserved', 'prefilling', 'transferring', 'decoding')
PREFILL_STAGES = STAGES[:2]
LINK_STAGES = STAGES[:3]


class ServerAccount:
    """Holds the reservations on a backend server and its last load report.

    Parameters
    ----------
    name : str
        Name of the backend server.

    Examples
    --------
    >>> ServerAccount('d1').free_pieces(shown_from_ms=None)
    0
    """

    def __init__(self, name):
        self.name = name
        self.report = None
        self.entries = {}
        self.reserved_pieces = 0
        self.prefill_count = 0
        self.prefill_tokens = 0
        self.transfer_count = 0
        self._unreported_pieces = 0
        self._reported_ids = frozenset()

    def is_reported(self, permit_id):
        """Return whether the last load report lists a permit id."""
        return permit_id in self._reported_ids

    def store_report(self, report):
        """Store a load report if it is newer than the last one.

        A report of another incarnation of the server is always stored.

        Returns
        -------
        bool
            Whether the report was stored.
        """
        known = self.report
        same_process = (
            known is not None and known.incarnation == report.incarnation
        )
        if same_process and report.sequence <= known.sequence:
            return False
        self.report = report
        self._reported_ids = frozenset(report.running_ids)
        self._unreported_pieces = sum(
            pieces
            for permit_id, pieces in self.entries.items()
            if permit_id not in self._reported_ids
        )
        return True

    def reserve_pieces(self, permit_id, pieces):
        """Reserve memory blocks of a decode server for a permit."""
        self.entries[permit_id] = pieces
        self.reserved_pieces += pieces
        if not self.is_reported(permit_id):
            self._unreported_pieces += pieces

    def free(self, permit_id):
        """Free the decode memory reserved for a permit, if any."""
        pieces = self.entries.pop(permit_id, 0)
        self.reserved_pieces -= pieces
        if not self.is_reported(permit_id):
            self._unreported_pieces -= pieces

    def free_pieces(self, *, shown_from_ms):
        """Return the number of memory blocks that may be granted.

        Parameters
        ----------
        shown_from_ms : int or None
            Time from which load reports show the reservations on the server
            that this scheduler does not know, or None if there are none.
            The result is then at most the free memory in the load report,
            less the grants not yet included there, and 0 if the report was
            received before that time.
        """
        if self.report is None:
            return 0
        free = self.report.total_pieces - self.reserved_pieces
        if shown_from_ms is not None:
            if self.report.received_ms < shown_from_ms:
                return 0
            reported = self.report.free_pieces - self._unreported_pieces
            free = min(free, reported)
        return free
