"""Until when servers want no request of this VM."""

import attrs


@attrs.frozen(kw_only=True)
class _Pause:
    incarnation: int
    deadline_ms: int


class ServerPauses:
    """Remember the times that servers name when they refuse a request.

    A server says this to the VM that it answers, so other VMs are not told.

    Examples
    --------
    >>> pauses = ServerPauses()
    >>> pauses.note('a', 1, 50)
    >>> pauses.find_wait_ms('a', 1, 20), pauses.find_wait_ms('a', 1, 50)
    (30, 0)
    """

    def __init__(self):
        self._pauses = {}

    def note(self, server, incarnation, deadline_ms):
        """Note until when a process of a server wants no request."""
        self._pauses[server] = _Pause(
            incarnation=incarnation, deadline_ms=deadline_ms
        )

    def find_wait_ms(self, server, incarnation, now_ms):
        """Return how long a process wants no request; 0 if it takes some."""
        pause = self._pauses.get(server)
        if pause is None or pause.incarnation != incarnation:
            return 0
        return max(0, pause.deadline_ms - now_ms)

    def expire(self, now_ms):
        """Forget the pauses that have ended."""
        self._pauses = {
            server: pause
            for server, pause in self._pauses.items()
            if pause.deadline_ms > now_ms
        }
