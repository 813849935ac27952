"""Stand-ins for the store and the servers of the users' platform.

They run in the trio event loop of a test, which controls them through their
attributes.
"""

from standin.site._backend import Engine
from standin.site._backend import parts_of
from standin.site._backend import PlainServer
from standin.site._connection import Ending
from standin.site._connection import SiteRequest
from standin.site._store import Store
from standin.site._store import StoreDoor
from standin.site._store import StoreView

__all__ = [
    'Ending',
    'Engine',
    'PlainServer',
    'SiteRequest',
    'Store',
    'StoreDoor',
    'StoreView',
    'parts_of',
]
