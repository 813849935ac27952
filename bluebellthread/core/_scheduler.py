"""Scheduler of one pool, which grants permits for engine memory.

Decode memory, the transfer link and the prefill slot are reserved together
before a prefill starts, since the KV cache that the prefill computes is
evicted in under a second. The scheduler stores no state: after a failure its
successor rebuilds the state from the gateways that hold permits and from the
engines' load reports.
"""

import itertools
import random

from bluebellthread.core import _ending_permits
from bluebellthread.core import _gateway_watch
from bluebellthread.core import _messages
from bluebellthread.core import _model
from bluebellthread.core import _orphan_watch
from bluebellthread.core import _permit_ledger
from bluebellthread.core import _permit_messages
from bluebellthread.core import _placement
from bluebellthread.core import _policies
from bluebellthread.core import _registration
from bluebellthread.core import _request_log
from bluebellthread.core import _scheduler_events as events
from bluebellthread.core import _scheduler_options
from bluebellthread.core import _waiting_requests


class Scheduler:
    """Schedules one pool as a pure state machine without I/O.

    Parameters
    ----------
    pool : PoolKey
        The pool to schedule.
    vm, incarnation : str, int
        The VM process that owns the pool.
    options : SchedulerOptions
        Policies, timeouts and limits.
    rng : random.Random
        The only source of randomness.
    numbers : iterator of int
        Source of the numbers in new permit ids. All schedulers of a process
        share it, so that no permit id is used twice.

    Examples
    --------
    >>> scheduler = Scheduler(
    ...     pool=_model.PoolKey(serves='m', data_centre='cluj-a'),
    ...     vm='vm1', incarnation=7)
    >>> scheduler.handle(events.Tick(), 0)
    []
    """

    def __init__(
        self,
        *,
        pool,
        vm,
        incarnation,
        options=None,
        rng=None,
        numbers=None,
    ):
        self.pool = pool
        self.vm = vm
        self.incarnation = incarnation
        options = options or _scheduler_options.SchedulerOptions()
        self._options = options
        self._ledger = _permit_ledger.PermitLedger()
        self._placement = _placement.Placement(
            options=options, ledger=self._ledger, rng=rng or random.Random(0)
        )
        self._waiting = _waiting_requests.WaitingRequests(options)
        self._gateways = _gateway_watch.GatewayWatch(options)
        self._registration = _registration.Registration(options)
        self._orphans = _orphan_watch.OrphanWatch(options)
        self._ending = _ending_permits.EndingPermits(
            ledger=self._ledger, settle_timeout_ms=options.settle_timeout_ms
        )
        self._numbers = numbers or itertools.count(1)
        self._handlers = {
            _messages.PermitRequest: self._on_request,
            _messages.PermitProgressed: self._on_progress,
            _messages.PermitReleased: self._on_release,
            _messages.PermitsRegistered: self._on_registered,
            _permit_messages.PermitAbandoned: self._on_abandoned,
            _model.LoadReport: self._on_report,
            events.ServersChanged: self._on_servers,
            events.ServerFailed: self._on_failed,
            events.OptionsChanged: self._on_options,
            events.GatewaysChanged: self._on_gateways,
            events.CancelConfirmed: self._on_confirmed,
            events.Tick: self._on_tick,
        }

    @property
    def permits(self):
        """Permits in force by permit id."""
        return {
            entry.permit.permit_id: entry.permit
            for entry in self._ledger
            if entry.ended_ms is None
        }

    @property
    def permit_count(self):
        """Number of permits in the ledger.

        Counts live permits, and ended ones whose engine memory still counts as
        reserved.
        """
        return len(self._ledger)

    @property
    def waiting_count(self):
        """Number of requests that wait for a permit."""
        return len(self._waiting)

    @property
    def rebuilding(self):
        """Whether live gateways may hold permits unknown to this scheduler."""
        return self._registration.rebuilding

    def handle(self, event, now_ms):
        """Handle one event and return the commands that result from it."""
        self._registration.start(now_ms)
        commands = self._handlers[type(event)](event, now_ms)
        for entry in self._ledger.pop_expired(now_ms):
            commands += self._ending.end(entry, now_ms, 'deadline')
        if self._registration.check_done(now_ms):
            self._orphans.restart(now_ms)
        for refusal in self._waiting.pop_expired(now_ms=now_ms):
            commands.append(self._refuse_from_queue(refusal))
        return commands + self._grant_waiting(now_ms)

    # Requests

    def _on_request(self, request, now_ms):
        for server in request.avoid_servers:
            self._placement.note_failed(server, now_ms)
        if self._gateways.is_gone(_request_log.process_of(request)):
            return []
        if self._waiting.is_superseded(request):
            return [self._refuse(request, 'superseded')]
        known = self._waiting.find(request)
        if known is not None and _request_log.is_same_attempt(known, request):
            return []
        entry = self._ledger.find_request(request)
        if entry is not None and _request_log.is_same_attempt(
            entry.permit, request
        ):
            return [self._grant_message(entry.permit)]
        if _request_log.is_older_attempt(request, known, entry):
            return [self._refuse(request, 'superseded')]
        if request.replaces_silent and _is_of_same_process(entry, request):
            # The grant ends the older permit, not the request for it.
            entry = None
        commands = self._supersede(known, entry, now_ms)
        return commands + self._enqueue(request, now_ms)

    def _supersede(self, waiting, entry, now_ms):
        """End the older attempts of a request in favour of a newer one."""
        commands = []
        if waiting is not None:
            self._waiting.remove(waiting)
            self._waiting.note_superseded(waiting)
            commands.append(self._refuse(waiting, 'superseded'))
        if entry is not None:
            self._waiting.note_superseded(entry.permit)
            commands += self._ending.end(entry, now_ms, 'superseded')
        return commands

    def _enqueue(self, request, now_ms):
        if not self._placement.has_both_roles():
            return [self._refuse(request, 'no-backend')]
        refused = self._waiting.push(request, now_ms=now_ms)
        return [self._refuse_from_queue(item) for item in refused]

    def _on_abandoned(self, event, now_ms):
        waiting = self._waiting.find(event)
        if waiting is not None and _request_log.is_same_attempt(
            waiting, event
        ):
            self._waiting.remove(waiting)
            return []
        entry = self._ledger.find_request(event)
        if entry is not None and _request_log.is_same_attempt(
            entry.permit, event
        ):
            return self._ending.end(entry, now_ms, '')
        # The request has not arrived yet: refuse it when it does.
        self._waiting.note_superseded(event)
        return []

    def _grant_waiting(self, now_ms):
        commands = []
        while len(self._waiting):
            request = self._waiting.pop_next(
                lambda item: self._fits(item, now_ms), now_ms=now_ms
            )
            if request is None:
                break
            commands += self._grant(request, now_ms)
        return commands

    def _fits(self, request, now_ms):
        return self._placement.fits(
            request, now_ms=now_ms, find_shown_from_ms=self._find_shown_from_ms
        )

    def _find_shown_from_ms(self, server):
        """Return when a server's reports begin to show unknown permits.

        The result is None if this scheduler knows all permits there.
        """
        if self._registration.rebuilding:
            return self._registration.shown_from_ms
        if self._orphans.has_orphans(server):
            # The stored report is the one that lists the orphaned requests.
            return 0
        return None

    def _grant(self, request, now_ms):
        prefill_server, decode_server = self._placement.choose(
            request, now_ms=now_ms, find_shown_from_ms=self._find_shown_from_ms
        )
        permit = _model.Permit(
            permit_id=_orphan_watch.make_permit_id(
                self.vm, self.incarnation, next(self._numbers)
            ),
            request_id=request.request_id,
            attempt_number=request.attempt_number,
            gateway=request.gateway,
            gateway_incarnation=request.gateway_incarnation,
            caller=request.caller,
            pool=self.pool,
            prefill_server=prefill_server,
            decode_server=decode_server,
            prompt_tokens=request.prompt_tokens,
            pieces=_placement.pieces_of(request),
            deadline_ms=request.deadline_ms,
        )
        commands = [self._grant_message(permit)]
        replaced = self._ledger.find_request(request)
        if replaced is not None:
            self._waiting.note_superseded(replaced.permit)
            commands += self._ending.end(replaced, now_ms, '')
        self._ledger.add(permit, now_ms)
        return commands

    def _grant_message(self, permit):
        granted = _messages.PermitGranted(
            permit=permit,
            scheduler=self.vm,
            scheduler_incarnation=self.incarnation,
        )
        return events.SendToGateway(gateway=permit.gateway, message=granted)

    def _refuse_from_queue(self, refusal):
        return self._refuse(
            refusal.request, refusal.kind, refusal.retry_after_ms
        )

    def _refuse(self, request, kind, retry_after_ms=_policies.RETRY_AFTER_MS):
        refusal = _messages.PermitRefused(
            request_id=request.request_id,
            attempt_number=request.attempt_number,
            kind=kind,
            retry_after_ms=retry_after_ms,
        )
        return events.SendToGateway(gateway=request.gateway, message=refusal)

    # Permits

    def _on_progress(self, event, now_ms):
        entry = self._ledger.find(event.permit_id)
        if entry is None or entry.ended_ms is not None:
            return []
        if event.stage == 'decoding':
            self._waiting.note_first_output(entry.permit, now_ms=now_ms)
        self._ledger.progress(entry, event.stage)
        return []

    def _on_release(self, event, now_ms):
        entry = self._ledger.find(event.permit_id)
        self._ending.note_released(event.permit_id, now_ms)
        if entry is None or entry.ended_ms is not None:
            return []
        if event.clean:
            self._ledger.remove(entry)
            return []
        return self._ending.end(entry, now_ms, '')

    def _on_registered(self, event, now_ms):
        gateway = (event.gateway, event.gateway_incarnation)
        self._registration.note_registered(gateway)
        commands = []
        for permit in event.permits:
            commands += self._register(permit, now_ms)
        return commands

    def _register(self, permit, now_ms):
        known = self._ledger.find(permit.permit_id)
        released = self._ending.has_ended(permit.permit_id)
        if known is not None or released or permit.pool != self.pool:
            return []
        other = self._ledger.find_request(permit)
        entry = self._ledger.add(permit, now_ms)
        self._orphans.forget(permit.permit_id)
        if other is None:
            return []
        if self._is_newer(other.permit, permit):
            return self._ending.end(entry, now_ms, 'superseded')
        return self._ending.end(other, now_ms, 'superseded')

    def _is_newer(self, permit, registered):
        """Return whether a known permit supersedes a registered one."""
        granter = _orphan_watch.granter_of(permit.permit_id)
        if granter == (self.vm, self.incarnation):
            return True
        return (permit.attempt_number, permit.deadline_ms) >= (
            registered.attempt_number,
            registered.deadline_ms,
        )

    def _on_confirmed(self, event, now_ms):
        self._ending.confirm(event.permit_id, event.server, now_ms)
        return []

    # Backend servers

    def _on_servers(self, event, now_ms):
        self._placement.set_servers(event.servers)
        return []

    def _on_failed(self, event, now_ms):
        self._placement.note_failed(event.server, now_ms)
        return []

    def _on_options(self, event, now_ms):
        if event.options == self._options:
            return []
        self._options = event.options
        self._placement.set_options(event.options)
        refused = self._waiting.set_options(event.options, now_ms=now_ms)
        return [self._refuse_from_queue(item) for item in refused]

    def _on_report(self, report, now_ms):
        if report.server not in self._placement.servers:
            return []
        account = self._ledger.account(report.server)
        known = account.report
        if not account.store_report(report):
            return []
        commands = []
        if known is not None and known.incarnation != report.incarnation:
            commands = self._ending.end_lost_permits(account, now_ms)
        self._ending.confirm_by_report(account, now_ms)
        self._note_orphans(account, now_ms)
        return commands

    def _note_orphans(self, account, now_ms):
        orphans = [
            permit_id
            for permit_id in account.report.running_ids
            if self._ledger.find(permit_id) is None
            and not self._ending.may_be_in_stale_report(permit_id, now_ms)
        ]
        self._orphans.note_report(account.name, orphans, now_ms)

    # Membership view and timers

    def _on_gateways(self, event, now_ms):
        self._gateways.set_live_gateways(
            event.live, minority=event.minority, now_ms=now_ms
        )
        self._registration.set_live_gateways(event.live)
        return self._cancel_gone_gateways(
            now_ms
        ) + self._request_registrations(now_ms)

    def _cancel_gone_gateways(self, now_ms):
        if not self._options.cancels_gone_gateways:
            return []
        commands = []
        for request in self._waiting.list_all():
            if self._gateways.is_gone(_request_log.process_of(request)):
                self._waiting.remove(request)
        holders = self._ledger.gateways()
        for gateway in self._gateways.find_gone(holders, now_ms):
            for entry in self._ledger.entries_of_gateway(gateway):
                commands += self._ending.end(entry, now_ms, 'gateway-lost')
        return commands

    def _request_registrations(self, now_ms):
        if not self._options.asks_registrations:
            return []
        message = _permit_messages.RegistrationWanted(
            pool=self.pool,
            scheduler=self.vm,
            scheduler_incarnation=self.incarnation,
        )
        return [
            events.SendToGateway(gateway=name, message=message)
            for name, _ in self._registration.pop_due_gateways(now_ms)
        ]

    def _on_tick(self, event, now_ms):
        self._waiting.forget_old(now_ms)
        self._ending.forget_old(now_ms)
        commands = self._request_registrations(
            now_ms
        ) + self._cancel_gone_gateways(now_ms)
        return commands + self._cancel_orphans(now_ms)

    def _cancel_orphans(self, now_ms):
        if self._registration.rebuilding or not self._options.cancels_strays:
            return []
        due = self._orphans.pop_due(
            self._gateways,
            now_ms,
            is_registered=self._registration.is_complete
            or not self._options.asks_registrations,
        )
        return [
            events.CancelAtEngine(server=server, permit_id=permit_id)
            for server, permit_id in due
        ]


def _is_of_same_process(entry, request):
    return entry is not None and (
        _request_log.process_of(entry.permit)
        == _request_log.process_of(request)
    )
