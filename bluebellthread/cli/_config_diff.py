"""``config diff``: what a new revision changes."""

import sys

from bluebellthread.cli import _config_check
from bluebellthread.cli import _registry
from bluebellthread import configuration
from bluebellthread import core


@_registry.commands.register('config diff')
class ConfigDiff:
    """Show what NEW changes, and whether it would be accepted after OLD."""

    def add_arguments(self, parser):
        """Declare the arguments."""
        parser.add_argument('old', metavar='OLD')
        parser.add_argument('new', metavar='NEW')

    def run(self, arguments):
        """Print one line for each difference."""
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
