"""Stand-ins that speak the protocol of the users' platform.

They run inside a test's own trio loop and are changed by their attributes.
"""

from standin.site._backend import Engine
from standin.site._backend import PlainServer
from standin.site._connection import SiteRequest
from standin.site._store import Store

__all__ = ['Engine', 'PlainServer', 'SiteRequest', 'Store']
