"""A stand-in for a model engine, as docs/ENGINE.md describes it."""

import random

import attrs
import trio

from bluebellthread import core

from standin import _decoding
from standin import _http
from standin import _memory
from standin import _prefilling


@attrs.define(kw_only=True)
class EngineSettings:
    """What a stand-in engine is and how fast; all may change while it runs.

    Parameters
    ----------
    export_host, export_port : str, int
        Where decode engines are sent for the KV cache; its own address if
        empty. Lets a test put a proxy between.
    answer_tokens : int
        Where answers end by themselves; 0 for never.
    evict_next_count : int
        Exports that are evicted at once, of those to come.
    disorder_window : int
        Above 0, pieces leave in groups of this size, each group reversed
        and its last piece doubled.
    detached_keep_ms : int
        How long a request without a stream may stay.
    """

    name: str
    role: str
    host: str = '127.0.0.1'
    port: int = 0
    total_pieces: int = 40
    request_limit: int = 20
    prefill_tokens_per_s: float = 50000.0
    prefill_slots: int = 1
    step_ms: float = 2.0
    step_ms_per_request: float = 0.05
    answer_tokens: int = 0
    kv_bytes_per_token: int = 64
    link_bytes_per_s: float = 50e6
    export_keep_ms: int = 800
    evict_next_count: int = 0
    export_host: str = ''
    export_port: int = 0
    cache_blocks: int = 256
    cache_event_lag_ms: int = 200
    cache_event_gap_every: int = 7
    load_lag_ms: int = 100
    detached_keep_ms: int = 60000
    disorder_window: int = 0
    checks_fencing: bool = False
    weight_load_ms: int = 200
    leaving: bool = False


class Engine:
    """One stand-in engine.

    Examples
    --------
    >>> Engine(EngineSettings(name='d1', role='decode')).settings.port
    0
    """

    def __init__(self, settings):
        self.settings = settings
        self.memory = _memory.Memory(settings)
        self.cache = _memory.PrefixCache(settings)
        self.incarnation = random.SystemRandom().getrandbits(62)
        self.cancelled_ids = set()
        self.fencing_number = 0
        self.targets = set()
        self.role = settings.role
        self.orders = []
        self.asked_count = 0
        self._report = _memory.LaggedReport(settings, self._snapshot)
        self._part = (
            _prefilling.Prefilling(self)
            if settings.role == core.ROLE_PREFILL
            else _decoding.Decoding(self)
        )

    async def start(self, nursery):
        """Listen and serve; return what listens where."""
        self._report.changed()
        app = _http.App()
        app.add('POST', '/v1/completions', self._complete)
        app.add('POST', '/v1/cancel', self._cancel)
        app.add('GET', '/load', self._load)
        app.add('GET', '/cache_events', self._cache_events)
        app.add('POST', '/orders', self._order)
        app.add('GET', '/state', self._state)
        control = _http.make_control(self.settings, self._report.changed)
        app.add('POST', '/control', control)
        self._part.start(nursery, app)
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

    def admit(self, request_id, tokens):
        """Hold memory for a request; return why not, or an empty string."""
        self.asked_count += 1
        if self.settings.leaving:
            return 'leaving'
        if request_id in self.cancelled_ids:
            return 'cancelled'
        if not self.memory.take(request_id, tokens):
            return 'full'
        self._report.changed()
        return ''

    def release(self, request_id):
        """Free a request's memory; whether it held any."""
        held = self.memory.release(request_id)
        self._report.changed()
        return held

    def _snapshot(self):
        return {
            'server': self.settings.name,
            'incarnation': self.incarnation,
            'total_pieces': self.memory.total_pieces,
            'free_pieces': self.memory.free_pieces,
            'running_ids': sorted(self.memory.held),
            'queued_count': self._part.queued_count,
            'leaving': self.settings.leaving,
            'role': self.role,
            'targets': sorted(self.targets),
        }

    async def _complete(self, request):
        try:
            body = request.json()
            request_id = request.headers['x-request-id']
            prompt = body['prompt']
            max_tokens = int(body['max_tokens'])
        except (KeyError, TypeError, ValueError):
            await request.refuse(400, 'malformed')
            return
        await self._part.complete(
            request, body, request_id, prompt, max_tokens
        )

    async def _cancel(self, request):
        request_id = request.json()['request_id']
        self.cancelled_ids.add(request_id)
        held = request_id in self.memory.held
        self._part.cancel(request_id)
        self.release(request_id)
        await request.answer(200, {'held': held})

    async def _load(self, request):
        await request.answer(200, self._report.read())

    async def _cache_events(self, request):
        after = int(request.query.get('after', 0))
        events = self.cache.events_after(after)
        await request.answer(200, {'events': events})

    async def _order(self, request):
        order = request.json()
        number = order['fencing_number']
        if self.settings.checks_fencing and number < self.fencing_number:
            await request.refuse(409, 'old-fencing-number')
            return
        self.fencing_number = max(number, self.fencing_number)
        self.orders.append(order)
        if order['action'] == 'load':
            await trio.sleep(self.settings.weight_load_ms / 1000)
            self.targets.add(order['target'])
        elif order['action'] == 'unload':
            self.targets.discard(order['target'])
        elif order['action'] == 'role':
            # Reported only; the stand-in goes on with its part.
            self.role = order['target']
        self._report.changed()
        await request.answer(200, {'applied': True})

    async def _state(self, request):
        """Answer with the truth of this moment, for tests."""
        state = self._snapshot() | {
            'cancelled_ids': sorted(self.cancelled_ids),
            'orders': self.orders,
            'asked_count': self.asked_count,
            'targets': sorted(self.targets),
        }
        await request.answer(200, state | self._part.state())
