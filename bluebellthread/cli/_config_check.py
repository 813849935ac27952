"""``config check``: whether a file can be used."""

import sys

from bluebellthread.cli import _registry
from bluebellthread import configuration
from bluebellthread import core


@_registry.commands.register('config check')
class ConfigCheck:
    """Check a configuration file, or a settings file."""

    def add_arguments(self, parser):
        """Declare the arguments."""
        parser.add_argument('file', metavar='FILE')
        parser.add_argument(
            '--settings',
            action='store_true',
            help='FILE holds the settings of one VM',
        )

    def run(self, arguments):
        """Print what is in the file, or each of its problems."""
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
    """Print each problem of a file on a line of its own."""
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
