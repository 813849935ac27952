"""HTTP handling of tickets and of at-most-once calls to services."""

import json

from bluebellthread import core
from bluebellthread.daemon import _clock
from bluebellthread.daemon import _completion_request
from bluebellthread.daemon import _http
from bluebellthread.daemon import _peers
from bluebellthread.daemon import _ticket_answers
from bluebellthread.daemon import _ticket_finder

PREFIX = '/tickets'

BODY_MAX_BYTES = 1024 * 1024
"""Longest request body of an at-most-once call."""

ANSWER_MARGIN_MS = 300
"""How long after the caller's deadline an answer of the issuer is awaited.

At the deadline the issuer itself answers with what it knows of the call.
"""

TICKET_TIMEOUT_MS = 2000
"""Timeout of a call to a VM that issues a ticket or looks one up."""

UNFORWARDED_CALL_HEADERS = _http.UNFORWARDED_HEADERS | {
    _http.TICKET_HEADER,
    'x-request-id',
    'x-request-timeout-ms',
}
"""Request headers that are not forwarded to the backend server."""


class TicketPath:
    """Issues tickets and forwards each call to the issuer of its ticket.

    Parameters
    ----------
    vm, data_centre, incarnation : str, str, int
        Name and data centre of this VM, and incarnation of this process.
    fleet : Fleet
        Provides the configuration and the membership view.
    links : PeerLinks
        Connections to other VMs and to this VM's own tasks.
    task : TicketTask
        Keeps the ticket records of this VM.
    signer : TicketSigner or None
        Verifies tickets; None if the settings name no key.
    """

    def __init__(
        self, *, vm, data_centre, incarnation, fleet, links, task, signer
    ):
        self._data_centre = data_centre
        self._fleet = fleet
        self._links = links
        self._signer = signer
        self._finder = _ticket_finder.TicketFinder(
            vm=vm,
            data_centre=data_centre,
            incarnation=incarnation,
            fleet=fleet,
            task=task,
        )

    async def serve(self, exchange):
        """Answer ``POST /tickets`` or ``GET /tickets/ID``."""
        self._check_keys()
        request = exchange.request
        text = request.path[len(PREFIX) :].strip('/')
        if request.method == 'POST' and not text:
            await self._issue(exchange)
        elif request.method == 'GET' and text:
            await self._show_ticket(exchange, text)
        else:
            raise _http.Refusal(
                status=405,
                kind='bad-request',
                remedy='use POST /tickets or GET /tickets/ID',
            )

    async def serve_call(self, exchange, service, route, path):
        """Serve a call whose route is not idempotent.

        Parameters
        ----------
        exchange : Exchange
            The caller's request.
        service : Service
            The plain service.
        route : Route
            The service's route that matches the call.
        path : str
            Path below the service's name, followed by the query string,
            both as the caller sent them.
        """
        self._check_keys()
        text = exchange.request.header(_http.TICKET_HEADER)
        if not text:
            await self._refuse_with_ticket(exchange, service.name, route)
        ticket = self._verify(text, exchange.caller)
        if len(exchange.request.body) > BODY_MAX_BYTES:
            raise _http.Refusal(
                status=413,
                kind='body-too-large',
                remedy=f'send at most {BODY_MAX_BYTES} bytes',
                run=_http.RUN_NOT_THIS_TIME,
            )
        call = self._make_call(exchange, service.name, route, path, text)
        outcome = await self._resolve(ticket, call)
        await _ticket_answers.answer_outcome(exchange.responder, outcome)

    def _check_keys(self):
        if self._signer is None:
            raise _http.Refusal(
                status=501,
                kind='no-ticket-keys',
                remedy='an operator has to set ticket_keys',
            )

    def _verify(self, text, caller):
        try:
            return self._signer.verify(text, caller)
        except core.InvalidTicketError as error:
            raise _http.Refusal(
                status=403,
                kind='invalid-ticket',
                remedy=str(error),
                run=_http.RUN_NOT_THIS_TIME,
            ) from error

    async def _issue(self, exchange):
        service, route = self._parse_ticket_request(exchange.request)
        issued = await self._request_ticket(
            exchange.caller, service.name, route
        )
        if isinstance(issued, core.AttemptRejected):
            await _ticket_answers.answer_outcome(exchange.responder, issued)
        fields = {
            'ticket': issued.ticket,
            'ticket_id': issued.ticket_id,
            'remaining_ms': issued.remaining_ms,
            'check_path': _check_path_of(service.name, route),
        }
        header = (_http.TICKET_HEADER, issued.ticket)
        await exchange.responder.answer_json(201, fields, [header])

    def _parse_ticket_request(self, request):
        try:
            fields = json.loads(request.body)
            service = self._fleet.configuration.find_service(fields['service'])
            method = str(fields.get('method', 'POST'))
            path = str(fields.get('path', '/'))
        except (ValueError, KeyError, TypeError, AttributeError) as error:
            raise _http.Refusal(
                status=400,
                kind='bad-request',
                remedy='give {"service": str, "method": str, "path": str}',
            ) from error
        if service is None:
            raise _http.Refusal(
                status=404, kind='unknown-service', remedy='check the name'
            )
        return service, service.find_route(method, path)

    async def _refuse_with_ticket(self, exchange, serves, route):
        issued = await self._request_ticket(exchange.caller, serves, route)
        if isinstance(issued, core.TicketIssued):
            issued = core.AttemptRejected(
                kind='ticket-needed', ticket=issued.ticket
            )
        await _ticket_answers.answer_outcome(exchange.responder, issued)

    async def _request_ticket(self, caller, serves, route):
        request = core.TicketRequest(
            caller=caller,
            serves=serves,
            check_path=_check_path_of(serves, route),
        )
        result = await self._ask(
            self._finder.own, request, _choose_deadline_ms()
        )
        if result is None:
            return core.AttemptRejected(kind='full')
        return result

    async def _show_ticket(self, exchange, text):
        ticket = self._verify(text, exchange.caller)
        lookup = core.TicketLookup(
            ticket_id=ticket.ticket_id, caller=exchange.caller
        )
        result = await self._look_up(ticket, lookup)
        fields = {'ticket_id': ticket.ticket_id}
        fields.update(_ticket_answers.describe_ticket(result))
        await exchange.responder.answer_json(200, fields)

    async def _look_up(self, ticket, lookup):
        result = None
        for member in self._finder.find(ticket):
            result = await self._ask(member, lookup, _choose_deadline_ms())
            if result is not None and not _is_no_record(result):
                return result
        service = self._fleet.configuration.find_service(ticket.serves)
        routes = service.routes if service else ()
        checks = [r for r in routes if r.check_path and not r.repeatable]
        return core.OutcomeUnknown(
            kind='no-record' if result else 'issuer-unreachable',
            check_path=_check_path_of(ticket.serves, *checks[:1]),
            check_after_ms=core.max_check_after_ms(ticket),
        )

    def _make_call(self, exchange, serves, route, path, text):
        request = exchange.request
        now_ms = _clock.read_clock_ms()
        values = core.resolve(
            self._fleet.configuration,
            data_centre=self._data_centre,
            serves=serves,
            caller=exchange.caller,
        )
        return core.TicketCall(
            ticket=text,
            caller=exchange.caller,
            serves=serves,
            method=request.method,
            path=path,
            headers=tuple(
                (name, value)
                for name, value in request.headers
                if name not in UNFORWARDED_CALL_HEADERS
            ),
            body=request.body,
            check_path=_check_path_of(serves, route),
            refusal_kinds=route.refusal_kinds,
            deadline_ms=_completion_request.read_deadline_ms(
                request, values, now_ms
            ),
        )

    async def _resolve(self, ticket, call):
        """Return a call's outcome from the first VM that knows the ticket.

        Only the issuer ever runs the call; the other VMs only look up its
        record. If the issuer may have received the call but did not
        answer, the outcome must not claim that nothing ran.
        """
        maybe_reached_issuer = False
        issuer_gone = self._finder.issuer_seems_replaced(ticket)
        deadline_ms = call.deadline_ms + ANSWER_MARGIN_MS
        for member in self._finder.find(ticket):
            if issuer_gone and not await self._has_record(
                member, ticket, call.caller
            ):
                continue
            result, sent = await self._call_member(member, call, deadline_ms)
            own_answer = member is self._finder.own and result is not None
            if self._finder.may_be_issuer(member, ticket) and not own_answer:
                maybe_reached_issuer = maybe_reached_issuer or sent
                issuer_gone = issuer_gone or _is_no_record(result)
            if result is not None and not _is_no_record(result):
                return (
                    core.limit_forwarded_outcome(result)
                    if maybe_reached_issuer
                    else result
                )
        return core.OutcomeUnknown(
            kind='issuer-gone' if issuer_gone else 'issuer-unreachable',
            check_path=call.check_path,
            check_after_ms=core.max_check_after_ms(ticket),
            may_renew=not maybe_reached_issuer,
        )

    async def _has_record(self, member, ticket, caller):
        """Return whether a VM holds a ticket's record, without running a call.

        If the issuer is gone and no VM holds the record, the caller can
        then be told that this attempt ran nothing.
        """
        lookup = core.TicketLookup(ticket_id=ticket.ticket_id, caller=caller)
        result = await self._ask(member, lookup, _choose_deadline_ms())
        return result is not None and not _is_no_record(result)

    async def _call_member(self, member, message, deadline_ms):
        """Call a VM; return its result, or None, and a flag.

        The flag is True if the message may have reached the VM.
        """
        try:
            answer = await self._links.call(
                member, message, deadline_ms=deadline_ms
            )
        except _peers.PeerUnreachableError as error:
            return None, error.maybe_sent
        if isinstance(answer, core.TicketResult):
            return answer.to_result(), True
        return None, True

    async def _ask(self, member, message, deadline_ms):
        result, _ = await self._call_member(member, message, deadline_ms)
        return result


def _is_no_record(result):
    return isinstance(result, core.OutcomeUnknown) and result.kind in (
        'issuer-gone',
        'no-record',
    )


def _check_path_of(serves, route=None):
    if route is None or not route.check_path:
        return ''
    return f'/services/{serves}{route.check_path}'


def _choose_deadline_ms():
    return _clock.read_clock_ms() + TICKET_TIMEOUT_MS
