"""Client that reads and watches the platform's store."""

import json
import urllib.parse

import attrs
import httpcore
import trio

from bluebellthread import core
from bluebellthread.entry import HistoryLostError
from bluebellthread.entry import keep_alive_options
from bluebellthread.entry import PlatformUnavailableError
from bluebellthread.entry import Position
from bluebellthread.entry import ServerChange
from bluebellthread.entry import TableChange
from bluebellthread.entry import TableError
from bluebellthread.entry import TooLargeError
from bluebellthread.entry import Transfer
from bluebellthread.platform import _decoding

READ_TIMEOUT_S = 1.5
"""How long a read waits for its answer to begin, and then for each next part.
That takes milliseconds, or some hundred on a store that the platform itself
regards as slow. A whole answer may take longer: a large configuration needs
seconds on a slow link."""

WATCH_MS = 4000
"""How long a watch waits for a change. If its answer is lost, a watch stays
silent, and only its timeout reveals the loss."""

TABLE_WATCH_MS = 2000
"""The same for the configuration. Only a few VMs watch it, and each answer
tells the others that it is being watched."""

PROBE_WATCH_MS = 200
"""The same while the store is in doubt, when a call is likely to be lost."""

WATCH_MARGIN_S = 1.5
"""Time allowed for the answer to begin after the wait of a watch, as for a
read."""

CONNECTION_MAX = 8
"""Maximum number of connections to the store: for two watches, two reads, and
as many calls again that are being cancelled."""

ANSWER_TIMEOUT_S = 30.0
"""Longest time for a whole answer after its wait. The largest value takes some
seconds on the users' slowest links."""

ANSWER_MAX_BYTES = 16 * 1024 * 1024
"""Longest answer that is read: ten of the store's largest values."""

HISTORY_LOST_STATUS = 410
NOT_FOUND_STATUS = 404

ERA_HEADER = b'store-era'
ERA_DIGITS_MAX = 18
"""Most digits of an era, so that it fits a signed integer of 64 bits."""


@attrs.frozen(kw_only=True)
class _StoreAnswer:
    """The JSON object of an answer, None if the key is absent, and its era."""

    era: int
    fields: dict | None


class StoreClient:
    """Client of the platform's store; nothing else accesses the store.

    Parameters
    ----------
    host, port : str, int
        Address of the store.
    network_backend : httpcore.AsyncNetworkBackend or None
        Opens the connections; None for the backend of httpcore.
    """

    def __init__(self, *, host, port, network_backend=None):
        self._origin = f'http://{host}:{port}'
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=CONNECTION_MAX,
            retries=0,
            socket_options=keep_alive_options(),
            network_backend=network_backend,
        )

    async def close(self):
        """Close all connections to the store."""
        await self._pool.aclose()

    def build_table(self, value):
        """Build the routing table of a value from a `TableChange`.

        Raises
        ------
        TableError
            If a field is missing or invalid.
        """
        try:
            return _decoding.decode_table(_decoding.restore_fields(value))
        except _decoding.EntryError as error:
            raise TableError(str(error)) from error

    async def read_table(self, *, size_max_bytes=None):
        """Read the configuration.

        Parameters
        ----------
        size_max_bytes : int or None
            Largest answer to read; None for any.

        Returns
        -------
        (TableChange or None, Position)
            The configuration, None if there is none, and the position to
            watch from next.

        Raises
        ------
        TooLargeError
            If the answer is larger than ``size_max_bytes``.
        """
        transfer = Transfer.start()
        answer = await self._read(
            '/-/kv-key',
            {'key': _decoding.CONFIGURATION_KEY},
            READ_TIMEOUT_S,
            transfer,
            absent_is_none=True,
            size_max_bytes=size_max_bytes,
        )
        if answer.fields is None:
            return None, Position(era=answer.era, revision=0)
        return (
            _to_table_change(answer.fields, transfer),
            _position_of(answer),
        )

    async def watch_table(self, after, *, is_probe=False):
        """Return the configuration's changes since a position.

        Parameters
        ----------
        is_probe : bool
            Whether to wait for a moment only, as the platform may be away.

        Returns
        -------
        (list of TableChange, Position)
            The changes, and the position to watch from next.

        Raises
        ------
        HistoryLostError
            If the store lacks these changes, or was restored from a copy.
        """
        transfer = Transfer.start()
        events, position = await self._watch(
            _decoding.CONFIGURATION_KEY,
            after,
            transfer,
            PROBE_WATCH_MS if is_probe else TABLE_WATCH_MS,
        )
        changes = [
            _to_table_change(event, transfer)
            for event in events
            if event.get('key') == _decoding.CONFIGURATION_KEY
            and not event.get('removed')
        ]
        return changes, position

    async def read_servers(self):
        """Return all servers.

        Returns
        -------
        (list of ServerChange, Position)
            All servers, and the position to watch from next.

        Raises
        ------
        HistoryLostError
            If the store was restored from a copy between two pages.
        """
        changes = []
        first = None
        after = ''
        while True:
            query = {'prefix': _decoding.SERVERS_PREFIX}
            if after:
                query['after'] = after
            answer = await self._read(
                '/-/kv-range', query, READ_TIMEOUT_S, Transfer.start()
            )
            if first is None:
                # The pages are not one snapshot. Changes made between them
                # are reported by a watch from the first page's revision.
                first = _position_of(answer)
            _check_era(answer, first)
            items = _list_of(answer.fields, 'items')
            changes += [_to_server_change(item) for item in items]
            if not answer.fields.get('hasMore') or not items:
                return changes, first
            after = items[-1]['key']

    async def watch_servers(self, after, *, is_probe=False):
        """Return the changes of servers since a position.

        Parameters
        ----------
        is_probe : bool
            As in `watch_table`.

        Returns
        -------
        (list of ServerChange, Position)
            The changes, and the position to watch from next.

        Raises
        ------
        HistoryLostError
            If the store lacks these changes, or was restored from a copy.
        """
        events, position = await self._watch(
            _decoding.SERVERS_PREFIX,
            after,
            Transfer.start(),
            PROBE_WATCH_MS if is_probe else WATCH_MS,
        )
        return [_to_server_change(event) for event in events], position

    async def _watch(self, prefix, after, transfer, wait_ms):
        query = {
            'prefix': prefix,
            'after': after.revision,
            'waitMs': wait_ms,
        }
        try:
            answer = await self._get(
                '/-/kv-watch',
                query,
                wait_ms / 1000 + WATCH_MARGIN_S,
                transfer,
            )
        except core.AnswerTooLongError as error:
            # Another watch from this position would be as long.
            raise HistoryLostError(str(error)) from error
        _check_era(answer, after)
        return _list_of(answer.fields, 'events'), _position_of(answer)

    async def _read(self, *arguments, **options):
        """Return the answer to a read, which must not be too long."""
        try:
            return await self._get(*arguments, **options)
        except core.AnswerTooLongError as error:
            raise PlatformUnavailableError(str(error)) from error

    async def _get(
        self,
        path,
        query,
        timeout_s,
        transfer,
        *,
        absent_is_none=False,
        size_max_bytes=None,
    ):
        # A key of the store may hold what is no valid Unicode.
        text = urllib.parse.urlencode(query, errors='surrogatepass')
        url = f'{self._origin}{path}?{text}'
        end_s = trio.current_time() + timeout_s + ANSWER_TIMEOUT_S
        try:
            with trio.fail_after(timeout_s) as scope:
                async with self._pool.stream('GET', url) as response:
                    _check_size(response.headers, size_max_bytes)
                    body = core.AnswerBody.of_answer(
                        response.status,
                        response.headers,
                        method=b'GET',
                        size_max_bytes=ANSWER_MAX_BYTES,
                    )
                    async for chunk in response.aiter_stream():
                        body.add(chunk)
                        transfer.note_received(len(chunk))
                        scope.deadline = min(
                            end_s, trio.current_time() + READ_TIMEOUT_S
                        )
                    content = body.finish()
        except (
            core.AnswerCutOffError,
            httpcore.NetworkError,
            httpcore.ProtocolError,
            httpcore.TimeoutException,
            trio.TooSlowError,
        ) as error:
            raise PlatformUnavailableError(
                f'{error!r} {transfer.measure_ms()} ms after the call, '
                f'{transfer.size_bytes} bytes received',
                is_silent=isinstance(error, trio.TooSlowError)
                and not transfer.size_bytes,
            ) from error
        transfer.note_end()
        if response.status == HISTORY_LOST_STATUS:
            raise HistoryLostError
        era = _read_era(response.headers)
        if response.status == NOT_FOUND_STATUS and absent_is_none:
            return _StoreAnswer(era=era, fields=None)
        if response.status != 200:
            raise PlatformUnavailableError(f'status {response.status}')
        try:
            fields = json.loads(content)
        except (RecursionError, ValueError) as error:
            raise PlatformUnavailableError(
                f'the body is not valid JSON: {error}'
            ) from error
        if not isinstance(fields, dict):
            raise PlatformUnavailableError('the body is not a JSON object')
        return _StoreAnswer(era=era, fields=fields)


def _read_era(headers):
    """Return the store's era; 0 if the header is missing or unreadable."""
    for name, value in headers:
        if name.lower() == ERA_HEADER:
            is_era = value.isdigit() and len(value) <= ERA_DIGITS_MAX
            return int(value) if is_era else 0
    return 0


def _check_size(headers, size_max_bytes):
    if size_max_bytes is None:
        return
    for name, value in headers:
        if name.lower() == b'content-length' and int(value) > size_max_bytes:
            raise TooLargeError(int(value), size_max_bytes)


def _check_era(answer, position):
    # A restored store gives revisions out again, so it may accept a watch
    # from a revision of an earlier era although it lacks changes before it.
    if answer.era != position.era:
        raise HistoryLostError(
            f'the platform was restored from a copy: era {answer.era} in '
            f'place of {position.era}'
        )


def _position_of(answer):
    # storeRevision is the revision of the whole store, from which the next
    # watch continues.
    revision = answer.fields.get('storeRevision')
    if not isinstance(revision, int):
        raise PlatformUnavailableError(
            'the answer has no integer storeRevision'
        )
    return Position(era=answer.era, revision=revision)


def _list_of(fields, name):
    items = fields.get(name)
    if not isinstance(items, list):
        raise PlatformUnavailableError(f'the answer has no list {name!r}')
    return [
        item
        for item in items
        if isinstance(item, dict) and isinstance(item.get('key'), str)
    ]


def _to_table_change(item, transfer):
    revision = item.get('revision') or 0
    try:
        fields = _decoding.decode_value(item)
        table = _decoding.decode_table(fields)
    except _decoding.EntryError as error:
        return TableChange(
            revision=revision, problem=str(error), transfer=transfer
        )
    return TableChange(
        value=_decoding.make_value(fields, table.version),
        table=table,
        revision=revision,
        transfer=transfer,
    )


def _to_server_change(item):
    key = item['key']
    name = key.removeprefix(_decoding.SERVERS_PREFIX)
    revision = item.get('revision')
    if not isinstance(revision, int):
        revision = 0
    if item.get('removed'):
        return ServerChange(name=name, revision=revision)
    try:
        fields = _decoding.decode_value(item)
        return ServerChange(
            name=name,
            server=_decoding.decode_server(key, fields),
            revision=revision,
        )
    except _decoding.EntryError as error:
        return ServerChange(name=name, problem=str(error), revision=revision)
