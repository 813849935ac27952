"""Settings of the Hypercorn server that callers connect to."""

import hypercorn

from bluebellthread.daemon import _clock


def make_server_config(settings):
    """Return Hypercorn's configuration for the process settings."""
    config = hypercorn.Config()
    config.bind = [f'{settings.host}:{settings.caller_port}']
    config.graceful_timeout = settings.drain_timeout_ms / _clock.MS_PER_S
    config.h11_max_incomplete_size = settings.request_header_max_bytes
    config.accesslog = None
    config.errorlog = None
    return config
