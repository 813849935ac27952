"""Checks the router's guarantees against the records of a soak test."""

import collections
import itertools
import math

from standin import site as site_standins
from tests.soak import _callers
from tests.soak import _crowds
from tests.soak import _site

STARTED_EVENT = 7001
SURVIVED_EVENT = 7055
STOP_DECISION_EVENT = 7077
STREAM_KINDS = ('ask', 'once')
AT_MOST_ONCE_KINDS = ('order', 'once')
MIN_SERVED_SHARE = 0.9
"""Minimum share of requests that are served after the last fault.

The users' own limit is three quarters lower.
"""

DEADLY_ENDS = 5
"""Ends of servers by one part of prompts after which the users' rule BUDGET
counts requests with it."""

DEADLY_REQUEST_ENDS = 3
"""The same for a request as a whole: "later than contactMs after it has
crashed the third"."""

DEADLY_MAX = 3
"""The users' rule BUDGET: "more than three requests with a part that crashes
workers reach workers, sent by machines in touch later than contactMs after the
fifth crash"."""

LOST_MAX = 3
"""The users' rule LOST: a machine in touch passes a request from a kept
connection on to a sound server and closes that connection without an answer,
"more than three times". Around planned work the rule has no such number.
"""

LOSS_SLACK_S = 0.2
"""The users' rule LOST: a request that no server had may end unanswered within
``lossSlackMs`` of its last byte, since it may cross the close."""

EXIT_S = 0.5
"""Time before the end of a process in which its port may be closed: the part
of the grace period that is left for it once its requests are answered
(`EXIT_MARGIN_MS`), as the interpreter needs time to end after its sockets."""

SILENCE_MAX_S = 2.0
"""Longest silence of a sound server: a second or so, up to two."""

BEYOND_ATTEMPTS_MAX = 3
"""The users' rule BUDGET: "more than three requests of clients run, in one
client attempt, on more workers than their route's maxAttempts; workers that
ended or were cut off meanwhile don't count"."""

WORK_OVERLAP_S = 0.4
"""The users' rule TWICE: "a request goes on at another worker while the worker
before still works on it 400 ms later"."""


def check(site, callers, quiet_since_s):
    """Return one line for each broken guarantee.

    Parameters
    ----------
    site : SoakSite
        Processes and stand-ins, which count the runs of requests.
    callers : Callers
        Callers with the records of their requests.
    quiet_since_s : float
        Time from which requests have to be served, after all faults.
    """
    runs = site.count_runs()
    broken = []
    for record in callers.records:
        broken += check_request(record, runs.get(record.request_id, 0))
    for vm in site.vms:
        broken += [
            f'{name} ended unexpectedly, exit code {code}: {last_line}'
            for name, code, last_line in vm.exits
        ]
    broken += [
        f'version {version} is missing at {vm}, {len(problems)} probes: '
        f'{problems[0]}; {problems[-1]}'
        for (vm, version), problems in callers.version_errors.items()
    ]
    broken += check_lost(site, callers)
    broken += check_stops(site, callers)
    broken += check_doors(site)
    broken += check_silences(site, callers)
    broken += check_attempts(site, callers)
    broken += check_work_overlaps(site, callers)
    broken += check_versions(site, callers)
    broken += check_leaving(site, callers)
    broken += check_limits(site, callers)
    broken += check_pauses(site, callers)
    broken += check_cut_paths(site, callers)
    broken += check_deadly_prompts(site, callers)
    broken += check_news(site)
    broken += _crowds.check_memory(site)
    broken += check_recovery(callers, quiet_since_s)
    return broken


def check_news(site):
    """Check that no VM takes the same news for new twice.

    A part that survives again is told again after minutes, later than any
    soak ends.
    """
    broken = []
    for vm in site.vms:
        counts = collections.Counter()
        for event in vm.read_events():
            if event['event'] == STARTED_EVENT:
                counts.clear()
            elif event['event'] == SURVIVED_EVENT:
                key = (event['service'], event['part'], event['version'])
                counts[key] += 1
                if counts[key] == 2:
                    broken.append(f'{vm.name} was told twice of {key}')
    return broken


def check_lost(site, callers):
    """Check that requests that were passed on are answered.

    Around a planned stop or reload of a VM without other faults, each must
    get its whole answer. At other times, no more than `LOST_MAX` of those on
    kept connections may end without one.
    """
    vms = {vm.name: vm for vm in site.vms}
    passed_on = site.list_passed_on()
    broken, others = [], []
    for record in callers.records:
        if record.whole or _is_excused(record, passed_on[record.request_id]):
            continue
        vm = vms[record.vm]
        since_s = record.begun_s - _site.QUIET_S
        has_store_fault = vm.store_faults.touches(
            since_s, record.ended_s
        ) or site.store_faults.touches(since_s, record.ended_s)
        line = (
            f'{record.kind} {record.request_id} at {record.vm}, sent at '
            f'{record.begun_s - site.begun_s:.2f} s, was passed on but not '
            f'answered, status {record.status}, after '
            f'{record.ended_s - record.begun_s:.2f} s, '
            f'{"kept" if record.is_kept else "new"} connection'
        )
        if _is_around_planned_work(vm, record):
            is_excused = has_store_fault and record.kind in STREAM_KINDS
            # The rule counts planned work without an unplanned impairment.
            has_fault = vm.failures.touches(
                since_s, record.ended_s
            ) or vm.path_cuts.touches(since_s, record.ended_s)
            if not is_excused and not has_fault:
                broken.append(f'{line}, around a planned stop or reload')
        elif record.is_kept and record.status is None:
            in_touch = vm.was_in_touch(since_s, record.ended_s)
            if in_touch and not site.store_faults.touches(
                since_s, record.ended_s
            ):
                others.append(line)
    return broken + (others if len(others) > LOST_MAX else [])


def _is_excused(record, backends):
    """Return whether no server had the request, or its server was disturbed.

    A request that reached its time limit is excused too.
    """
    since_s = record.begun_s - _site.QUIET_S
    return (
        not backends
        or record.ended_s - record.begun_s >= record.deadline_ms / 1000
        or any(
            backend.faults.touches(since_s, record.ended_s)
            for backend in backends
        )
    )


def check_stops(site, callers):
    """Check that what is sent whole around a planned stop is settled.

    It must end in a server's whole answer or in a refusal, whether a server
    had it or not; a refusal must not have run. The exceptions are those of
    the rule LOST.
    """
    vms = {vm.name: vm for vm in site.vms}
    passed_on = site.list_passed_on()
    runs = site.count_runs()
    broken = []
    for record in callers.records:
        vm = vms[record.vm]
        stop_s = _find_stop(vm, record)
        if record.read_s is None or stop_s is None:
            continue
        backends = passed_on[record.request_id]
        problem = _find_stop_problem(
            record, stop_s, backends, runs.get(record.request_id, 0)
        )
        if problem and not _is_impaired(site, vm, record, backends):
            broken.append(
                f'{record.kind} {record.request_id} at {vm.name} '
                f'({record.manner}), whole '
                f'{record.read_s - stop_s:.2f} s after SIGTERM at '
                f'{stop_s - site.begun_s:.2f} s, {problem}, status '
                f'{record.status}, {record.ended_s - stop_s:.2f} s after it; '
                f'{_read_decisions(vm, record)}'
            )
    return broken


def _find_stop(vm, record):
    """Return the SIGTERM around which a request ended; None for none."""
    for run in vm.runs:
        if (
            run.term_s is not None
            and record.begun_s <= run.ended_s
            and run.term_s <= record.ended_s
            and record.ended_s <= run.term_s + _site.STOP_GRACE_S + 1
        ):
            return run.term_s
    return None


def _find_stop_problem(record, stop_s, backends, run_count):
    if _is_settled(record):
        is_refused = not record.server_seal
        return 'was refused but has run' if is_refused and run_count else ''
    began_s = max(record.begun_s, record.turn_s)
    last_sixth_s = stop_s + _site.STOP_GRACE_S * 5 / 6
    if record.ended_s - began_s >= record.deadline_ms / 1000:
        return ''
    if not backends and (
        record.is_behind_end or record.ended_s - record.read_s <= LOSS_SLACK_S
    ):
        return ''
    if (
        backends
        and record.read_s <= stop_s + 3
        and record.ended_s >= last_sixth_s
    ):
        return ''
    state = 'passed on' if backends else 'not passed on'
    return f'was {state} and got no whole answer'


def _is_impaired(site, vm, record, backends):
    """Return whether something unplanned disturbed a request.

    An answer of the router's own is excused by any disturbed server that it
    could have been sent to.
    """
    span_s = (record.begun_s - _site.QUIET_S, record.ended_s)
    if vm.failures.touches(*span_s) or vm.path_cuts.touches(*span_s):
        return True
    has_store_fault = vm.store_faults.touches(
        *span_s
    ) or site.store_faults.touches(*span_s)
    if has_store_fault and record.kind in STREAM_KINDS:
        return True
    service = 'model' if record.kind in STREAM_KINDS else 'plain'
    could_serve = [
        item for item in site.backends.values() if item.service == service
    ]
    return any(
        _was_disturbed(backend, *span_s)
        for backend in (could_serve if record.whole else backends)
    )


def _read_decisions(vm, record):
    """Return what the VM logged on a request in its stop."""
    messages = [
        event['message']
        for event in vm.read_events()
        if event['event'] == STOP_DECISION_EVENT
        and event['request_id'] == record.request_id
    ]
    return '; '.join(messages) or f'no E{STOP_DECISION_EVENT}'


def check_doors(site):
    """Check that ports accept connections as long as processes run.

    That is from the first connection that a process has accepted until
    `EXIT_S` before its end.
    """
    broken = []
    for vm in site.vms:
        for run in vm.runs:
            refused_s = [
                time_s
                for time_s in run.refused_s
                if time_s < run.ended_s - EXIT_S
            ]
            if refused_s:
                after = (
                    f'from {refused_s[0] - run.term_s:.2f} s after SIGTERM'
                    if run.term_s is not None
                    else 'without SIGTERM'
                )
                broken.append(
                    f'{vm.name} refused {len(refused_s)} connections while '
                    f'its process ran, {after}, from '
                    f'{run.ended_s - refused_s[0]:.2f} s before its end'
                )
    return broken


def check_silences(site, callers):
    """Check that the silence of sound servers costs no request.

    A request whose only trouble was such a silence must end in the whole
    answer of a server or in a refusal, before its deadline. At the deadline
    it may fail only if the silences and the work at its servers, and the time
    within which an answer is on time, took as long. Others than those with an
    answer that is cut or missing are excused by the faults of all servers
    that they could have been sent to.
    """
    vms = {vm.name: vm for vm in site.vms}
    passed_on = site.list_passed_on()
    broken = []
    for record in callers.records:
        backends = passed_on[record.request_id]
        if _is_settled(record) or not _were_only_silent(
            site, vms[record.vm], record, backends
        ):
            continue
        silent_s = _total_s(
            part
            for backend in backends
            for part in backend.silences.clip(record.begun_s, record.ended_s)
        )
        took_s = record.ended_s - record.begun_s
        work_s = max(backend.work_s for backend in backends)
        due_s = silent_s + work_s + _site.TARGET_LATENCY_MS / 1000
        deadline_s = record.deadline_ms / 1000
        if silent_s and (took_s < deadline_s or due_s < deadline_s):
            names = sorted({item.server.name for item in backends})
            broken.append(
                f'{record.kind} {record.request_id} at {record.vm}, sent at '
                f'{record.begun_s - site.begun_s:.2f} s, ended after '
                f'{took_s:.2f} s, status {record.status}, '
                f'{"whole" if record.whole else "cut"}, '
                f'{record.event_count} events, though its servers '
                f'({", ".join(names)}) were only silent, for {silent_s:.2f} s'
            )
    return broken


def _is_settled(record):
    """Return whether a request ended in a server's answer or a refusal."""
    return record.whole and (
        bool(record.server_seal) or record.status in _callers.NOT_RUN_STATUSES
    )


def _were_only_silent(site, vm, record, backends):
    """Return whether nothing but silences disturbed a request in its life."""
    since_s = record.begun_s - _site.QUIET_S
    if (
        not backends
        or vm.was_away(since_s, record.ended_s)
        or vm.path_cuts.touches(since_s, record.ended_s)
    ):
        return False
    has_store_fault = vm.store_faults.touches(
        since_s, record.ended_s
    ) or site.store_faults.touches(since_s, record.ended_s)
    if has_store_fault and record.kind in STREAM_KINDS:
        return False
    if any(
        _was_disturbed(backend, since_s, record.ended_s)
        for backend in backends
    ):
        return False
    return not record.whole or not any(
        _was_disturbed(backend, record.begun_s, record.ended_s)
        for backend in site.backends.values()
        if backend.service == backends[0].service
    )


def _was_disturbed(backend, begin_s, end_s):
    """Return whether a server was more than silent for a while."""
    return (
        backend.faults.touches(begin_s, end_s)
        or backend.silences.longest_s(begin_s, end_s) > SILENCE_MAX_S
        or (backend.drained_s is not None and backend.drained_s <= end_s)
    )


def _total_s(parts):
    """Return how long at least one of several spans of time lasted."""
    total_s = 0.0
    last_s = -math.inf
    for begin_s, end_s in sorted(parts):
        total_s += max(0.0, end_s - max(begin_s, last_s))
        last_s = max(last_s, end_s)
    return total_s


def check_attempts(site, callers):
    """Check that requests run on as many servers as their routes allow.

    Servers with a fault meanwhile don't count. `check_request` has the
    requests that may run once.
    """
    records = {record.request_id: record for record in callers.records}
    names = collections.defaultdict(set)
    for backend in site.backends.values():
        for request in backend.server.runs:
            record = records.get(
                request.headers.get('x-request-attempt-id', '')
            )
            if record is not None and not backend.faults.touches(
                record.begun_s - _site.QUIET_S, record.ended_s
            ):
                names[record.request_id].add(backend.server.name)
    beyond = [
        f'{records[request_id].kind} {request_id} ran on '
        f'{", ".join(sorted(found))}'
        for request_id, found in names.items()
        if records[request_id].kind not in AT_MOST_ONCE_KINDS
        and len(found) > site.max_attempts
    ]
    return beyond if len(beyond) > BEYOND_ATTEMPTS_MAX else []


def check_work_overlaps(site, callers):
    """Check that no two engines work on a stream for long.

    This holds at VMs in touch that reach their servers, for engines without a
    fault.
    """
    records = {record.request_id: record for record in callers.records}
    vms = {vm.name: vm for vm in site.vms}
    runs = collections.defaultdict(list)
    for backend in site.backends.values():
        for request in backend.server.runs:
            request_id = request.headers.get('x-request-attempt-id', '')
            if backend.service == 'model' and request_id in records:
                runs[request_id].append((request.begun_s, backend, request))
    broken = []
    for request_id, found in runs.items():
        found.sort(key=lambda item: item[0])
        record = records[request_id]
        since_s = record.begun_s - _site.QUIET_S
        vm = vms[record.vm]
        for (_, first, before), (_, second, after) in itertools.pairwise(
            found
        ):
            end_s = min(_end_of(before), _end_of(after))
            overlap_s = end_s - after.begun_s
            is_excused = (
                not vm.was_in_touch(since_s, end_s)
                or site.store_faults.touches(since_s, end_s)
                or vm.path_cuts.touches(since_s, end_s)
                or first.faults.touches(since_s, end_s)
                or second.faults.touches(since_s, end_s)
            )
            if overlap_s > WORK_OVERLAP_S and not is_excused:
                broken.append(
                    f'{record.kind} {request_id} at {record.vm} was worked '
                    f'on at {first.server.name} for {overlap_s:.2f} s beside '
                    f'{second.server.name}'
                )
    return broken


def _end_of(request):
    return math.inf if request.ended_s is None else request.ended_s


def _is_around_planned_work(vm, record):
    """Return whether the rule LOST counts a request as beside planned work.

    That is until 1 s after the grace period of a SIGTERM, and for requests
    that were sent within the time of a new configuration after a SIGHUP. A
    server may still be at work in the last sixth of the grace period on a
    request that was sent up to 3 s after the SIGTERM.
    """
    grace_s = _site.STOP_GRACE_S
    if any(
        record.begun_s <= time_s + 3
        and record.ended_s >= time_s + grace_s * 5 / 6
        for time_s in vm.term_times_s
    ):
        return False
    if any(
        record.begun_s <= time_s + grace_s + 1 and record.ended_s >= time_s
        for time_s in vm.term_times_s
    ):
        return True
    return any(
        record.begun_s <= time_s + _site.CONFIG_BOUND_S
        and record.ended_s >= time_s
        for time_s in vm.reload_times_s
    )


def check_request(record, run_count):
    """Return the guarantees that one request breaks.

    An at-most-once call must not run twice, and must not have run if its
    answer says so. No request may be answered 404, as all routes exist.
    """
    broken = []
    label = f'{record.kind} {record.request_id} at {record.vm}'
    if record.kind in AT_MOST_ONCE_KINDS and run_count > 1:
        broken.append(f'{label} ran {run_count} times')
    if (
        record.kind in AT_MOST_ONCE_KINDS
        and record.status in _callers.NOT_RUN_STATUSES
        and run_count
    ):
        broken.append(
            f'{label} was answered {record.status} (not run) but has run'
        )
    if record.status is not None and 200 <= record.status < 300:
        broken += check_success(label, record)
    if record.answered_id not in ('', record.request_id):
        broken.append(f'{label} got the answer to {record.answered_id}')
    if record.brings_more:
        broken.append(f'{label} was answered with a close and more bytes')
    if record.status == 404:
        broken.append(f'{label} was answered 404 although its route exists')
    return broken


def check_success(label, record):
    """Return the guarantees that a successful answer breaks.

    The answer must come from a backend server. Its body must be the expected
    one or, if the answer was cut off, the beginning of the expected one.
    """
    if not record.server_seal:
        return [f'{label} lacks the seal of a backend server']
    if record.kind in STREAM_KINDS:
        expected = _callers.expected_stream(record.events_before)
        if record.whole and record.body != expected:
            return [f'{label} is complete but wrong: {record.body[-40:]!r}']
        if not expected.startswith(record.body):
            return [f'{label} is cut off and wrong: {record.body[-40:]!r}']
        return []
    if record.whole and not record.body.endswith(record.request_id.encode()):
        return [f'{label} has a wrong answer: {record.body!r}']
    return []


def check_versions(site, callers):
    """Check that each stream holds events of one software version only.

    That covers all attempts of a caller. The run that began a stream is the
    last one that was not asked to go on after an event.
    """
    streams = collections.defaultdict(set)
    for record in callers.records:
        if record.kind == 'ask' and record.event_count:
            first_id = record.resumes or record.request_id
            streams[first_id].add(record.request_id)
    runs = site.list_engine_runs()
    broken = []
    for first_id, request_ids in streams.items():
        stream_runs = [run for name in request_ids for run in runs[name]]
        begun = [run for run in stream_runs if not run.after_event]
        versions = {run.version for run in stream_runs if run.after_event}
        if begun:
            versions.add(max(begun, key=lambda run: run.received_s).version)
        if len(versions) > 1:
            broken.append(
                f'the stream of {first_id} went on at versions '
                f'{", ".join(sorted(versions))}'
            )
    return broken


def check_leaving(site, callers):
    """Check that no request reaches a server that has left for a while.

    This holds for each VM that ran all the while, though the store turned it
    away, as long as the store served another such VM.
    """
    records = {record.request_id: record for record in callers.records}
    vms = {vm.name: vm for vm in site.vms}
    broken = []
    for backend in site.backends.values():
        if backend.drained_s is None:
            continue
        due_s = backend.drained_s + _site.DRAIN_BOUND_S
        for request in backend.server.arrivals:
            record = records.get(
                request.headers.get('x-request-attempt-id', '')
            )
            if record is None or request.received_s <= due_s:
                continue
            span_s = (
                backend.drained_s - _site.QUIET_S,
                request.received_s,
            )
            if _could_hear(site, vms[record.vm], span_s):
                broken.append(
                    f'{record.kind} {record.request_id} at {record.vm} '
                    f'reached {backend.server.name} '
                    f'{request.received_s - backend.drained_s:.2f} s after '
                    'it had said that it leaves'
                )
    return broken


def check_limits(site, callers):
    """Check that servers get no more than the limits that they name.

    Requests count if their VM had passed on an answer of the server within the
    time of the limit, and was not away since.
    """
    broken = []
    records = {record.request_id: record for record in callers.records}
    vms = {vm.name: vm for vm in site.vms}
    for backend in site.backends.values():
        for span in backend.limits:
            times_s = _list_told_arrivals(backend, span, records, vms)
            allowed = 1.5 * span.rate_per_s * _site.LIMIT_WINDOW_S + 5
            # Windows that end once the limit must be in force.
            most = max(
                (
                    sum(
                        end_s - _site.LIMIT_WINDOW_S < time_s <= end_s
                        for time_s in times_s
                    )
                    for end_s in times_s
                    if end_s >= span.begun_s + _site.QUIET_S
                ),
                default=0,
            )
            if most > allowed:
                broken.append(
                    f'{backend.server.name} named a limit of '
                    f'{span.rate_per_s} a second and got {most} requests in '
                    f'{_site.LIMIT_WINDOW_S} s, {allowed} allowed'
                )
    return broken


PAUSE_SLACK_S = 0.5
PAUSE_MAX = 2
"""The users' rule BUDGET: more than two requests reach a worker from a machine
between half a second after it has answered that machine 503 with
``Retry-After`` and the end of that time."""


def check_pauses(site, callers):
    """Check that VMs spare servers that have named a time for the next try.

    The VM that a request was sent to is taken for the one that sends it on,
    unless paths of VMs were cut.
    """
    broken = []
    records = {record.request_id: record for record in callers.records}
    vms = {vm.name: vm for vm in site.vms}
    for backend in site.backends.values():
        for span in backend.pauses:
            times_s = collections.defaultdict(list)
            for request in backend.server.arrivals:
                record = records.get(
                    request.headers.get('x-request-attempt-id', '')
                )
                if (
                    record is not None
                    and span.begun_s <= request.received_s <= span.ended_s
                ):
                    times_s[record.vm].append(request.received_s)
            for vm, arrivals_s in times_s.items():
                late = [
                    time_s
                    for time_s in arrivals_s
                    if arrivals_s[0] + PAUSE_SLACK_S
                    < time_s
                    < arrivals_s[0] + span.pause_s
                ]
                end_s = arrivals_s[0] + span.pause_s
                is_excused = vms[vm].was_away(arrivals_s[0], end_s) or any(
                    item.path_cuts.touches(span.begun_s - _site.QUIET_S, end_s)
                    for item in site.vms
                )
                if len(late) > PAUSE_MAX and not is_excused:
                    broken.append(
                        f'{backend.server.name} wanted nothing of {vm} for '
                        f'{span.pause_s} s and got {len(late)} requests'
                    )
    return broken


CUT_SERVED_SHARE = 2 / 3
CUT_FAILED_MIN = 10
CUT_FAILED_SHARE = 1 / 50
"""The users' rule RECOVER: requests at machines without a path to any worker
are served less than two thirds as often as those at the others, and more than
10 + 1 in 50 of them fail."""


def check_cut_paths(site, callers):
    """Check that VMs without a path to servers serve like the others.

    Counted is what is sent while some VM has been cut off for as long as VMs
    take to be in touch, at VMs that nothing else disturbs. Callers that look
    for VMs that are being stopped tell nothing of paths.
    """
    served = collections.Counter()
    sent = collections.Counter()
    for record in callers.records:
        span_s = (record.begun_s - _site.QUIET_S, record.ended_s)
        vm = next(item for item in site.vms if item.name == record.vm)
        is_steered = record.manner != 'whole'
        if vm.was_away(*span_s) or record.resumes or is_steered:
            continue
        cut = [
            item.path_cuts.covers(*span_s)
            for item in site.vms
            if item.path_cuts.touches(*span_s)
        ]
        if not any(cut):
            continue
        is_cut = vm.path_cuts.covers(*span_s)
        if not is_cut and vm.path_cuts.touches(*span_s):
            continue
        sent[is_cut] += 1
        served[is_cut] += record.whole and record.status == 200
    failed = sent[True] - served[True]
    if (
        not sent[False]
        or failed <= CUT_FAILED_MIN + CUT_FAILED_SHARE * sent[True]
        or served[True] / sent[True]
        >= CUT_SERVED_SHARE * served[False] / sent[False]
    ):
        return []
    return [
        f'VMs without a path to servers served {served[True]} of '
        f'{sent[True]} requests, the others {served[False]} of {sent[False]}'
    ]


def _list_told_arrivals(backend, span, records, vms):
    told_s = {}
    times_s = []
    for request in backend.server.arrivals:
        time_s = request.received_s
        record = records.get(request.headers.get('x-request-attempt-id', ''))
        if record is None or not span.begun_s <= time_s <= span.ended_s:
            continue
        if record.status is not None:
            told_s.setdefault(record.vm, record.ended_s + _site.TOLD_S)
        away_from_s = time_s - _site.QUIET_S
        if time_s >= told_s.get(record.vm, math.inf) and not vms[
            record.vm
        ].was_away(away_from_s, time_s):
            times_s.append(time_s)
    return times_s


def check_deadly_prompts(site, callers):
    """Check that prompts that end engines are shut out, and no others.

    After the time in which VMs are in touch again from the fifth end on, no
    more than `DEADLY_MAX` requests may still be sent to engines.
    """
    broken = [
        f'{record.kind} {record.request_id} at {record.vm} is refused, as '
        'if its prompt ended engines'
        for record in callers.records
        if record.status == 503 and b'ends-engines' in record.body
    ]
    for part in site.deadly_parts:
        broken += _check_stopped(
            site,
            f'part {part}',
            lambda request, part=part: part in site_standins.parts_of(request),
            DEADLY_ENDS,
        )
    for target, body in site.deadly_calls:
        broken += _check_stopped(
            site,
            f'target {target}',
            lambda request, call=(target, body): (
                (request.target, request.body) == call
            ),
            DEADLY_REQUEST_ENDS,
        )
    return broken


def _check_stopped(site, name, is_deadly, ends_max):
    """Check that requests that have ended some servers are not sent on."""
    servers = [item.server for item in site.backends.values()]
    ends_s = sorted(
        request.received_s
        for server in servers
        for request in server.ended_by
        if is_deadly(request)
    )
    if len(ends_s) < ends_max:
        return []
    last_s = ends_s[ends_max - 1]
    late = {
        request.headers['x-request-attempt-id']
        for server in servers
        for request in server.arrivals
        if is_deadly(request)
        and request.received_s > last_s + _site.QUIET_S
        and not site.deadly_vms[
            request.headers['x-request-attempt-id']
        ].was_away(last_s, request.received_s)
    }
    if len(late) <= DEADLY_MAX:
        return []
    return [
        f'{len(late)} requests with {name} were sent to servers after it had '
        f'ended {ends_max}, {len(ends_s)} in all'
    ]


def _could_hear(site, vm, span_s):
    """Return whether a VM must have heard of what happened in a span."""
    if site.store_faults.touches(*span_s) or vm.was_away(*span_s):
        return False
    return any(other.was_in_touch(*span_s) for other in site.vms)


def check_recovery(callers, quiet_since_s):
    """Check that enough requests are served after the last fault."""
    sent_after = [
        record
        for record in callers.records
        if record.begun_s >= quiet_since_s and record.ended_s is not None
    ]
    served = [
        record
        for record in sent_after
        if record.status == 200 and record.whole
    ]
    if not sent_after:
        return ['no request was sent after the last fault']
    if len(served) < MIN_SERVED_SHARE * len(sent_after):
        return [
            f'only {len(served)} of {len(sent_after)} requests were served '
            'after the last fault'
        ]
    return []
