"""The prefill role of a stand-in engine: compute and export KV caches."""

import heapq
import itertools

import attrs
import trio

from bluebellthread import core

CHUNK_BYTES = 65536
"""Bytes of KV cache in one write of a transfer."""


@attrs.define(kw_only=True)
class Export:
    """KV cache of a request, kept until it is fetched or evicted."""

    request_id: str
    block_id: int
    size_bytes: int
    evict_scope: trio.CancelScope = attrs.field(factory=trio.CancelScope)


class Prefilling:
    """Computes the KV caches of prompts, highest priority first.

    Each KV cache is exported for a decode engine to fetch; an export that is
    not fetched in time is evicted.
    """

    def __init__(self, engine):
        self._engine = engine
        self._settings = engine.settings
        self._counter = itertools.count(1)
        self._queue = []
        self._free_slots = engine.settings.prefill_slots
        self._exports = {}
        self._scopes = {}
        self._link_lock = trio.Lock()
        self._nursery = None
        self._runs = {}
        self._computed_tokens = 0
        self._evicted_count = 0
        self._run_order = []

    @property
    def queued_count(self):
        """Number of prompts that wait for a slot."""
        return len(self._queue)

    def start(self, nursery, app):
        """Add the route that serves exports; run evictions in a nursery."""
        self._nursery = nursery
        app.add('GET', '/kv/*', self._send_kv)

    def state(self):
        """Return counters and runs for tests."""
        return {
            'runs': self._runs,
            'run_order': self._run_order,
            'computed_tokens': self._computed_tokens,
            'evicted_count': self._evicted_count,
            'exports': len(self._exports),
        }

    async def complete(self, request, body, request_id, prompt, max_tokens):
        """Compute the KV cache of a prompt and answer with its location."""
        tokens = core.estimate_tokens(prompt)
        refusal = self._engine.admit(request_id, tokens)
        if refusal:
            await request.refuse(503, refusal)
            return
        with trio.CancelScope() as scope:
            self._scopes[request_id] = scope
            await self._take_slot(body.get('priority', 0))
            try:
                cached_tokens = await self._compute(request_id, prompt, tokens)
            finally:
                self._release_slot()
        self._scopes.pop(request_id, None)
        if scope.cancelled_caught:
            await request.refuse(409, 'cancelled')
            return
        export = self._add_export(request_id, tokens)
        answer = self._describe(export, tokens, cached_tokens)
        await request.answer(200, answer)

    def cancel(self, request_id):
        """Stop the computation of a request and drop its exports."""
        scope = self._scopes.pop(request_id, None)
        if scope is not None:
            scope.cancel()
        for export in list(self._exports.values()):
            if export.request_id == request_id:
                export.evict_scope.cancel()
                self._exports.pop(export.block_id, None)

    async def _take_slot(self, priority):
        if self._free_slots:
            self._free_slots -= 1
            return
        ready = trio.Event()
        entry = (-priority, next(self._counter), ready)
        heapq.heappush(self._queue, entry)
        try:
            await ready.wait()
        except trio.Cancelled:
            if entry in self._queue:
                self._queue.remove(entry)
                heapq.heapify(self._queue)
            else:
                self._release_slot()
            raise

    def _release_slot(self):
        if self._queue:
            heapq.heappop(self._queue)[2].set()
        else:
            self._free_slots += 1

    async def _compute(self, request_id, prompt, tokens):
        self._runs[request_id] = self._runs.get(request_id, 0) + 1
        self._run_order.append(request_id)
        cached_tokens = self._engine.cache.look_up_and_insert(prompt)
        work_tokens = tokens - cached_tokens
        await trio.sleep(work_tokens / self._settings.prefill_tokens_per_s)
        self._computed_tokens += work_tokens
        return cached_tokens

    def _add_export(self, request_id, tokens):
        export = Export(
            request_id=request_id,
            block_id=next(self._counter),
            size_bytes=tokens * self._settings.kv_bytes_per_token,
        )
        self._exports[export.block_id] = export
        self._nursery.start_soon(self._evict_later, export)
        return export

    async def _evict_later(self, export):
        with export.evict_scope:
            await trio.sleep(self._choose_keep_ms() / 1000)
            if self._exports.pop(export.block_id, None) is not None:
                self._evicted_count += 1
                self._engine.release(export.request_id)

    def _choose_keep_ms(self):
        if self._settings.evict_next_count == 0:
            return self._settings.export_keep_ms
        self._settings.evict_next_count -= 1
        return 0

    def _describe(self, export, tokens, cached_tokens):
        settings = self._settings
        return {
            'kv_transfer_params': {
                'remote_engine_id': settings.name,
                'remote_block_ids': [export.block_id],
                'remote_host': settings.export_host or settings.host,
                'remote_port': settings.export_port or settings.port,
            },
            'usage': {
                'prompt_tokens': tokens,
                'cached_tokens': cached_tokens,
            },
        }

    async def _send_kv(self, request):
        """Send an export over the link and remove it from this engine."""
        block_id = int(request.path.rsplit('/', 1)[1])
        export = self._exports.pop(block_id, None)
        if export is None:
            await request.refuse(404, 'kv-evicted')
            return
        export.evict_scope.cancel()
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(
                    self._cancel_on_disconnect, request, nursery.cancel_scope
                )
                await self._send_bytes(request, export.size_bytes)
                nursery.cancel_scope.cancel()
        finally:
            self._engine.release(export.request_id)

    async def _cancel_on_disconnect(self, request, scope):
        await request.wait_disconnected()
        scope.cancel()

    async def _send_bytes(self, request, size_bytes):
        await request.begin(200, 'application/octet-stream')
        left_bytes = size_bytes
        while left_bytes > 0:
            count = min(left_bytes, CHUNK_BYTES)
            async with self._link_lock:
                await trio.sleep(count / self._settings.link_bytes_per_s)
            await request.write(bytes(count))
            left_bytes -= count
        await request.write(b'', more=False)
