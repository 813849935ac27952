"""What one scheduler knows of one backend server, in running totals."""

STAGES = ('reserved', 'prefilling', 'transferring', 'decoding')
PREFILL_STAGES = STAGES[:2]
LINK_STAGES = STAGES[:3]


class ServerAccount:
    """Reservations on one backend server and its last load report.

    Parameters
    ----------
    name : str
        The backend server.

    Examples
    --------
    >>> ServerAccount('d1').free_pieces(cautious=False)
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
        """Return whether the last report shows a request."""
        return permit_id in self._reported_ids

    def take_report(self, report):
        """Keep a report unless a newer one of the same process is known.

        Returns
        -------
        bool
            Whether it was kept.
        """
        known = self.report
        same = known is not None and known.incarnation == report.incarnation
        if same and report.sequence <= known.sequence:
            return False
        self.report = report
        self._reported_ids = frozenset(report.running_ids)
        self._unreported_pieces = sum(
            pieces
            for permit_id, pieces in self.entries.items()
            if permit_id not in self._reported_ids
        )
        return True

    def take_pieces(self, permit_id, pieces):
        """Reserve decode memory."""
        self.entries[permit_id] = pieces
        self.reserved_pieces += pieces
        if not self.is_reported(permit_id):
            self._unreported_pieces += pieces

    def free(self, permit_id):
        """Free the decode memory of a permit; harmless if it has none."""
        pieces = self.entries.pop(permit_id, 0)
        self.reserved_pieces -= pieces
        if not self.is_reported(permit_id):
            self._unreported_pieces -= pieces

    def free_pieces(self, *, cautious):
        """Return the pieces that may be granted.

        Parameters
        ----------
        cautious : bool
            Whether others may hold memory here that this scheduler does
            not know of: then only what the report shows free counts, less
            what was granted and is not in the report.
        """
        if self.report is None:
            return 0
        free = self.report.total_pieces - self.reserved_pieces
        if cautious:
            reported = self.report.free_pieces - self._unreported_pieces
            free = min(free, reported)
        return free
