"""Loads and checks a VM's settings and the fleet's configuration."""

from bluebellthread.configuration._differences import describe_scope
from bluebellthread.configuration._differences import list_differences
from bluebellthread.configuration._files import build_configuration
from bluebellthread.configuration._files import load_configuration
from bluebellthread.configuration._files import load_settings
from bluebellthread.configuration._files import load_value
from bluebellthread.configuration._files import parse_configuration
from bluebellthread.configuration._files import parse_published
from bluebellthread.configuration._files import parse_settings
from bluebellthread.configuration._files import read_text
from bluebellthread.configuration._files import UnreadableFileError
from bluebellthread.configuration._reader import ItemCache
from bluebellthread.configuration._settings import Settings
from bluebellthread.configuration._settings import TicketKey

__all__ = [
    'ItemCache',
    'Settings',
    'TicketKey',
    'UnreadableFileError',
    'build_configuration',
    'describe_scope',
    'list_differences',
    'load_configuration',
    'load_settings',
    'load_value',
    'parse_configuration',
    'parse_published',
    'parse_settings',
    'read_text',
]
