"""The load that a backend server reports with its answers."""

import attrs


@attrs.frozen
class LoadReport:
    """Load of a backend server at the moment it wrote an answer's head.

    Parameters
    ----------
    running, waiting : int
        Requests that run, and that wait, at the server.
    slots : int
        Requests that it can run at once.
    work_percent : int or None
        How long work takes on its machine now, 100 being usual; None if the
        server does not report it.
    """

    running: int
    waiting: int
    slots: int
    work_percent: int | None = None
