"""Command line of the entry process on the users' hosting platform."""

import argparse
import os
import signal
import sys

import attrs
import trio

from bluebellthread.daemon import _heap
from bluebellthread.daemon import _tasks
from bluebellthread.entry import EntryService
from bluebellthread import observe
from bluebellthread.observe import emit
from bluebellthread.observe import events
from bluebellthread import platform

EXIT_BAD_SETTINGS = 2
SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)


def main(arguments=None):
    """Run one entry process until it is stopped; return its exit code."""
    parser = argparse.ArgumentParser(
        prog='python3 -m bluebellthread.run_entry',
        description="Run an entry process on the users' hosting platform.",
    )
    parser.add_argument(
        '--settings',
        metavar='FILE',
        default=os.environ.get(platform.SETTINGS_VARIABLE),
        help="path of the platform's settings file; defaults to the value of "
        f'{platform.SETTINGS_VARIABLE}',
    )
    parser.add_argument(
        '--metrics-port',
        type=int,
        help='port that serves metrics; 0 chooses a free port',
    )
    options = parser.parse_args(arguments)
    if not options.settings:
        parser.error(
            'no settings file: give --settings or set '
            f'{platform.SETTINGS_VARIABLE}'
        )
    _heap.keep_mapping_long_blocks()
    observe.start_json_log()
    return trio.run(_run, options)


async def _run(options):
    # A reload between reading the settings and handling signals would be lost.
    with trio.open_signal_receiver(*SIGNALS) as received:
        try:
            settings = _load_settings(options)
        except platform.SettingsError as error:
            print(error, file=sys.stderr)
            return EXIT_BAD_SETTINGS
        service = EntryService(
            settings=settings,
            dialect=platform.make_dialect(),
            platform_client=platform.StoreClient(
                host=settings.platform_host, port=settings.platform_port
            ),
        )
        async with trio.open_nursery() as nursery:
            _tasks.start_lasting(
                nursery, _handle_signals, received, service, options
            )
            await service.run()
            nursery.cancel_scope.cancel()
    return 0


def _load_settings(options):
    """Load the settings file; options of the command line replace its fields.

    Raises
    ------
    SettingsError
        If the settings are unusable.
    """
    settings = platform.load_settings(options.settings)
    if options.metrics_port is not None:
        settings = attrs.evolve(settings, metrics_port=options.metrics_port)
    return settings


async def _handle_signals(received, service, options):
    async for number in received:
        if number == signal.SIGHUP:
            _reload(service, options)
        else:
            service.stop()


def _reload(service, options):
    """Reload the settings file; keep the old settings if it is unusable."""
    try:
        service.apply_settings(_load_settings(options))
    except platform.SettingsError as error:
        emit(events.SETTINGS_RELOAD_FAILED, error=error)


if __name__ == '__main__':
    sys.exit(main())
