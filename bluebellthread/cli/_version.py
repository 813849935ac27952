"""Implement ``version``, which shows the installed release."""

from importlib import metadata

from bluebellthread.cli import _registry


@_registry.commands.register('version')
class Version:
    """Show the version of this tool."""

    def add_arguments(self, parser):
        """Add nothing: the command takes no arguments."""

    def run(self, arguments):
        """Print the version of the installed package."""
        print(metadata.version('bluebellthread'))
        return _registry.EXIT_DONE
