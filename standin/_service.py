"""A stand-in for a plain service that runs orders and stock lookups."""

import random

import attrs
import trio

from standin import _http
from standin import _memory


@attrs.define(kw_only=True)
class ServiceSettings:
    """Settings of a stand-in service; all may change while it runs.

    Parameters
    ----------
    before_run_ms, after_run_ms : int
        Delays before an order runs, and between its run and the answer.
    read_ms : int
        Delay before a lookup is answered.
    silent : bool
        Whether orders run but get no answer.
    """

    name: str
    host: str = '127.0.0.1'
    port: int = 0
    slots: int = 20
    before_run_ms: int = 0
    after_run_ms: int = 0
    read_ms: int = 0
    silent: bool = False
    load_lag_ms: int = 100
    leaving: bool = False


class Service:
    """Stand-in server for a plain service, with a ledger of its orders.

    Every call except a read is an order. Its id is the body's ``order_id``, or
    the request path if the body has none. The ledger counts the runs of each
    order id.

    Examples
    --------
    >>> Service(ServiceSettings(name='m1')).ledger
    {}
    """

    def __init__(self, settings):
        self.settings = settings
        self.ledger = {}
        self._reads = 0
        self._running = {}
        self._incarnation = random.SystemRandom().getrandbits(62)
        self._report = _memory.LaggedReport(settings, self._snapshot)

    async def start(self, nursery):
        """Start to serve; return a list with name, host and port."""
        self._report.record_change()
        app = _http.App()
        app.add('GET', '/load', self._load)
        app.add('GET', '/ledger', self._show_ledger)
        app.add('GET', '/stock/*', self._look_up)
        app.add('GET', '/orders/*', self._check_order)
        control = _http.make_control(self.settings, self._report.record_change)
        app.add('POST', '/control', control)
        app.add('*', '/*', self._run_order)
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

    def _snapshot(self):
        return {
            'server': self.settings.name,
            'incarnation': self._incarnation,
            'total_pieces': self.settings.slots,
            'free_pieces': self.settings.slots - len(self._running),
            'running_ids': sorted(self._running.values()),
            'queued_count': 0,
            'leaving': self.settings.leaving,
        }

    async def _load(self, request):
        await request.answer(200, self._report.read())

    async def _show_ledger(self, request):
        answer = {'runs': self.ledger, 'reads': self._reads}
        await request.answer(200, answer)

    async def _look_up(self, request):
        if self.settings.leaving:
            await request.refuse(503, 'leaving')
            return
        self._reads += 1
        await trio.sleep(self.settings.read_ms / 1000)
        item = request.path.rsplit('/', 1)[1]
        answer = {'item': item, 'count': len(item), 'by': self.settings.name}
        await request.answer(200, answer)

    async def _check_order(self, request):
        order_id = request.path.rsplit('/', 1)[1]
        runs = self.ledger.get(order_id, 0)
        await request.answer(200, {'order_id': order_id, 'runs': runs})

    async def _run_order(self, request):
        settings = self.settings
        if settings.leaving or len(self._running) >= settings.slots:
            kind = 'leaving' if settings.leaving else 'full'
            await request.refuse(503, kind)
            return
        order_id = str(request.json().get('order_id', request.path))
        self._running[request] = order_id
        self._report.record_change()
        await trio.sleep(settings.before_run_ms / 1000)
        self.ledger[order_id] = self.ledger.get(order_id, 0) + 1
        runs = self.ledger[order_id]
        await trio.sleep(settings.after_run_ms / 1000)
        del self._running[request]
        self._report.record_change()
        if settings.silent:
            await request.wait_disconnected()
            return
        answer = {'order_id': order_id, 'runs': runs, 'by': settings.name}
        await request.answer(200, answer)
