"""Client for the values that the platform publishes."""

import json

import httpcore
import trio

from bluebellthread import core

VALUE_MAX_BYTES = 1024 * 1024
"""Largest answer that is read, so that memory stays bounded."""

CALL_MARGIN_S = 2
"""How long an answer may take to begin, after the wait of a watch, and then
each next part of it. That is many round trips between regions. A whole answer
may take longer: a large value needs seconds on a slow link."""


class PlatformError(core.BluebellthreadError):
    """Raised when the platform gives no usable answer.

    Examples
    --------
    >>> str(PlatformError('status 500'))
    'the platform gave no usable answer (status 500); check it and its address'
    """

    def __init__(self, reason):
        super().__init__(
            f'the platform gave no usable answer ({reason}); '
            'check it and its address'
        )


class PlatformClient:
    """Reads and watches the configuration service and the VM list.

    Parameters
    ----------
    addresses : tuple of str
        ``host:port`` of each platform endpoint. After an error the next
        endpoint is used.
    network_backend : httpcore.AsyncNetworkBackend or None
        Opens the connections; None for the backend of httpcore.
    """

    def __init__(self, *, addresses, network_backend=None):
        self._addresses = addresses
        self._current = 0
        self._pool = httpcore.AsyncConnectionPool(
            retries=0, network_backend=network_backend
        )

    async def close(self):
        """Close the connections to the platform."""
        await self._pool.aclose()

    async def watch_configuration(self, *, after, wait_s):
        """Return the text of a newer configuration, or None.

        Newer means above revision ``after``. If there is none, the platform
        waits up to ``wait_s`` seconds for one to be published.
        """
        return await self._get(
            f'/config?after={after}&wait_s={wait_s}', wait_s
        )

    async def watch_vms(self, *, after, wait_s):
        """Return the version and members of a newer VM list, or None.

        Newer means above version ``after``. If there is none, the platform
        waits up to ``wait_s`` seconds for one to be published.
        """
        text = await self._get(f'/vms?after={after}&wait_s={wait_s}', wait_s)
        if text is None:
            return None
        try:
            fields = json.loads(text)
            members = tuple(_to_member(item) for item in fields['vms'])
            return int(fields['version']), members
        except (ValueError, KeyError, TypeError) as error:
            raise PlatformError(f'unreadable VM list: {error!r}') from error

    async def _get(self, path, wait_s):
        address = self._addresses[self._current % len(self._addresses)]
        try:
            with trio.fail_after(wait_s + CALL_MARGIN_S) as scope:
                async with self._pool.stream(
                    'GET', f'http://{address}{path}'
                ) as response:
                    if response.status not in (200, 304):
                        self._current += 1
                        raise PlatformError(f'status {response.status}')
                    content = await _read_content(response, scope)
        except (
            httpcore.NetworkError,
            httpcore.ProtocolError,
            httpcore.TimeoutException,
            trio.TooSlowError,
        ) as error:
            self._current += 1
            raise PlatformError(repr(error)) from error
        if response.status == 304:
            return None
        return content.decode('utf-8', errors='replace')


async def _read_content(response, scope):
    """Return the body of an answer; each part moves the scope's deadline.

    Raises
    ------
    PlatformError
        If the body is longer than `VALUE_MAX_BYTES`.
    """
    content = bytearray()
    async for chunk in response.aiter_stream():
        content += chunk
        if len(content) > VALUE_MAX_BYTES:
            raise PlatformError(
                f'the value is too long, over {VALUE_MAX_BYTES} bytes'
            )
        scope.deadline = trio.current_time() + CALL_MARGIN_S
    return content


def _to_member(fields):
    return core.Member(
        name=str(fields['name']),
        data_centre=str(fields['data_centre']),
        region=str(fields['region']),
        host=str(fields['host']),
        peer_port=int(fields['peer_port']),
        caller_port=int(fields['caller_port']),
        state='leaving' if fields.get('state') == 'leaving' else 'alive',
    )
