"""Orders to engines, derived from the accepted configuration.

The pool owner compares the load report of each engine with the state that
the configuration demands, and sends orders that remove the difference, one
at a time per engine. The fencing token of an order is the configuration
revision: two owners with the same revision give the same orders with the
same token, and an owner with an older revision gives a lower token. Only a
load report that shows the effect of an order confirms it; until then the
order is repeated.
"""

import attrs

from bluebellthread.core import _configuration
from bluebellthread.core import _model
from bluebellthread.core import _scheduler_events
from bluebellthread.core import _token_bucket

ACTION_LOAD = 'load'
ACTION_UNLOAD = 'unload'
ACTION_ROLE = 'role'

S_PER_MIN = 60


@attrs.frozen(kw_only=True)
class OrderOptions:
    """Set the timeouts of orders.

    Parameters
    ----------
    verify_timeout_ms : int
        How long to wait for a load report that shows the effect of an
        accepted order before the order is repeated.
    retry_timeout_ms : int
        How long an engine gets no further order after a failed one.
    """

    verify_timeout_ms: int = 2000
    retry_timeout_ms: int = 5000


@attrs.frozen(kw_only=True)
class EngineOrder:
    """Represent one order to one engine.

    Parameters
    ----------
    server : str
        Name of the engine's backend server.
    fencing_number : int
        Configuration revision that the order is derived from, used as the
        fencing token.
    action : str
        ``'load'``, ``'unload'`` or ``'role'``.
    target : str
        The model version or adapter to load or unload, or the role to take.
    """

    server: str
    fencing_number: int
    action: str
    target: str


@attrs.frozen(kw_only=True)
class OrdersConfigured:
    """Report the configuration in force and the engines that this VM owns."""

    configuration: _configuration.Configuration
    servers: tuple[_model.BackendServer, ...]


@attrs.frozen(kw_only=True)
class OrderDone:
    """Report that an engine has accepted an order."""

    order: EngineOrder


@attrs.frozen(kw_only=True)
class OrderFailed:
    """Report that an order was refused, got no answer or was not sent."""

    order: EngineOrder


@attrs.frozen(kw_only=True)
class SendOrder:
    """Command: send an order to an engine.

    Parameters
    ----------
    server : BackendServer
        The engine. If it does not check fencing tokens, the sender must
        confirm its lease and the revision immediately before it sends.
    order : EngineOrder
        The order to send.
    """

    server: _model.BackendServer
    order: EngineOrder


def list_targets(model):
    """Return the targets that an engine of a model must have loaded.

    The model version comes first, followed by the adapters.

    Examples
    --------
    >>> list_targets(_configuration.Model(
    ...     name='m', version='3', adapters=('dolls',)))
    ('m@3', 'm/dolls')
    """
    targets = [f'{model.name}@{model.version}'] if model.version else []
    targets.extend(f'{model.name}/{adapter}' for adapter in model.adapters)
    return tuple(targets)


def weight_loads_per_min_of_pool(configuration):
    """Return how many weight loads per minute one pool may order.

    All pools of the fleet load from one weight store, and their owners do
    not coordinate the load on it, so each pool gets an equal, fixed share.

    Examples
    --------
    >>> weight_loads_per_min_of_pool(_configuration.Configuration(
    ...     revision=1, weight_loads_per_min=6.0))
    6.0
    """
    models = {model.name for model in configuration.models}
    pools = {
        (server.serves, server.data_centre)
        for server in configuration.backend_servers
        if server.serves in models
    }
    return configuration.weight_loads_per_min / max(1, len(pools))


@attrs.define
class _Engine:
    server: _model.BackendServer
    report: _model.LoadReport | None = None
    in_progress: EngineOrder | None = None
    not_before_ms: int = 0


class OrderPlanner:
    """Plan the orders of one VM to the engines of its pools; do no I/O.

    Examples
    --------
    >>> OrderPlanner().handle(_scheduler_events.Tick(), 0)
    []
    """

    def __init__(self, *, options=None):
        self._options = options or OrderOptions()
        self._revision = 0
        self._models = {}
        self._engines = {}
        self._buckets = {}
        self._handlers = {
            OrdersConfigured: self._on_configured,
            _model.LoadReport: self._on_report,
            OrderDone: self._on_done,
            OrderFailed: self._on_failed,
            _scheduler_events.Tick: self._on_tick,
        }

    def handle(self, event, now_ms):
        """Handle one event and return the orders to send."""
        self._handlers[type(event)](event, now_ms)
        commands = []
        for name in sorted(self._engines):
            commands.extend(self._plan_order(self._engines[name], now_ms))
        return commands

    def _on_configured(self, event, now_ms):
        configuration = event.configuration
        if configuration.revision < self._revision:
            return
        self._revision = configuration.revision
        self._models = {item.name: item for item in configuration.models}
        engines = {}
        for server in event.servers:
            if server.serves in self._models and not server.leaving:
                engine = self._engines.get(server.name, _Engine(server))
                engine.server = server
                engines[server.name] = engine
        self._engines = engines
        self._update_load_rates(configuration, now_ms)

    def _update_load_rates(self, configuration, now_ms):
        rate_per_s = weight_loads_per_min_of_pool(configuration) / S_PER_MIN
        owned = {_pool_of(item.server) for item in self._engines.values()}
        buckets = {}
        for pool in owned:
            bucket = self._buckets.get(pool)
            if bucket is None:
                bucket = _token_bucket.TokenBucket(
                    rate_per_s=rate_per_s, burst=1, now_ms=now_ms
                )
            bucket.change_rate(rate_per_s=rate_per_s, burst=1, now_ms=now_ms)
            buckets[pool] = bucket
        self._buckets = buckets

    def _on_report(self, report, now_ms):
        engine = self._engines.get(report.server)
        if engine is not None:
            engine.report = report

    def _on_done(self, event, now_ms):
        self._end(event.order, now_ms + self._options.verify_timeout_ms)

    def _on_failed(self, event, now_ms):
        self._end(event.order, now_ms + self._options.retry_timeout_ms)

    def _end(self, order, not_before_ms):
        engine = self._engines.get(order.server)
        if engine is not None and engine.in_progress == order:
            engine.in_progress = None
            engine.not_before_ms = not_before_ms

    def _on_tick(self, event, now_ms):
        """Do nothing; `handle` then plans the orders that are now due."""

    def _plan_order(self, engine, now_ms):
        if engine.in_progress or now_ms < engine.not_before_ms:
            return []
        difference = self._find_difference(engine)
        if difference is None:
            return []
        action, target = difference
        if action == ACTION_LOAD:
            bucket = self._buckets[_pool_of(engine.server)]
            if not bucket.take(1, now_ms=now_ms):
                return []
        engine.in_progress = EngineOrder(
            server=engine.server.name,
            fencing_number=self._revision,
            action=action,
            target=target,
        )
        return [SendOrder(server=engine.server, order=engine.in_progress)]

    def _find_difference(self, engine):
        report, server = engine.report, engine.server
        if report is None or report.leaving:
            return None
        if report.role and report.role != server.role:
            return ACTION_ROLE, server.role
        wanted = list_targets(self._models[server.serves])
        if not wanted or report.targets is None:
            # The configuration names no targets for this model, or the engine
            # does not report any, so it keeps what it has loaded.
            return None
        missing = [item for item in wanted if item not in report.targets]
        if missing:
            return ACTION_LOAD, missing[0]
        surplus = sorted(set(report.targets) - set(wanted))
        if surplus:
            return ACTION_UNLOAD, surplus[0]
        return None


def _pool_of(server):
    return (server.serves, server.data_centre)
