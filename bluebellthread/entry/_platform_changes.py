"""Changes that a platform client returns, and errors that it raises."""

import attrs

from bluebellthread import core
from bluebellthread.daemon import _clock


class PlatformUnavailableError(core.BluebellthreadError):
    """Raised when the platform gives no usable answer.

    Parameters
    ----------
    reason : str
        What went wrong, for the log.
    is_silent : bool
        Whether there was no answer at all until the call was given up.

    Examples
    --------
    >>> str(PlatformUnavailableError('status 503'))
    'no usable answer from the platform (status 503); the call is retried'
    """

    def __init__(self, reason, *, is_silent=False):
        self.is_silent = is_silent
        super().__init__(
            f'no usable answer from the platform ({reason}); '
            'the call is retried'
        )


class HistoryLostError(core.BluebellthreadError):
    """Raised when the platform lacks the changes since a position.

    Examples
    --------
    >>> str(HistoryLostError('the platform was restored'))
    'the platform was restored; the complete state is read again'
    """

    def __init__(
        self,
        reason='the platform has dropped changes since the last revision read',
    ):
        super().__init__(f'{reason}; the complete state is read again')


class TooLargeError(core.BluebellthreadError):
    """Raised when an answer is larger than the caller wants to read.

    Examples
    --------
    >>> str(TooLargeError(300, 200))
    'the answer has 300 bytes, over the limit of 200; ask another VM for it'
    """

    def __init__(self, size_bytes, size_max_bytes):
        super().__init__(
            f'the answer has {size_bytes} bytes, over the limit of '
            f'{size_max_bytes}; ask another VM for it'
        )


class TableError(core.BluebellthreadError):
    """Raised when a configuration value is invalid."""


@attrs.frozen(kw_only=True)
class ServerChange:
    """A change of one entry in the list of backend servers.

    Parameters
    ----------
    name : str
        The platform's id of the server.
    server : ListedServer or None
        None if the entry was removed or is invalid.
    problem : str
        Why the entry is invalid; empty if it is valid or was removed.
    revision : int
        The platform's revision of the change; 0 if unknown.
    """

    name: str
    server: object = None
    problem: str = ''
    revision: int = 0


@attrs.define(kw_only=True)
class Transfer:
    """Size and times of one answer of the platform.

    Parameters
    ----------
    start_ms : int
        Time of the call.
    first_byte_ms : int or None
        Time at which the body began to arrive; None before that.
    end_ms : int or None
        Time at which the whole body had arrived; None before that.
    size_bytes : int
        Bytes of the body that have arrived.
    """

    start_ms: int
    first_byte_ms: int | None = None
    end_ms: int | None = None
    size_bytes: int = 0

    @classmethod
    def start(cls):
        """Return the transfer of a call that starts now."""
        return cls(start_ms=_clock.read_clock_ms())

    def note_received(self, count):
        """Record that ``count`` bytes of the body have arrived."""
        if self.first_byte_ms is None:
            self.first_byte_ms = _clock.read_clock_ms()
        self.size_bytes += count

    def note_end(self):
        """Record that the whole answer has arrived."""
        self.end_ms = _clock.read_clock_ms()
        if self.first_byte_ms is None:
            self.first_byte_ms = self.end_ms

    def measure_ms(self):
        """Return the milliseconds since the call."""
        return _clock.read_clock_ms() - self.start_ms


@attrs.frozen(kw_only=True)
class TableChange:
    """A published configuration, valid or not.

    Parameters
    ----------
    value : dict or None
        The configuration as decoded JSON, in the form that VMs send to each
        other; None if it is invalid.
    table : RoutingTable or None
        None if the configuration is invalid.
    revision : int
        The platform's revision of the stored value.
    problem : str
        Why the configuration is invalid; empty if it is valid.
    transfer : Transfer or None
        How the answer with the configuration arrived.
    """

    value: dict | None = None
    table: object = None
    revision: int = 0
    problem: str = ''
    transfer: Transfer | None = None
