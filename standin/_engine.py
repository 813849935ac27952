"""A stand-in for a model engine with the interface of docs/ENGINE.md."""

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
    """Role, size and speed of a stand-in engine; all may change while it runs.

    Parameters
    ----------
    export_host, export_port : str, int
        Address that decode engines fetch the KV cache from; the engine's own
        address if empty. Lets a test put a proxy in between.
    answer_tokens : int
        Tokens after which an answer ends by itself; 0 for no such limit.
    evict_next_count : int
        How many of the next exports are evicted immediately.
    cache_event_gap_every : int
        Each cache event whose sequence number is a multiple of this is lost;
        0 loses none.
    checks_fencing : bool
        Whether orders are refused if their fencing number is lower than the
        highest one received.
    disorder_window : int
        If above 0, pieces are sent in reversed groups of one more than this
        size, and the last piece of each group is sent twice.
    detached_keep_ms : int
        How long a request without a stream keeps its memory.
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
    """Stand-in server for a model engine of one role.

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
        self._role_handler = (
            _prefilling.Prefilling(self)
            if settings.role == core.ROLE_PREFILL
            else _decoding.Decoding(self)
        )

    async def start(self, nursery):
        """Start to serve; return a list with name, host and port."""
        self._report.record_change()
        app = _http.App()
        app.add('POST', '/v1/completions', self._complete)
        app.add('POST', '/v1/cancel', self._cancel)
        app.add('GET', '/load', self._load)
        app.add('GET', '/cache_events', self._cache_events)
        app.add('POST', '/orders', self._handle_order)
        app.add('GET', '/state', self._state)
        control = _http.make_control(self.settings, self._report.record_change)
        app.add('POST', '/control', control)
        self._role_handler.start(nursery, app)
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
        """Reserve memory for a request; return '' or the kind of refusal."""
        self.asked_count += 1
        if self.settings.leaving:
            return 'leaving'
        if request_id in self.cancelled_ids:
            return 'cancelled'
        if not self.memory.reserve(request_id, tokens):
            return 'full'
        self._report.record_change()
        return ''

    def release(self, request_id):
        """Free the memory of a request; return whether it held any."""
        held = self.memory.release(request_id)
        self._report.record_change()
        return held

    def _snapshot(self):
        return {
            'server': self.settings.name,
            'incarnation': self.incarnation,
            'total_pieces': self.memory.total_pieces,
            'free_pieces': self.memory.free_pieces,
            'running_ids': sorted(self.memory.held),
            'queued_count': self._role_handler.queued_count,
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
        await self._role_handler.complete(
            request, body, request_id, prompt, max_tokens
        )

    async def _cancel(self, request):
        request_id = request.json()['request_id']
        self.cancelled_ids.add(request_id)
        held = request_id in self.memory.held
        self._role_handler.cancel(request_id)
        self.release(request_id)
        await request.answer(200, {'held': held})

    async def _load(self, request):
        await request.answer(200, self._report.read())

    async def _cache_events(self, request):
        after = int(request.query.get('after', 0))
        events = self.cache.events_after(after)
        await request.answer(200, {'events': events})

    async def _handle_order(self, request):
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
            # The new role is only reported; the stand-in keeps serving the
            # role of its settings.
            self.role = order['target']
        self._report.record_change()
        await request.answer(200, {'applied': True})

    async def _state(self, request):
        """Answer with the current state, without the lag of reports."""
        state = self._snapshot() | {
            'cancelled_ids': sorted(self.cancelled_ids),
            'orders': self.orders,
            'asked_count': self.asked_count,
            'targets': sorted(self.targets),
        }
        await request.answer(200, state | self._role_handler.state())
