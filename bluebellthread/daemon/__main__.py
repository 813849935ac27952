"""Command line of the router daemon, ``bluebellthreadd``."""

import argparse
import sys

import bluebellthread
from bluebellthread import configuration
from bluebellthread import core
from bluebellthread.daemon import _process

EXIT_BAD_SETTINGS = 2


def make_parser():
    """Return the parser for the command-line options."""
    parser = argparse.ArgumentParser(
        prog='bluebellthreadd',
        description='Route requests to prefill, decode and service pools.',
    )
    parser.add_argument(
        '--settings',
        required=True,
        metavar='FILE',
        help='settings file of this process: JSON with comments',
    )
    parser.add_argument(
        '--version', action='version', version=bluebellthread.__version__
    )
    return parser


def main(arguments=None):
    """Run the daemon until it is stopped and return its exit code."""
    options = make_parser().parse_args(arguments)
    try:
        settings = configuration.load_settings(options.settings)
    except core.BluebellthreadError as error:
        print(f'bluebellthreadd: {error}', file=sys.stderr)
        return EXIT_BAD_SETTINGS
    _process.run_service(settings)
    return 0


if __name__ == '__main__':
    sys.exit(main())
