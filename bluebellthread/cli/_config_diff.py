"""Implement ``config diff``, which compares two configuration files."""

import sys

from bluebellthread.cli import _config_check
from bluebellthread.cli import _registry
from bluebellthread import configuration
from bluebellthread import core


@_registry.commands.register('config diff')
class ConfigDiff:
    """Show changes from OLD to NEW and whether VMs would accept NEW."""

    def add_arguments(self, parser):
        """Add the arguments of the command to its parser."""
        parser.add_argument('old', metavar='OLD')
        parser.add_argument('new', metavar='NEW')

    def run(self, arguments):
        """Print each difference; fail if the revision was not raised."""
        loaded = []
        for path in (arguments.old, arguments.new):
            try:
                loaded.append(configuration.load_configuration(path))
            except core.ConfigurationError as error:
                _config_check.print_problems(path, error.problems)
        if len(loaded) < 2:
            return _registry.EXIT_INVALID
        old, new = loaded
        for line in configuration.list_differences(old, new):
            print(line)
        outcome = core.decide_acceptance(new, in_force=old)
        if isinstance(outcome, core.Accepted):
            return _registry.EXIT_DONE
        print(
            f'{arguments.new}: revision {new.revision} would be ignored '
            f'after revision {old.revision}; raise it',
            file=sys.stderr,
        )
        return _registry.EXIT_INVALID
