"""Orders to engines, as a function of the accepted configuration.

The owner of a pool compares what each engine reports with what the
configuration wants, and orders the difference, one order at a time for an
engine. The fencing number is the revision: two owners of one revision give
the same orders with the same number, and an owner that is behind gives a
lower one. A report that shows the effect is the only proof of it; until
then the order is given again.
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
    """Waits of the orders.

    Parameters
    ----------
    verify_timeout_ms : int
        How long a report may take to show an order's effect.
    retry_timeout_ms : int
        How long an engine is left alone after a failed order.
    """

    verify_timeout_ms: int = 2000
    retry_timeout_ms: int = 5000


@attrs.frozen(kw_only=True)
class EngineOrder:
    """One order.

    Parameters
    ----------
    server : str
        The engine.
    fencing_number : int
        The revision that the order follows from.
    action : str
        ``'load'``, ``'unload'`` or ``'role'``.
    target : str
        A model version, an adapter or a role.
    """

    server: str
    fencing_number: int
    action: str
    target: str


@attrs.frozen(kw_only=True)
class OrdersConfigured:
    """The configuration in force, and the engines that this VM owns."""

    configuration: _configuration.Configuration
    servers: tuple[_model.BackendServer, ...]


@attrs.frozen(kw_only=True)
class OrderDone:
    """An engine has taken an order."""

    order: EngineOrder


@attrs.frozen(kw_only=True)
class OrderFailed:
    """An order was refused, lost, or not sent after all."""

    order: EngineOrder


@attrs.frozen(kw_only=True)
class SendOrder:
    """Command: give an order.

    Parameters
    ----------
    server : BackendServer
        The engine. If it does not check fencing numbers, the lease and
        the revision have to be confirmed just before.
    """

    server: _model.BackendServer
    order: EngineOrder


def list_targets(model):
    """Return what an engine of a model has to hold, first the model.

    Examples
    --------
    >>> list_targets(_configuration.Model(
    ...     name='m', version='3', adapters=('dolls',)))
    ('m@3', 'm/dolls')
    """
    targets = [f'{model.name}@{model.version}'] if model.version else []
    targets.extend(f'{model.name}/{adapter}' for adapter in model.adapters)
    return tuple(targets)


def share_loads(configuration):
    """Return the loads a minute that one pool may order.

    The weight store is one for the fleet and owners do not talk about it,
    so each pool has a fixed share.

    Examples
    --------
    >>> share_loads(_configuration.Configuration(
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
    """Pure state machine of the orders that one VM gives.

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
        """Take one event in and return the orders to give."""
        self._handlers[type(event)](event, now_ms)
        commands = []
        for name in sorted(self._engines):
            commands.extend(self._plan(self._engines[name], now_ms))
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
                known = self._engines.get(server.name, _Engine(server))
                known.server = server
                engines[server.name] = known
        self._engines = engines
        self._share_rate(configuration, now_ms)

    def _share_rate(self, configuration, now_ms):
        rate_per_s = share_loads(configuration) / S_PER_MIN
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
        """Time may have made an order possible."""

    def _plan(self, engine, now_ms):
        if engine.in_progress or now_ms < engine.not_before_ms:
            return []
        found = self._find_difference(engine)
        if found is None:
            return []
        action, target = found
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
            # Engines that nobody steers keep what they have.
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
