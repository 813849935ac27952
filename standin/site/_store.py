"""A stand-in for the key-value store of the users' platform."""

import base64
import json

import attrs
import trio

from bluebellthread.core import _registry
from standin.site import _connection

refusals = _registry.Registry('refusal')
"""Async functions that take a `SiteRequest` and turn it away."""


@attrs.frozen(kw_only=True)
class StoreCopy:
    """Copy of a store's contents at one moment."""

    revision: int
    items: dict
    history: tuple
    first_kept_revision: int


@attrs.define(kw_only=True)
class Store:
    """Store that serves reads, ranges and watches of items.

    Each change raises the revision and is kept in a history for watches.

    Parameters
    ----------
    era : object
        Value of the header ``Store-Era``; None if answers don't have it.
    refuse_status : int
        If above 0, the status that every call is answered with.
    page_size : int
        Largest number of items in a page of a range.
    script : list of callable
        ``async`` functions that take a `SiteRequest`. Each call removes the
        first one, which answers the call instead of the store.
    endings : list of Ending
        How the answers to the next calls that are not refused end, in turn.
    """

    era: object = 1
    refuse_status: int = 0
    page_size: int = 500
    script: list = attrs.field(factory=list)
    endings: list = attrs.field(factory=list)
    revision: int = 1
    port: int = 0
    calls: list = attrs.field(factory=list)
    _items: dict = attrs.field(factory=dict)
    _history: list = attrs.field(factory=list)
    _first_kept_revision: int = 1
    _restores: int = 0
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

    def has(self, key):
        """Return whether there is an item with a key."""
        return key in self._items

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

    def snapshot(self):
        """Return a copy of the contents for `restore`."""
        return StoreCopy(
            revision=self.revision,
            items=dict(self._items),
            history=tuple(self._history),
            first_kept_revision=self._first_kept_revision,
        )

    def restore(self, copy):
        """Go back to a copy and begin a new era.

        Later changes have gone, and their revisions are given out again.
        Watches that wait are answered with 410.
        """
        self.revision = copy.revision
        self._items = dict(copy.items)
        self._history = list(copy.history)
        self._first_kept_revision = copy.first_kept_revision
        if self.era is not None:
            self.era += 1
        self._restores += 1
        self._wake()

    def _record_event(self, event):
        self._history.append(event)
        self._wake()

    def _wake(self):
        self._changed.set()
        self._changed = trio.Event()

    async def handle(self, request):
        self.calls.append(request.target)
        if self.script:
            await self.script.pop(0)(request)
        elif self.refuse_status:
            await self._refuse(request, self.refuse_status)
        elif request.path == '/-/kv-key':
            await self._answer_key(request)
        elif request.path == '/-/kv-range':
            await self._answer_range(request)
        elif request.path == '/-/kv-watch':
            await self._answer_watch(request)
        else:
            await self._refuse(request, 404)

    async def _answer_key(self, request):
        item = self._items.get(request.query['key'])
        if item is None:
            await self._refuse(request, 404)
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
        restores = self._restores
        found = []
        with trio.move_on_after(int(request.query['waitMs']) / 1000):
            while self._has_history(after, restores):
                found = [
                    event
                    for event in self._history
                    if event['revision'] > after
                    and event['key'].startswith(prefix)
                ]
                if found:
                    break
                await self._changed.wait()
        if self._has_history(after, restores):
            await self._answer(request, {'events': found})
        else:
            await self._refuse(request, 410)

    def _has_history(self, after, restores):
        return (
            restores == self._restores
            and self._first_kept_revision - 1 <= after <= self.revision
        )

    async def _answer(self, request, fields):
        fields['storeRevision'] = self.revision
        body = json.dumps(fields).encode()
        ending = self.endings.pop(0) if self.endings else None
        await request.answer(200, body, self._make_headers(), ending=ending)

    async def _refuse(self, request, status):
        await request.answer(status, headers=self._make_headers())

    def _make_headers(self):
        return () if self.era is None else [('Store-Era', self.era)]


@attrs.define(kw_only=True)
class StoreDoor:
    """Way to a store that can turn its callers away while others are served.

    Parameters
    ----------
    store : Store
        The store behind the door.
    refusal : str
        How calls are turned away, a key of `refusals`; empty if they are
        not.
    """

    store: Store
    refusal: str = ''
    port: int = 0
    _scopes: set = attrs.field(factory=set)

    async def start(self, nursery):
        """Start to serve in a nursery, on a free port."""
        self.port = await _connection.serve(nursery, self._handle)

    def turn_away(self, refusal):
        """Turn away all calls, those that wait for a change too."""
        self.refusal = refusal
        for scope in self._scopes:
            scope.cancel()

    def open(self):
        """Let calls through again."""
        self.refusal = ''

    async def _handle(self, request):
        if not self.refusal:
            with trio.CancelScope() as scope:
                self._scopes.add(scope)
                try:
                    await self.store.handle(request)
                finally:
                    self._scopes.discard(scope)
            if not scope.cancelled_caught:
                return
        await refusals.get(self.refusal)(request)


@attrs.define(kw_only=True)
class StoreView:
    """A store as one caller sees it, with some items changed.

    Parameters
    ----------
    store : Store
        The store behind it.
    change : callable
        Takes the key and the decoded value of an item; returns the value that
        the caller sees.
    """

    store: Store
    change: object
    port: int = 0

    async def start(self, nursery):
        """Start to serve in a nursery, on a free port."""
        self.port = await _connection.serve(nursery, self._handle)

    async def _handle(self, request):
        send = request.answer

        async def answer(status, body=b'', headers=(), *, ending=None):
            if status == 200:
                body = self._change_answer(body)
            await send(status, body, headers, ending=ending)

        request.answer = answer
        await self.store.handle(request)

    def _change_answer(self, body):
        fields = json.loads(body)
        for item in (*fields.get('items', ()), *fields.get('events', ())):
            if 'value' in item:
                self._change_item(item)
        return json.dumps(fields).encode()

    def _change_item(self, item):
        try:
            value = json.loads(base64.b64decode(item['value']))
        except ValueError:
            # Items may be malformed; their readers have to cope.
            return
        raw = json.dumps(self.change(item['key'], value)).encode()
        item['value'] = base64.b64encode(raw).decode()


@refusals.register('503')
async def _refuse_as_unavailable(request):
    await request.answer(503)


@refusals.register('429')
async def _refuse_as_busy(request):
    await request.answer(429)


@refusals.register('reset')
async def _reset(request):
    await request.reset()


@refusals.register('silence')
async def _stay_silent(request):
    del request
    await trio.sleep_forever()
