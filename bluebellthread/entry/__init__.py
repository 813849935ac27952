"""Routes callers' requests to backend servers by the published routes."""

from bluebellthread.core.routing import Position
from bluebellthread.daemon._socket_options import keep_alive_options
from bluebellthread.entry._dialect import ControlCall
from bluebellthread.entry._dialect import Dialect
from bluebellthread.entry._platform_changes import HistoryLostError
from bluebellthread.entry._platform_changes import PlatformUnavailableError
from bluebellthread.entry._platform_changes import ServerChange
from bluebellthread.entry._platform_changes import TableChange
from bluebellthread.entry._platform_changes import TableError
from bluebellthread.entry._platform_changes import TooLargeError
from bluebellthread.entry._platform_changes import Transfer
from bluebellthread.entry._service import EntryService
from bluebellthread.entry._settings import EntrySettings

__all__ = [
    'ControlCall',
    'Dialect',
    'EntryService',
    'EntrySettings',
    'HistoryLostError',
    'PlatformUnavailableError',
    'Position',
    'ServerChange',
    'TableChange',
    'TableError',
    'TooLargeError',
    'Transfer',
    'keep_alive_options',
]
