"""Entry point of the command-line tool for operators."""

import argparse
import inspect
import os
import sys

from bluebellthread.cli import _config_check  # noqa: F401
from bluebellthread.cli import _config_diff  # noqa: F401
from bluebellthread.cli import _config_explain  # noqa: F401
from bluebellthread.cli import _config_routes  # noqa: F401
from bluebellthread.cli import _limits  # noqa: F401
from bluebellthread.cli import _parts  # noqa: F401
from bluebellthread.cli import _registry
from bluebellthread.cli import _request  # noqa: F401
from bluebellthread.cli import _status  # noqa: F401
from bluebellthread.cli import _ticket  # noqa: F401
from bluebellthread.cli import _version  # noqa: F401
from bluebellthread import configuration
from bluebellthread import core

GROUP_HELP = {
    'config': 'Work on configuration files, without a connection to VMs.',
    'parts': 'See and lift which prompts are refused, as they end engines.',
}
EXIT_HELP = (
    'exit codes: 0 success; 1 invalid file or failed check; 2 wrong '
    'command line; 3 unreadable file; 4 unreachable VM; 5 unknown name'
)


def build_parser():
    """Return an argument parser with a subparser for each command.

    Examples
    --------
    >>> build_parser().parse_args(['config', 'check', 'x.json']).file
    'x.json'
    """
    parser = argparse.ArgumentParser(
        prog='bluebellthread',
        description='Check and inspect a fleet of bluebellthread routers.',
        epilog=EXIT_HELP,
    )
    top = parser.add_subparsers(required=True, metavar='COMMAND')
    groups = {}
    for name in _registry.commands.names():
        group, _, leaf = name.rpartition(' ')
        if group and group not in groups:
            group_parser = top.add_parser(group, help=GROUP_HELP.get(group))
            groups[group] = group_parser.add_subparsers(
                required=True, metavar='COMMAND'
            )
        _add_command(groups.get(group, top), leaf, name)
    return parser


def _add_command(subparsers, leaf, name):
    command = _registry.commands.get(name)()
    text = inspect.getdoc(command)
    parser = subparsers.add_parser(
        leaf, help=text.splitlines()[0], description=text, epilog=EXIT_HELP
    )
    command.add_arguments(parser)
    parser.set_defaults(run=command.run)


def main(argv=None):
    """Run the command that `argv` names and return its exit code."""
    arguments = build_parser().parse_args(argv)
    try:
        return arguments.run(arguments)
    except _registry.CommandError as error:
        return _fail(error, error.exit_code)
    except configuration.UnreadableFileError as error:
        return _fail(error, _registry.EXIT_UNREADABLE)
    except core.UnknownNameError as error:
        return _fail(error, _registry.EXIT_UNKNOWN_NAME)
    except core.BluebellthreadError as error:
        return _fail(error, _registry.EXIT_INVALID)
    except BrokenPipeError:
        # The reader of the pipe, such as head, has closed it. Redirect
        # standard output so that the flush at exit does not fail too.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        return _registry.EXIT_DONE


def _fail(error, exit_code):
    print(f'bluebellthread: {error}', file=sys.stderr)
    return exit_code


if __name__ == '__main__':
    sys.exit(main())
