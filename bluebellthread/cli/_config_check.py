"""Implement ``config check``, which validates a file."""

import sys

from bluebellthread.cli import _registry
from bluebellthread import configuration
from bluebellthread import core


@_registry.commands.register('config check')
class ConfigCheck:
    """Check a configuration file, or a settings file with --settings."""

    def add_arguments(self, parser):
        """Add the arguments of the command to its parser."""
        parser.add_argument('file', metavar='FILE')
        parser.add_argument(
            '--settings',
            action='store_true',
            help='FILE holds the settings of one VM',
        )

    def run(self, arguments):
        """Print a summary of a valid file, or every problem found."""
        load = configuration.load_configuration
        if arguments.settings:
            load = configuration.load_settings
        try:
            loaded = load(arguments.file)
        except core.ConfigurationError as error:
            print_problems(arguments.file, error.problems)
            return _registry.EXIT_INVALID
        if arguments.settings:
            print(f'{arguments.file}: settings of {loaded.vm} are valid')
        else:
            print(f'{arguments.file}: {_summarise(loaded)}')
        return _registry.EXIT_DONE


def print_problems(path, problems):
    """Print each problem of a file on its own line of standard error."""
    for problem in problems:
        print(f'{path}: {problem}', file=sys.stderr)


def _summarise(loaded):
    return (
        f'revision {loaded.revision} is valid: '
        f'{len(loaded.models)} models, '
        f'{len(loaded.services)} plain services, '
        f'{len(loaded.backend_servers)} backend servers, '
        f'{len(loaded.exceptions)} exceptions'
    )
