"""Requests placements for one request from the owner of its service."""

from bluebellthread.core import routing
from bluebellthread.daemon import _clock
from bluebellthread.entry import _placement_client
from bluebellthread.entry import _server_calls
from bluebellthread.entry import _stream_context
from bluebellthread.observe import emit
from bluebellthread.observe import events

DEFAULT_TOKEN_COUNTS = (4000, 200)
"""Prompt and output tokens assumed for requests that do not state them: those
of a long request of the users."""

LIMITED_MAX = 4
"""Grants of servers whose limits leave no place before a request is given up.
Owners that know the limits grant no such server."""


class StreamPlacements:
    """Requests the placements of one request, which may be granted in vain.

    Parameters
    ----------
    work : Work
        The request.
    context : StreamContext
        Objects that all streams of the process use.
    relay : StreamRelay
        Knows after which event, and at which version, the stream goes on.
    caller_age_ms : int
        How long before the request its caller made the first attempt.

    Attributes
    ----------
    failed_servers : list of str
        Servers that have failed the request.
    """

    def __init__(self, *, work, context, relay, caller_age_ms):
        self._work = work
        self._relay = relay
        self._caller_age_ms = caller_age_ms
        self._state = context.state
        self._caller = context.caller
        self._placements = context.placements
        self._budgets = context.budgets
        self._shut_outs = context.shut_outs
        self._paths = context.paths
        self._silences = context.silences
        self._dialect = context.dialect
        self._limited_count = 0
        self._review = routing.GrantReview(context.state.settings.vm)
        self.failed_servers = []

    async def request(self, attempt):
        """Return a `Placement` for an attempt.

        Raises
        ------
        NoPlacementError
            If none can be had.
        PromptShutOutError
            If the parts of the prompt are shut out.
        """
        while True:
            try:
                return await self._wait_for_placement(attempt)
            except _server_calls.ServerLimitedError as error:
                raise _stream_context.NoPlacementError(
                    'server-limit', error.retry_after_ms
                ) from error
            except _placement_client.PlacementRefusedError as error:
                self._log_refusal(error)
                if self._may_ask_others(error):
                    continue
                refusal = error.refusal
                raise _stream_context.NoPlacementError(
                    refusal.kind, refusal.retry_after_ms
                ) from error

    def note_disputed(self, placement, error):
        """Note a grant that can't be used by what this VM knows.

        Raises
        ------
        NoPlacementError
            If no other placement is to be asked for.
        """
        if not self._may_ask_again(placement, error):
            raise _stream_context.NoPlacementError('no-server') from error
        if error.dispute.departure is None:
            self.failed_servers.append(error.dispute.server)

    def note_limited(self, placement, error):
        """Note a grant of a server whose limit leaves no place.

        Raises
        ------
        NoPlacementError
            If no other placement is to be asked for.
        """
        if not self._may_ask_again_after_limit(placement, error):
            raise _stream_context.NoPlacementError(
                'server-limit', error.retry_after_ms
            ) from error

    async def _wait_for_placement(self, attempt):
        """Return a placement, or raise once the prompt is shut out."""
        work = self._work
        if self._shut_outs.find(work.service, work.parts) is not None:
            raise _stream_context.PromptShutOutError
        with self._shut_outs.waiting(work.service, work.parts):
            return await self._request_placement(attempt)
        raise _stream_context.PromptShutOutError

    async def _request_placement(self, attempt):
        work = self._work
        counts = self._dialect.read_token_counts(
            work.request.header(self._dialect.token_counts)
        )
        prompt_tokens, output_tokens = counts or DEFAULT_TOKEN_COUNTS
        settings = self._state.settings
        placement_ask = routing.PlacementAsk(
            ask_id='',
            vm=settings.vm,
            vm_incarnation=self._placements.incarnation,
            data_centre=settings.data_centre,
            serves=work.service,
            prompt_tokens=prompt_tokens,
            output_tokens=output_tokens,
            target_deadline_ms=work.request.received_ms
            - self._caller_age_ms
            + work.route.target_ms,
            start_deadline_ms=self._compute_start_deadline_ms(),
            deadline_ms=work.deadline_ms,
            poll_deadline_ms=0,
            software_version=self._relay.begun_version,
            priority=work.priority,
            customer=work.customer.name if work.customer else '',
            expected_tokens=min(
                output_tokens,
                self._dialect.read_length_hint(
                    work.request.header(self._dialect.length_hint)
                ),
            ),
            is_contended=self._state.is_contended(work.service),
        )
        placement = await self._placements.request_placement(
            placement_ask,
            avoid=self._list_avoided(attempt),
            departures=self._review.departures,
            passed_over=frozenset(self._review.passed_over),
        )
        work.waited_ms += placement.waited_ms
        emit(
            events.PLACEMENT_GRANTED,
            request_id=work.request_id,
            owner=placement.owner,
            prefill_server=placement.prefill_server,
            decode_server=placement.decode_server,
            prompt_tokens=prompt_tokens,
            output_tokens=output_tokens,
            caller_age_ms=self._caller_age_ms,
            waited_ms=placement.waited_ms,
            prefill_version=self._find_version(placement.prefill_server),
            decode_version=self._find_version(placement.decode_server),
            resumes=work.request.header(self._dialect.resumed_attempt),
            resume_after=self._relay.resume_after
            or work.request.header(self._dialect.resume_after),
        )
        return placement

    def _list_avoided(self, attempt):
        """Return the engines that the owner is asked to avoid."""
        engines = self._state.directory.usable(self._work.service)
        return (
            *self.failed_servers,
            *(other.waits_for for other in attempt.others),
            *self._silences.list_avoided(),
            *self._find_paused(),
            *self._paths.list_unreached(engines),
        )

    def _find_paused(self):
        """Return the engines that want no request for some time.

        Raises
        ------
        ServerLimitedError
            If no decode server is left.
        """
        begun_version = self._relay.begun_version
        engines = self._state.directory.usable(self._work.service)
        pauses_ms = self._caller.find_pauses_ms(engines)
        open_count = sum(
            server.role == 'decode'
            and server.name not in pauses_ms
            and begun_version in ('', server.software_version)
            for server in engines
        )
        if pauses_ms and not open_count:
            name = min(pauses_ms, key=pauses_ms.get)
            raise _server_calls.ServerLimitedError(
                name, retry_after_ms=pauses_ms[name]
            )
        return tuple(pauses_ms)

    def _find_version(self, name):
        server = self._state.directory.find(name)
        return server.software_version if server is not None else ''

    def _log_refusal(self, error):
        emit(
            events.PLACEMENT_REFUSED,
            request_id=self._work.request_id,
            owner=error.owner,
            kind=error.refusal.kind,
            age_ms=self._work.age_ms,
            caller_age_ms=self._caller_age_ms,
            waiting=error.refusal.waiting_count,
            places=error.refusal.place_count,
            retry_after_ms=error.refusal.retry_after_ms,
        )

    def _may_ask_others(self, error):
        """Return whether to ask another owner after a refusal."""
        work = self._work
        kind = error.refusal.kind
        if not self._review.may_ask_others(
            error.owner,
            kind,
            self._state.engines_of(work.service),
            self._relay.begun_version,
        ):
            return False
        emit(
            events.OWNER_PASSED_OVER,
            request_id=work.request_id,
            owner=error.owner,
            kind=kind,
            service=work.service,
        )
        return True

    def _compute_start_deadline_ms(self):
        """Return when the caller disconnects if it has received no event."""
        work = self._work
        patience_ms = work.route.patience_ms
        if not patience_ms:
            return work.deadline_ms
        started_ms = (
            _clock.read_clock_ms()
            if work.exchange.is_started
            else work.request.received_ms
        )
        return min(work.deadline_ms, started_ms + patience_ms)

    # Owners that know less than this VM

    def _may_ask_again(self, placement, error):
        """Return whether to ask again after a grant that can't be used."""
        dispute = error.dispute
        emit(
            events.GRANT_DISPUTED,
            request_id=self._work.request_id,
            owner=placement.owner,
            server=dispute.server,
            kind=dispute.kind,
        )
        return self._review.may_ask_again(placement.owner, dispute) and (
            not error.retry_count
            or self._budgets.spend(self._work.service, error.retry_count)
        )

    def _may_ask_again_after_limit(self, placement, error):
        """Return whether to ask again after a server's limit was met."""
        emit(
            events.GRANT_OVER_LIMIT,
            request_id=self._work.request_id,
            owner=placement.owner,
            server=error.server,
        )
        self.failed_servers.append(error.server)
        self._limited_count += 1
        return self._limited_count < LIMITED_MAX
