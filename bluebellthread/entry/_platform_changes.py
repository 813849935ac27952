"""What a client of the platform returns and raises."""

import attrs

from bluebellthread import core


class PlatformUnavailableError(core.BluebellthreadError):
    """The platform gave no usable answer.

    Examples
    --------
    >>> str(PlatformUnavailableError('status 503'))
    'the platform gave no usable answer (status 503); it is asked again'
    """

    def __init__(self, reason):
        super().__init__(
            f'the platform gave no usable answer ({reason}); it is asked again'
        )


class HistoryLostError(core.BluebellthreadError):
    """The platform no longer has the changes since a revision."""

    def __init__(self):
        super().__init__(
            'the platform dropped the changes since the last one seen; '
            'everything is read anew'
        )


@attrs.frozen(kw_only=True)
class ServerChange:
    """A change of the list of backend servers.

    Parameters
    ----------
    name : str
    server : ListedServer or None
        None where the entry was removed or names no server to use.
    problem : str
        Why an entry names no server; empty where it was removed.
    """

    name: str
    server: object = None
    problem: str = ''


@attrs.frozen(kw_only=True)
class TableChange:
    """A new configuration, or one that can't be used.

    Parameters
    ----------
    table : RoutingTable or None
    revision : int
        The platform's revision of the value.
    problem : str
        Why there is no table; empty where there is one.
    """

    table: object = None
    revision: int = 0
    problem: str = ''
