"""The promises, checked against what callers and servers have seen."""

from tests.soak import _callers

ONCE_KINDS = ('order', 'once')
SERVED_AFTER = 0.9
"""Part of the requests that is served once all faults are healed; the users
allow three quarters less."""


def check(site, callers, calm_since_s):
    """Return what is broken, a line each.

    Parameters
    ----------
    site : SoakSite
    callers : Callers
    calm_since_s : float
        Since when no fault has been active.
    """
    runs = site.count_runs()
    broken = []
    for seen in callers.seen:
        broken += check_request(seen, runs.get(seen.request_id, 0))
    for vm in site.vms:
        broken += [
            f'{name} ended by itself: {code}, {last_line}'
            for name, code, last_line in vm.exits
        ]
    broken += [
        f'version {version} at {vm}: knew {known}'
        for vm, version, known in callers.regressions
    ]
    broken += check_recovery(callers, calm_since_s)
    return broken


def check_request(seen, run_count):
    """Return what is broken about one request."""
    broken = []
    label = f'{seen.kind} {seen.request_id} at {seen.vm}'
    if seen.kind in ONCE_KINDS and run_count > 1:
        broken.append(f'{label} ran {run_count} times')
    if (
        seen.kind in ONCE_KINDS
        and seen.status in _callers.PROMISES
        and run_count
    ):
        broken.append(f'{label} was answered {seen.status} and has run')
    if seen.status is not None and 200 <= seen.status < 300:
        broken += check_success(label, seen)
    if seen.status == 404:
        broken.append(f'{label} was answered 404')
    return broken


def check_success(label, seen):
    """Return what is broken about a success."""
    if not seen.proof:
        return [f'{label} has no proof']
    if seen.kind in ('ask', 'once'):
        expected = _callers.expected_stream()
        if seen.whole and seen.body != expected:
            return [f'{label} looks whole: {seen.body[-40:]!r}']
        if not expected.startswith(seen.body):
            return [f'{label} is out of order: {seen.body[-40:]!r}']
        return []
    if seen.whole and not seen.body.endswith(seen.request_id.encode()):
        return [f'{label} has the answer {seen.body!r}']
    return []


def check_recovery(callers, calm_since_s):
    """Return what is broken about the time after the last fault."""
    late = [
        seen
        for seen in callers.seen
        if seen.begun_s >= calm_since_s and seen.ended_s is not None
    ]
    served = [seen for seen in late if seen.status == 200 and seen.whole]
    if not late:
        return ['no request was sent after the faults']
    if len(served) < SERVED_AFTER * len(late):
        return [f'{len(served)} of {len(late)} served after the faults']
    return []
