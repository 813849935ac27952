"""Makes one attempt to have engines answer a request to a model."""

import trio

from bluebellthread.core import routing
from bluebellthread.daemon import _clock
from bluebellthread.entry import _placement_client
from bluebellthread.entry import _prefill_runner
from bluebellthread.entry import _server_calls
from bluebellthread.entry import _server_limits
from bluebellthread.entry import _stream_context
from bluebellthread.entry import _stream_relay
from bluebellthread.entry import _work
from bluebellthread.observe import emit
from bluebellthread.observe import events

DEFAULT_TOKEN_COUNTS = (4000, 200)
"""Prompt and output tokens assumed for requests that do not state them: those
of a long request of the users."""

LIMITED_MAX = 4
"""Grants of servers whose limits leave no place before a request is given up.
Owners that know the limits grant no such server."""


class StreamAttempts:
    """Requests placements for one request and uses them.

    Parameters
    ----------
    work : Work
        The request.
    context : StreamContext
        Objects that all streams of the process use.
    relay : StreamRelay
        Passes the answers on.
    hop : StreamHop
        Tells whether this VM has a path to a server.
    cut_runs : CutRuns
        Collects the runs that break.
    caller_age_ms : int
        How long before the request its caller made the first attempt.

    Attributes
    ----------
    failed_servers : list of str
        Servers that have failed the request.
    """

    def __init__(self, *, work, context, relay, hop, cut_runs, caller_age_ms):
        self._work = work
        self._relay = relay
        self._hop = hop
        self._cut_runs = cut_runs
        self._caller_age_ms = caller_age_ms
        self._state = context.state
        self._caller = context.caller
        self._placements = context.placements
        self._budgets = context.budgets
        self._shut_outs = context.shut_outs
        self._watch = context.server_watch
        self._paths = context.paths
        self._silences = context.silences
        self._dialect = context.dialect
        self._prefills = _prefill_runner.PrefillRunner(
            work=work, context=context
        )
        self._limited_count = 0
        self._review = routing.GrantReview(context.state.settings.vm)
        self.failed_servers = []

    async def make(self, attempt):
        """Have engines answer the request, and pass the answer on.

        Raises
        ------
        NoPlacementError
            If no placement can be had that is of use.
        PromptShutOutError
            If the parts of the prompt are shut out.
        StreamBrokenError
            If the engines fail.
        OvertakenError
            If another attempt goes on.
        """
        while True:
            try:
                placement = await self._wait_for_placement(attempt)
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
            try:
                await self._use(attempt, placement)
                return
            except _stream_context.GrantDisputedError as error:
                if not self._may_ask_again(placement, error):
                    raise _stream_context.NoPlacementError(
                        'no-server'
                    ) from error
                if error.dispute.departure is None:
                    self.failed_servers.append(error.dispute.server)
            except _server_calls.ServerLimitedError as error:
                if not self._may_ask_again_after_limit(placement, error):
                    raise _stream_context.NoPlacementError(
                        'server-limit', error.retry_after_ms
                    ) from error

    async def _use(self, attempt, placement):
        """Use a placement, and release it in the end."""
        failed_server = ''
        try:
            if attempt.is_follower:
                self._check_follower(attempt, placement)
            await self._run(attempt, placement)
        except _stream_context.StreamBrokenError as error:
            error.is_path_lost = await self._hop.is_path_lost(error)
            if not error.is_path_lost:
                failed_server = error.server
            raise
        finally:
            if attempt.run.is_ended:
                failed_server = self._find_unreached(attempt.last_server)
            self._placements.release(
                placement,
                failed_server=failed_server or placement.failed_prefill,
            )

    def _find_unreached(self, name):
        """Return the name of a server that can't be reached, or empty.

        One that is only silent has not failed.
        """
        server = self._state.directory.find(name)
        unreached = server is not None and self._paths.list_unreached([server])
        return name if unreached else ''

    def _check_follower(self, attempt, placement):
        """Raise if an attempt can't do better than the silent ones.

        Else the retries that it takes are taken from the retry budget.
        """
        silent_servers = {other.waits_for for other in attempt.others}
        if silent_servers & {
            placement.prefill_server,
            placement.decode_server,
        }:
            raise _stream_context.NoPlacementError('servers-failed')
        work = self._work
        if not self._budgets.spend(work.service, count_repeated_calls(work)):
            raise _stream_context.NoPlacementError('servers-failed')

    # Placements

    def _check_prompt(self):
        work = self._work
        if self._shut_outs.find(work.service, work.parts) is not None:
            raise _stream_context.PromptShutOutError

    async def _wait_for_placement(self, attempt):
        """Return a placement, or raise once the prompt is shut out."""
        self._check_prompt()
        work = self._work
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
            *self._silences.list_silent(),
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

    async def _run(self, attempt, placement):
        # Tokens and a connection first save the prefill if the decode server
        # takes no request.
        admissions = await self._admit(placement)
        exchange = await self._connect(placement)
        try:
            prompt = await self._run_prefill(attempt, placement, admissions)
            await self._decode(
                attempt,
                placement,
                prompt,
                exchange,
                admissions[placement.decode_server],
            )
        finally:
            with trio.CancelScope(shield=True):
                await exchange.close_unused()

    async def _admit(self, placement):
        """Return the `Admission` to each server of a placement, by name."""
        admissions = {}
        for name, role in (
            (placement.prefill_server, 'prefill'),
            (placement.decode_server, 'decode'),
        ):
            if not name:
                continue
            server = self._find_server(name, role)
            self._caller.check_pause(server)
            if name in placement.token_servers:
                admissions[name] = _server_limits.Admission(
                    deadline_ms=placement.token_deadline_ms
                )
                continue
            admissions[name] = await self._caller.admit(server)
        return admissions

    async def _decode(self, attempt, placement, prompt, exchange, admission):
        """Have the decode server answer, and pass its answer on."""
        work = self._work
        try:
            server = self._find_decode_server(
                placement, prefill_count=int(prompt is not None)
            )
        except (
            _stream_context.GrantDisputedError,
            _stream_context.StreamBrokenError,
        ):
            if prompt is not None:
                self._prefills.release_cache(prompt)
            raise
        with self._watch.track(server, work.request_id, work.parts) as run:
            try:
                call = await self._open_answer_with_fallback(
                    attempt, placement, prompt, exchange, admission
                )
                answer = _stream_relay.RunAnswer(
                    server=server.name,
                    call=call,
                    software_version=server.software_version,
                    silence_s=self._relay.silence_s,
                )
                try:
                    await self._relay.pass_on(attempt, answer)
                finally:
                    await call.close()
            except _stream_context.StreamBrokenError as error:
                run.is_cut = error.is_cut
                if run.is_cut:
                    self._cut_runs.add(run)
                raise
            # An answer that ends with its connection may have been cut off
            # between two events by the end of its engine.
            run.is_cut = answer.ended_unmarked
            run.has_survived = not run.is_cut
        if run.has_survived and self._relay.has_events:
            self._shut_outs.note_survived(
                work.service, work.parts, server.software_version
            )

    async def _run_prefill(self, attempt, placement, admissions):
        """Run the prefill; return None if the decode server runs it."""
        if not placement.prefill_server:
            return None
        self._check_prompt()
        server = self._find_server(placement.prefill_server, 'prefill')
        return await self._prefills.run(
            attempt,
            placement,
            server,
            self._relay.resume_headers(),
            admissions[server.name],
        )

    async def _connect(self, placement):
        server = self._find_decode_server(placement)
        started_ms = _clock.read_clock_ms()
        try:
            return await self._caller.connect(
                server,
                self._work.request,
                is_retryable=self._work.route.is_retryable,
            )
        except _server_calls.CallFailedError as error:
            self._note_run_failed(
                server.name, error, started_ms, was_sent=False
            )
            raise _stream_context.StreamBrokenError(
                server.name, 0, is_unreached=error.is_unreached
            ) from error

    async def _open_answer_with_fallback(
        self, attempt, placement, prompt, exchange, admission
    ):
        """Return the decode server's open call.

        If the server refuses, the request may be sent to it once more,
        without a KV cache, so that the server runs the prefill itself.
        """
        call = None
        try:
            call = await self._open_answer(
                attempt, placement, prompt, exchange, admission
            )
        except _stream_context.StreamBrokenError as error:
            if prompt is None or not self._may_prefill_on_decode_server(error):
                raise
        finally:
            if call is None and prompt is not None:
                self._prefills.release_cache(prompt)
        if call is None:
            emit(
                events.KV_CACHE_NOT_FETCHED,
                request_id=self._work.request_id,
                prefill_server=placement.prefill_server,
                decode_server=placement.decode_server,
            )
            placement.failed_prefill = placement.prefill_server
            call = await self._open_answer(attempt, placement, None)
        return call

    def _may_prefill_on_decode_server(self, error):
        """Return whether the decode server may run the prefill itself.

        If so, one retry has been taken from the retry budget.

        The reservation on the server is still held, so a refusal mostly means
        that the prompt's KV cache could not be fetched.
        """
        return error.was_refused and self._budgets.spend(self._work.service, 1)

    # The answer

    async def _open_answer(
        self, attempt, placement, prompt, exchange=None, admission=None
    ):
        """Send the request to the decode server; return the open call."""
        self._check_prompt()
        work = self._work
        server = self._find_decode_server(
            placement, prefill_count=int(prompt is not None)
        )
        extra = self._relay.resume_headers()
        if prompt is not None:
            source = self._dialect.write_cache_source(
                prompt.server.host, prompt.server.port, prompt.handle
            )
            extra.append((self._dialect.cache_source, source))
        started_ms = _clock.read_clock_ms()
        attempt.send()
        try:
            with (
                work.sending(server.name),
                attempt.waiting(server.name, self._relay.silence_s),
            ):
                call = await self._caller.open(
                    server,
                    work.request,
                    deadline_ms=work.deadline_ms,
                    is_retryable=work.route.is_retryable,
                    extra=extra,
                    exchange=exchange,
                    admission=admission,
                )
        except _server_calls.CallFailedError as error:
            self._note_run_failed(server.name, error, started_ms)
            raise _stream_context.StreamBrokenError(
                server.name,
                2,
                was_refused=error.was_refused,
                is_cut=error.may_have_run,
            ) from error
        work.note_run()
        return call

    def _note_run_failed(self, server, error, started_ms):
        self._work.note_failed(
            server, _work.STAGE_RUN, error, started_ms=started_ms
        )

    def _note_run_failed(self, server, error, started_ms, *, was_sent=True):
        self._work.note_failed(
            server,
            _work.STAGE_RUN,
            error,
            started_ms=started_ms,
            was_sent=was_sent,
        )

    def _find_decode_server(self, placement, *, prefill_count=0):
        """Return the decode server, if the stream may go on at it.

        An owner of an older build, or with an older list of servers, may
        grant a server of another version. ``prefill_count`` prefills have to
        be repeated if the server can't be used.
        """
        server = self._find_server(
            placement.decode_server, 'decode', prefill_count
        )
        begun_version = self._relay.begun_version
        if begun_version and server.software_version != begun_version:
            emit(
                events.STREAM_VERSION_DIFFERS,
                request_id=self._work.request_id,
                server=server.name,
                version=server.software_version,
                begun_version=begun_version,
            )
            raise _stream_context.StreamBrokenError(server.name, 1)
        return server

    def _find_server(self, name, role, prefill_count=0):
        """Return a server that was granted, if this VM knows it as usable."""
        directory = self._state.directory
        dispute = routing.find_dispute(
            directory, name, role, _clock.read_clock_ms()
        )
        if dispute is not None:
            raise _stream_context.GrantDisputedError(dispute, prefill_count)
        return directory.find(name)


def count_repeated_calls(work):
    """Return how many calls an attempt beside another one repeats."""
    return 2 if work.run_count or work.in_flight_count else 1
