"""A stand-in for the platform's store: reads, ranges and watches."""

import base64
import json

import attrs
import trio

from standin.site import _connection


@attrs.define(kw_only=True)
class Store:
    """Items with revisions, and the changes since.

    Parameters
    ----------
    refuse_status : int
        Above 0, every call is answered with it.
    page_size : int
        Items in one page of a range.
    """

    refuse_status: int = 0
    page_size: int = 500
    revision: int = 1
    port: int = 0
    calls: list = attrs.field(factory=list)
    _items: dict = attrs.field(factory=dict)
    _history: list = attrs.field(factory=list)
    _first_known: int = 1
    _changed: trio.Event = attrs.field(factory=trio.Event)

    async def start(self, nursery):
        """Listen and serve."""
        self.port = await _connection.serve(nursery, self._handle)

    def put(self, key, fields):
        """Write an item as JSON; bytes are written as they are."""
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
        self._note(item)

    def remove(self, key):
        """Remove an item."""
        self.revision += 1
        del self._items[key]
        self._note({'key': key, 'revision': self.revision, 'removed': True})

    def compact(self):
        """Forget the history, and cut the watches."""
        self._history.clear()
        self._first_known = self.revision + 1
        self._wake()

    def _note(self, event):
        self._history.append(event)
        self._wake()

    def _wake(self):
        self._changed.set()
        self._changed = trio.Event()

    async def _handle(self, request):
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
        with trio.move_on_after(int(request.query['waitMs']) / 1000):
            while True:
                if after + 1 < self._first_known:
                    await request.answer(410)
                    return
                found = [
                    event
                    for event in self._history
                    if event['revision'] > after
                    and event['key'].startswith(prefix)
                ]
                if found:
                    await self._answer(request, {'events': found})
                    return
                await self._changed.wait()
        await self._answer(request, {'events': []})

    async def _answer(self, request, fields):
        fields['storeRevision'] = self.revision
        await request.answer(200, json.dumps(fields).encode())
