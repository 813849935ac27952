"""Changes that a platform client returns, and errors that it raises."""

import attrs

from bluebellthread import core


class PlatformUnavailableError(core.BluebellthreadError):
    """Raised when the platform gives no usable answer.

    Examples
    --------
    >>> str(PlatformUnavailableError('status 503'))
    'no usable answer from the platform (status 503); the call is retried'
    """

    def __init__(self, reason):
        super().__init__(
            f'no usable answer from the platform ({reason}); '
            'the call is retried'
        )


class HistoryLostError(core.BluebellthreadError):
    """Raised when the platform no longer has the changes since a revision."""

    def __init__(self):
        super().__init__(
            'the platform has dropped changes since the last revision read; '
            'the complete state is read again'
        )


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
    """

    name: str
    server: object = None
    problem: str = ''


@attrs.frozen(kw_only=True)
class TableChange:
    """A published configuration, valid or not.

    Parameters
    ----------
    table : RoutingTable or None
        None if the configuration is invalid.
    revision : int
        The platform's revision of the stored value.
    problem : str
        Why the configuration is invalid; empty if it is valid.
    """

    table: object = None
    revision: int = 0
    problem: str = ''
