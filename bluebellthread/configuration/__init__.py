"""Settings of a process and configuration of the fleet, as files."""

from bluebellthread.configuration._differences import describe_scope
from bluebellthread.configuration._differences import list_differences
from bluebellthread.configuration._files import load_configuration
from bluebellthread.configuration._files import load_settings
from bluebellthread.configuration._files import parse_configuration
from bluebellthread.configuration._files import parse_settings
from bluebellthread.configuration._files import read_text
from bluebellthread.configuration._files import UnreadableFileError
from bluebellthread.configuration._settings import Settings
from bluebellthread.configuration._settings import TicketKey

__all__ = [
    'Settings',
    'TicketKey',
    'UnreadableFileError',
    'describe_scope',
    'list_differences',
    'load_configuration',
    'load_settings',
    'parse_configuration',
    'parse_settings',
    'read_text',
]
