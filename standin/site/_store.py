"""A stand-in for the key-value store of the users' platform."""

import base64
import json

import attrs
import trio

from standin.site import _connection


@attrs.define(kw_only=True)
class Store:
    """Store that serves reads, ranges and watches of items.

    Each change raises the revision and is kept in a history for watches.

    Parameters
    ----------
    refuse_status : int
        If above 0, the status that every call is answered with.
    page_size : int
        Largest number of items in a page of a range.
    """

    refuse_status: int = 0
    page_size: int = 500
    revision: int = 1
    port: int = 0
    calls: list = attrs.field(factory=list)
    _items: dict = attrs.field(factory=dict)
    _history: list = attrs.field(factory=list)
    _first_kept_revision: int = 1
    _changed: trio.Event = attrs.field(factory=trio.Event)

    async def start(self, nursery):
        """Start to serve in a nursery, on a free port."""
        self.port = await _connection.serve(nursery, self.handle)

    def put(self, key, fields):
        """Store an item as JSON, or as it is if `fields` is bytes."""
        raw = (
            fields
            if isinstance(fields, bytes)
            else json.dumps(fields).encode()
        )
        self.revision += 1
        item = {
            'key': key,
            'value': base64.b64encode(raw).decode(),
            'revision': self.revision,
            'createRev': self.revision,
            'lease': 0,
        }
        self._items[key] = item
        self._record_event(item)

    def remove(self, key):
        """Remove an item and record the removal in the history."""
        self.revision += 1
        del self._items[key]
        self._record_event(
            {'key': key, 'revision': self.revision, 'removed': True}
        )

    def compact(self):
        """Drop the history; watches that need it are answered with 410."""
        self._history.clear()
        self._first_kept_revision = self.revision + 1
        self._wake()

    def _record_event(self, event):
        self._history.append(event)
        self._wake()

    def _wake(self):
        self._changed.set()
        self._changed = trio.Event()

    async def handle(self, request):
        self.calls.append(request.target)
        if self.refuse_status:
            await request.answer(self.refuse_status)
        elif request.path == '/-/kv-key':
            await self._answer_key(request)
        elif request.path == '/-/kv-range':
            await self._answer_range(request)
        elif request.path == '/-/kv-watch':
            await self._answer_watch(request)
        else:
            await request.answer(404)

    async def _answer_key(self, request):
        item = self._items.get(request.query['key'])
        if item is None:
            await request.answer(404)
            return
        await self._answer(request, dict(item))

    async def _answer_range(self, request):
        after = request.query.get('after', '')
        found = [
            item
            for key, item in sorted(self._items.items())
            if key.startswith(request.query['prefix']) and key > after
        ]
        page = found[: self.page_size]
        await self._answer(
            request, {'items': page, 'hasMore': len(found) > len(page)}
        )

    async def _answer_watch(self, request):
        prefix = request.query['prefix']
        after = int(request.query['after'])
        found = []
        with trio.move_on_after(int(request.query['waitMs']) / 1000):
            while not found:
                if after + 1 < self._first_kept_revision:
                    await request.answer(410)
                    return
                found = [
                    event
                    for event in self._history
                    if event['revision'] > after
                    and event['key'].startswith(prefix)
                ]
                if not found:
                    await self._changed.wait()
        await self._answer(request, {'events': found})

    async def _answer(self, request, fields):
        fields['storeRevision'] = self.revision
        await request.answer(200, json.dumps(fields).encode())
