"""The operating system process that runs a `DaemonService`."""

import signal

import trio

from bluebellthread.daemon import _service
from bluebellthread.daemon import _tasks
from bluebellthread.observe import start_log


def run_service(settings):
    """Run the daemon until SIGTERM or SIGINT has stopped it."""
    start_log(settings.log_level)
    trio.run(_run_until_signal, _service.DaemonService(settings))


async def _run_until_signal(service):
    async with trio.open_nursery() as nursery:
        _tasks.start_joined(nursery, _stop_on_signal, service)
        await service.run()
        nursery.cancel_scope.cancel()


async def _stop_on_signal(service):
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as received:
        async for _ in received:
            service.stop()
