"""Checks the router's guarantees against the records of a soak test."""

from tests.soak import _callers

AT_MOST_ONCE_KINDS = ('order', 'once')
MIN_SERVED_SHARE = 0.9
"""Minimum share of requests that are served after the last fault.

The users' own limit is three quarters lower.
"""


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
        f'version {version} is missing at {vm}, last served: {known}'
        for vm, version, known in callers.version_errors
    ]
    broken += check_recovery(callers, quiet_since_s)
    return broken


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
    if record.kind in ('ask', 'once'):
        expected = _callers.expected_stream()
        if record.whole and record.body != expected:
            return [f'{label} is complete but wrong: {record.body[-40:]!r}']
        if not expected.startswith(record.body):
            return [f'{label} is cut off and wrong: {record.body[-40:]!r}']
        return []
    if record.whole and not record.body.endswith(record.request_id.encode()):
        return [f'{label} has a wrong answer: {record.body!r}']
    return []


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
