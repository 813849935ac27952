"""A stand-in for the platform: publishes configuration and VM list."""

import collections
import random

import attrs
import jsonyx
import trio

from standin import _http

POLL_S = 0.01
"""Mean seconds between two checks for a newer value while a watch waits."""


@attrs.define(kw_only=True)
class PlatformSettings:
    """Settings of the stand-in platform; all may change while it runs.

    Parameters
    ----------
    config_lag_ms, vms_lag_ms : int
        Delay until a published configuration or VM list is served.
    down : bool
        Whether reads are refused with status 503.
    stale_revision : int
        If above 0, newer revisions of the configuration are not served.
    """

    name: str = 'platform'
    host: str = '127.0.0.1'
    port: int = 0
    config_lag_ms: int = 0
    vms_lag_ms: int = 0
    down: bool = False
    stale_revision: int = 0


class Platform:
    """Stand-in server for the platform.

    Tests publish a configuration with ``POST /publish_config`` and a VM list
    with ``POST /publish_vms``. The text of a configuration is served exactly
    as it was sent, comments included.

    Examples
    --------
    >>> Platform(PlatformSettings()).settings.down
    False
    """

    def __init__(self, settings):
        self.settings = settings
        self._configs = []
        self._vms = []
        self._counts = collections.Counter()
        self._counts_by_source = collections.Counter()

    async def start(self, nursery):
        """Start to serve; return a list with name, host and port."""
        app = _http.App()
        app.add('GET', '/config', self._get_config)
        app.add('GET', '/vms', self._get_vms)
        app.add('GET', '/counts', self._get_counts)
        app.add('POST', '/publish_config', self._publish_config)
        app.add('POST', '/publish_vms', self._publish_vms)
        app.add('POST', '/control', _http.make_control(self.settings))
        self.settings.port = await _http.serve(
            nursery, app, host=self.settings.host, port=self.settings.port
        )
        return [
            {
                'name': self.settings.name,
                'host': self.settings.host,
                'port': self.settings.port,
            }
        ]

    async def _publish_config(self, request):
        text = request.body.decode()
        allowed = jsonyx.allow.COMMENTS | jsonyx.allow.TRAILING_COMMA
        revision = jsonyx.loads(text, allow=allowed)['revision']
        self._configs.append((trio.current_time(), revision, text))
        await request.answer(200, {'revision': revision})

    async def _publish_vms(self, request):
        version = len(self._vms) + 1
        value = {'version': version, 'vms': request.json()}
        self._vms.append((trio.current_time(), version, value))
        await request.answer(200, {'version': version})

    async def _get_config(self, request):
        await self._watch(request, 'config', self._visible_config)

    async def _get_vms(self, request):
        await self._watch(request, 'vms', self._visible_vms)

    async def _get_counts(self, request):
        by_source = dict(self._counts_by_source)
        answer = {**self._counts, 'by_source': by_source}
        await request.answer(200, answer)

    def _visible_config(self):
        latest_s = trio.current_time() - self.settings.config_lag_ms / 1000
        stale = self.settings.stale_revision
        return _last(
            entry
            for entry in self._configs
            if entry[0] <= latest_s and (not stale or entry[1] <= stale)
        )

    def _visible_vms(self):
        latest_s = trio.current_time() - self.settings.vms_lag_ms / 1000
        return _last(e for e in self._vms if e[0] <= latest_s)

    async def _watch(self, request, kind, find_visible):
        """Answer with a value newer than ``after``.

        If none appears within ``wait_s`` seconds, the status is 304.
        """
        self._counts[kind] += 1
        self._counts_by_source[request.source] += 1
        after = int(request.query.get('after', -1))
        wait_s = float(request.query.get('wait_s', 0))
        found = await self._wait_newer(find_visible, after, wait_s)
        if self.settings.down:
            await request.refuse(503, 'down')
        elif found is not None:
            await request.answer(200, found[2])
        else:
            await request.begin(304, 'text/plain')
            await request.write(b'', more=False)

    async def _wait_newer(self, find_visible, after, wait_s):
        # No part of an answer is sent during the wait, so that the end of the
        # wait never cuts off an answer.
        end_s = trio.current_time() + wait_s
        while not self.settings.down:
            entry = find_visible()
            if entry is not None and entry[1] > after:
                return entry
            if trio.current_time() >= end_s:
                return None
            await trio.sleep(POLL_S * random.uniform(0.5, 1.5))
        return None


def _last(entries):
    found = None
    for entry in entries:
        found = entry
    return found
