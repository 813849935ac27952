"""Serves requests to models: requests a placement, runs prefill and decode."""

import trio

from bluebellthread.core import routing
from bluebellthread.daemon import _clock
from bluebellthread.entry import _attempt_race
from bluebellthread.entry import _cut_runs
from bluebellthread.entry import _http_messages
from bluebellthread.entry import _stream_attempts
from bluebellthread.entry import _stream_context
from bluebellthread.entry import _stream_hop
from bluebellthread.entry import _stream_relay
from bluebellthread.entry import _work
from bluebellthread.observe import emit
from bluebellthread.observe import events


class StreamPath:
    """Serves the routes of kind `KIND_STREAM`.

    Parameters
    ----------
    context : StreamContext
        Objects that all streams of the process use.
    """

    def __init__(self, context):
        self._context = context
        self._ages = routing.CallerAges()
        self._ages_table = None

    async def serve(self, work):
        """Answer the request of one `Work`, at its deadline at the latest."""
        stream = _Stream(
            work=work,
            context=self._context,
            caller_age_ms=self._estimate_caller_age_ms(work),
        )
        with trio.move_on_after(_clock.read_remaining_s(work.deadline_ms)):
            await stream.run()
            return
        if not work.exchange.is_started:
            await work.answer_at_deadline()
        else:
            await work.exchange.abort()

    def _estimate_caller_age_ms(self, work):
        table = self._context.state.table
        if self._ages_table is not table:
            self._ages_table = table
            self._ages.keep_only({route.name for route in table.routes})
        if work.patience_ms is None:
            return 0
        return self._ages.estimate_ms(work.route.name, work.patience_ms)


class _Stream:
    """Has attempts made to answer one request, and ends it if they fail."""

    def __init__(self, *, work, context, caller_age_ms):
        self._work = work
        self._origins = context.origins
        self._budgets = context.budgets
        self._shut_outs = context.shut_outs
        self._paths = context.paths
        self._hand_on = context.hand_on
        self._dialect = context.dialect
        self._cut_runs = _cut_runs.CutRuns(
            work=work,
            server_watch=context.server_watch,
            shut_outs=context.shut_outs,
        )
        self._relay = _stream_relay.StreamRelay(work=work, context=context)
        self._hop = _stream_hop.StreamHop(
            work=work, context=context, relay=self._relay
        )
        self._attempts = _stream_attempts.StreamAttempts(
            work=work,
            context=context,
            relay=self._relay,
            hop=self._hop,
            cut_runs=self._cut_runs,
            caller_age_ms=caller_age_ms,
        )
        self._race = _attempt_race.AttemptRace(
            work=work,
            silences=context.silences,
            runs_once=not work.route.is_resumable,
            may_overlap=False,
            find_obstacle=self._find_obstacle,
            ends_with=self._ends_with,
            failures=(
                _stream_context.StreamBrokenError,
                _stream_context.NoPlacementError,
                _stream_context.PromptShutOutError,
            ),
        )

    async def run(self):
        work = self._work
        self._shut_outs.note_request(work.service, work.parts)
        if self._find_shut_out() is not None:
            await self._end_shut_out()
            return
        if (
            self._is_taken_up()
            and not self._paths.is_lost(work.service)
            and not await self._find_origin()
        ):
            return
        await self._run()

    def _is_taken_up(self):
        """Return whether the caller has events of the stream already."""
        request = self._work.request
        return bool(
            request.header(self._dialect.resume_after)
            or request.header(self._dialect.resumed_attempt)
        )

    async def _find_origin(self):
        """Find where the stream began; refuse the request if nobody knows."""
        work = self._work
        started_ms = _clock.read_clock_ms()
        resumes = work.request.header(self._dialect.resumed_attempt)
        services = tuple(share.service for share in work.route.shares)
        origin = await self._origins.find(resumes, services)
        took_ms = _clock.read_clock_ms() - started_ms
        if origin is None or origin.serves not in services:
            emit(
                events.STREAM_ORIGIN_UNKNOWN,
                request_id=work.request_id,
                resumes=resumes,
                service=origin.serves if origin is not None else '',
                took_ms=took_ms,
            )
            await work.refuse('unknown-origin', _work.UNSERVED_RETRY_MS)
            return False
        emit(
            events.STREAM_TAKEN_UP,
            request_id=work.request_id,
            resumes=resumes,
            version=origin.software_version,
            service=origin.serves,
            took_ms=took_ms,
        )
        work.service = origin.serves
        self._relay.begun_version = origin.software_version
        self._relay.begun_attempt = origin.attempt_id or work.request_id
        return True

    async def _run(self):
        work = self._work
        while True:
            if work.is_handed_on and self._paths.is_lost(work.service):
                await self._end_without_path()
                return
            try:
                await self._race.run(self._make_attempt)
                return
            except _stream_context.PromptShutOutError:
                await self._end_shut_out()
                return
            except _stream_context.NoPlacementError as error:
                await self._end_failed(error.kind, error.retry_after_ms)
                return
            except _stream_context.StreamBrokenError as error:
                if not error.is_path_lost and (
                    await self._ends_with(error)
                    or not self._spend_retry(error)
                ):
                    await self._end_failed()
                    return
                failed_server = '' if error.is_path_lost else error.server
            self._attempts.note_failed(failed_server)
            emit(
                events.STREAM_RETRIED,
                request_id=work.request_id,
                failed_server=failed_server,
                resume_after=self._relay.resume_after,
                runs=work.run_count,
            )

    async def _make_attempt(self, attempt):
        """Make one attempt, over another VM if this one has no path."""
        work = self._work
        if not self._paths.is_lost(work.service):
            await self._attempts.make(attempt)
            return
        await self._hop.pass_on(attempt)

    async def _end_without_path(self):
        """End a request of another VM that this one can't serve either."""
        work = self._work
        if work.exchange.is_started or work.may_have_run_here:
            await self._end_failed()
        else:
            await work.refuse_hand_on(_http_messages.NO_PATH)

    # Prompts that end engines

    def _find_shut_out(self):
        work = self._work
        return self._shut_outs.find(work.service, work.parts)

    async def _end_shut_out(self):
        """End a request whose prompt ends engines; refuse if it hasn't run."""
        work = self._work
        shut_out = self._find_shut_out()
        if work.exchange.is_started or work.may_have_run or not shut_out:
            await self._end_failed()
        else:
            await work.refuse_shut_out(shut_out)

    # Failures and silences

    async def _ends_with(self, error):
        """Return whether the request ends with the error of an attempt.

        One whose prompt may be what ends engines goes to no other engine.
        """
        return (
            isinstance(error, _stream_context.StreamBrokenError)
            and await self._cut_runs.may_have_ended_servers()
        )

    def _find_obstacle(self, attempt):
        """Return why no attempt may follow a silent one, or an empty text."""
        work = self._work
        if attempt.run.is_sent and not work.route.is_resumable:
            return _work.RUNS_ONCE
        if self._hand_on.is_served(attempt.waits_for):
            return _work.AT_OTHER_VM
        if not work.has_runs_left:
            return _work.NO_RUNS_LEFT
        if not self._relay.may_go_on:
            return _work.NO_EVENT_ID
        if not work.may_begin():
            return _work.STOPPING
        if self._find_shut_out() is not None:
            return _work.SHUT_OUT
        is_path_lost = self._paths.is_lost(work.service)
        if work.is_handed_on and is_path_lost:
            return _work.NO_PATH
        if not is_path_lost and not self._attempts.has_other_server():
            return _work.NO_OTHER_SERVER
        if not self._budgets.allows(work.service, work.repeat_count):
            return _work.NO_BUDGET
        return ''

    def _spend_retry(self, error):
        work = self._work
        obstacle = self._find_retry_obstacle()
        if not obstacle and not self._budgets.spend(
            work.service, error.retry_count
        ):
            obstacle = _work.NO_BUDGET
        if obstacle:
            work.log_not_retried(error.server, obstacle)
        return not obstacle

    def _find_retry_obstacle(self):
        """Return why no other run may follow, or an empty text."""
        work = self._work
        if not work.may_have_run:
            return ''
        if not work.route.is_resumable:
            return _work.RUNS_ONCE
        if not work.has_runs_left:
            return _work.NO_RUNS_LEFT
        if not self._relay.may_go_on:
            return _work.NO_EVENT_ID
        if not work.may_begin():
            return _work.STOPPING
        return ''

    async def _end_failed(
        self, kind='servers-failed', retry_after_ms=_work.UNSERVED_RETRY_MS
    ):
        work = self._work
        if work.exchange.is_started:
            await work.exchange.abort()
        elif work.may_have_run:
            await work.fail('answer-lost')
        else:
            await work.refuse(kind, retry_after_ms)
