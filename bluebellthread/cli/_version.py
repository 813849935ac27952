"""``version``: which release this is."""

from importlib import metadata

from bluebellthread.cli import _registry


@_registry.commands.register('version')
class Version:
    """Show the version of this tool."""

    def add_arguments(self, parser):
        """Declare no arguments."""

    def run(self, arguments):
        """Print the version."""
        print(metadata.version('bluebellthread'))
        return _registry.EXIT_DONE
