"""The handler of model requests: permit, prefill, transfer and decode."""

import itertools
import random

import attrs
import httpcore
import trio

from bluebellthread import core
from bluebellthread.daemon import _answer_task
from bluebellthread.daemon import _answer_writer
from bluebellthread.daemon import _clock
from bluebellthread.daemon import _completion_request
from bluebellthread.daemon import _mailboxes
from bluebellthread.daemon import _scheduler_link
from bluebellthread import engines
from bluebellthread.observe import emit
from bluebellthread.observe import events

MAX_ENGINE_CONNECTIONS = 1000
"""Maximum number of open connections to engines."""

QUEUE_LENGTH = 4096
"""Maximum number of queued messages from schedulers."""


class ModelPath:
    """Serves ``/v1/completions`` and ``/v1/chat/completions``.

    Parameters
    ----------
    vm, incarnation, data_centre : str, int, str
        This VM's name, this process's incarnation and its data centre.
    permit_client : PermitClient
        Requests and releases permits at the schedulers.
    fleet : object
        Has the newest ``configuration`` and membership ``view``.
    adapter : str
        Name of the adapter in `engines.engine_adapters`.
    tracer : bluebellthread.observe.Tracer
        Makes the spans.
    metrics : bluebellthread.observe.Metrics
        Counts retries and wasted prefill tokens.
    stop_admission : StopAdmission
        Tells which requests may begin during a planned stop.
    disabled_mechanisms : tuple of str
        Names of disabled mechanisms; only tests disable any.
    """

    def __init__(
        self,
        *,
        vm,
        incarnation,
        data_centre,
        permit_client,
        fleet,
        adapter,
        tracer,
        metrics,
        stop_admission,
        disabled_mechanisms=(),
    ):
        self._vm = vm
        self._incarnation = incarnation
        self._data_centre = data_centre
        self._fleet = fleet
        self._tracer = tracer
        self._metrics = metrics
        self._stop_admission = stop_admission
        self._scheduler = _scheduler_link.SchedulerLink(
            permit_client=permit_client, tracer=tracer
        )
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=MAX_ENGINE_CONNECTIONS, retries=0
        )
        self._engine = engines.engine_adapters.get(adapter)(pool=self._pool)
        self._rng = random.Random(incarnation)
        self._attempts = itertools.count(1)
        self._options = core.AnswerOptions(
            reorders_pieces='answer-order' not in disabled_mechanisms,
            resumes='answer-resume' not in disabled_mechanisms,
            retries='answer-retry' not in disabled_mechanisms,
        )
        self._supersedes = 'supersede' not in disabled_mechanisms
        self._releases = 'caller-release' not in disabled_mechanisms
        self._budgets = {}
        self._live = {}
        self.inbox, self._receive = trio.open_memory_channel(QUEUE_LENGTH)

    async def run(self, *, task_status=trio.TASK_STATUS_IGNORED):
        """Forward each `PermitCancelled` to its request until cancelled.

        Also runs the background tasks of the scheduler link.
        """
        async with trio.open_nursery() as nursery:
            await nursery.start(self._scheduler.run)
            task_status.started()
            await _mailboxes.handle_each(self._receive, self._handle)

    def _handle(self, inbound):
        self._forward_cancellation(inbound.message)
        inbound.answer(core.Done())

    async def close(self):
        """Close the connections to engines."""
        await self._pool.aclose()

    def end_late(self):
        """Refuse the requests that wait and would outlast a stop."""
        for task in tuple(self._live.values()):
            task.end_if_late()

    def end_all(self):
        """End every request at the end of a planned stop."""
        for task in tuple(self._live.values()):
            task.post(core.StopEnding())

    async def serve(self, exchange):
        """Answer one model request.

        A newer request with the same caller and request id supersedes the
        older one.
        """
        task = self._make_task(exchange)
        key = (exchange.caller, exchange.request_id)
        older = self._live.get(key)
        if older is not None and self._supersedes:
            older.post(core.Superseded())
        self._live[key] = task
        try:
            await task.run()
        finally:
            if self._live.get(key) is task:
                del self._live[key]

    def _make_task(self, exchange):
        configuration = self._fleet.configuration
        completion_request = _completion_request.parse_completion_request(
            exchange.request, configuration
        )
        values = core.resolve(
            configuration,
            data_centre=self._data_centre,
            serves=completion_request.model,
            caller=exchange.caller,
        )
        if not completion_request.output_tokens:
            completion_request = attrs.evolve(
                completion_request, output_tokens=values.output_tokens
            )
        request = self._make_request(exchange, completion_request, values)
        self._stop_admission.check(
            completion_request.model,
            output_tokens=completion_request.output_tokens,
            deadline_ms=request.deadline_ms,
        )
        machine = core.AnswerMachine(
            request=request,
            prompt=completion_request.prompt,
            budget=self._count_in_budget(completion_request.model, values),
            next_attempt=self._attempts.__next__,
            options=self._options,
            rng=self._rng,
        )
        return _answer_task.AnswerTask(
            machine=machine,
            completion_request=completion_request,
            exchange=exchange,
            writer=_answer_writer.AnswerWriter(
                responder=exchange.responder,
                completion_request=completion_request,
            ),
            scheduler=self._scheduler,
            engine=self._engine,
            find_server=self._find_server,
            tracer=self._tracer,
            metrics=self._metrics,
            stop_admission=self._stop_admission,
            releases=self._releases,
        )

    def _make_request(self, exchange, completion_request, values):
        now_ms = _clock.read_clock_ms()
        return core.PermitRequest(
            request_id=self._choose_request_id(exchange),
            gateway=self._vm,
            gateway_incarnation=self._incarnation,
            caller=exchange.caller,
            pool=core.PoolKey(
                serves=completion_request.model, data_centre=self._data_centre
            ),
            prompt_tokens=core.estimate_tokens(completion_request.prompt),
            output_tokens=completion_request.output_tokens,
            deadline_ms=_completion_request.read_deadline_ms(
                exchange.request, values, now_ms
            ),
            first_output_deadline_ms=now_ms + values.first_output_target_ms,
            priority=values.priority,
        )

    def _choose_request_id(self, exchange):
        if self._supersedes:
            return exchange.request_id
        return f'{exchange.request_id}/{next(self._attempts)}'

    def _count_in_budget(self, model, values):
        """Count a request in its model's retry budget; return the budget."""
        key = (model, values.retry_budget_percent)
        budget = self._budgets.get(key)
        if budget is None:
            budget = core.RetryBudget(percent=values.retry_budget_percent)
            self._budgets[key] = budget
        budget.note_request()
        return budget

    def _forward_cancellation(self, message):
        for task in self._live.values():
            if task.machine.has_held_permit(message.permit_id):
                emit(
                    events.PERMIT_CANCELLED,
                    permit_id=message.permit_id,
                    kind=message.kind,
                )
                task.post(message)

    def _find_server(self, name):
        for server in self._fleet.configuration.backend_servers:
            if server.name == name:
                return server
        return None
