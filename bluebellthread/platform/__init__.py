"""Adapter to the users' hosting platform: translates formats and names.

It takes no decisions.
"""

from bluebellthread.platform._dialect import make_dialect
from bluebellthread.platform._settings import load_settings
from bluebellthread.platform._settings import SETTINGS_VARIABLE
from bluebellthread.platform._settings import SettingsError
from bluebellthread.platform._store_client import StoreClient

__all__ = [
    'SETTINGS_VARIABLE',
    'SettingsError',
    'StoreClient',
    'load_settings',
    'make_dialect',
]
