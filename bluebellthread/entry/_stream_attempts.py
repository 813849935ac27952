"""Has pairs of engines answer a request to a model."""

import trio

from bluebellthread.core import routing
from bluebellthread.daemon import _clock
from bluebellthread.entry import _prefill_runner
from bluebellthread.entry import _server_calls
from bluebellthread.entry import _server_limits
from bluebellthread.entry import _stream_context
from bluebellthread.entry import _stream_placements
from bluebellthread.entry import _stream_relay
from bluebellthread.entry import _work
from bluebellthread.observe import emit
from bluebellthread.observe import events


class StreamAttempts:
    """Makes the attempts at one request that engines of this VM answer.

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
    """

    def __init__(self, *, work, context, relay, hop, cut_runs, caller_age_ms):
        self._work = work
        self._relay = relay
        self._hop = hop
        self._cut_runs = cut_runs
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
        self._requests = _stream_placements.StreamPlacements(
            work=work,
            context=context,
            relay=relay,
            caller_age_ms=caller_age_ms,
        )

    def note_failed(self, server):
        """Note a server that has failed the request, to avoid it."""
        self._requests.failed_servers.append(server)

    def has_other_server(self):
        """Return whether a decode server is known that is not silent."""
        begun_version = self._relay.begun_version
        silent_servers = self._silences.list_avoided()
        return any(
            server.role == 'decode'
            and server.name not in silent_servers
            and begun_version in ('', server.software_version)
            for server in self._state.directory.usable(self._work.service)
        )

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
            placement = await self._requests.request(attempt)
            try:
                await self._use(attempt, placement)
                return
            except _stream_context.GrantDisputedError as error:
                self._requests.note_disputed(placement, error)
            except _server_calls.ServerLimitedError as error:
                self._requests.note_limited(placement, error)

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
            # A server that is only silent has not failed.
            if attempt.run.is_ended and self._silences.is_unreached(
                attempt.last_server
            ):
                failed_server = attempt.last_server
            attempt.note_idle()
            self._placements.release(
                placement,
                failed_server=failed_server or placement.failed_prefill,
            )

    def _check_follower(self, attempt, placement):
        """Raise if an attempt would wait for a server that is silent already.

        Raises
        ------
        NoPlacementError
            If it would.
        """
        silent_servers = {other.waits_for for other in attempt.others}
        if (
            silent_servers
            & {
                placement.prefill_server,
                placement.decode_server,
            }
            or placement.decode_server in self._silences.list_avoided()
        ):
            raise _stream_context.NoPlacementError('servers-failed')

    def _pay(self, attempt):
        """Take what an attempt beside another one repeats from the budget.

        Raises
        ------
        NoPlacementError
            If the budget is spent.
        """
        work = self._work
        if not attempt.is_follower or attempt.is_paid:
            return
        if not self._budgets.spend(work.service, work.repeat_count):
            raise _stream_context.NoPlacementError('servers-failed')
        attempt.is_paid = True

    def _check_prompt(self):
        work = self._work
        if self._shut_outs.find(work.service, work.parts) is not None:
            raise _stream_context.PromptShutOutError

    async def _run(self, attempt, placement):
        # Tokens and a connection first save the prefill if the decode server
        # takes no request.
        admissions = await self._admit(placement)
        exchange = await self._connect(placement)
        try:
            attempt.begin()
            self._pay(attempt)
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
        prompt = await self._prefills.run(
            attempt,
            placement,
            server,
            self._relay.resume_headers(),
            admissions[server.name],
        )
        attempt.is_prefilled = True
        return prompt

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
            attempt.is_prefilled = False
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
        work = self._work
        return (
            error.was_refused
            and work.may_begin()
            and self._budgets.spend(work.service, 1)
        )

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
                    work,
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
