"""Detection of orphaned requests, which an engine runs without a permit."""

import attrs


@attrs.define(kw_only=True)
class OrphanedRequest:
    """Holds when an orphaned request was first reported and last cancelled."""

    first_seen_ms: int
    cancelled_ms: int | None = None


class OrphanWatch:
    """Tracks reported orphaned requests and decides when to cancel them.

    An orphaned request is cancelled after a grace period. The period is
    longer while the process that granted its permit is live, since
    that process is expected to report the permit, and while a live gateway
    has yet to register its permits. It is longest if new
    permit ids of that process appear after it left the membership view:
    then the process is not dead but partitioned from this VM.

    Parameters
    ----------
    options : SchedulerOptions
        Timeouts of the scheduler.

    Examples
    --------
    >>> from bluebellthread.core import _scheduler_options
    >>> from bluebellthread.core import _gateway_watch
    >>> options = _scheduler_options.SchedulerOptions()
    >>> gateways = _gateway_watch.GatewayWatch(options)
    >>> watch = OrphanWatch(options)
    >>> watch.note_report('d1', ('vm9-7-1',), 0)
    >>> watch.pop_due(gateways, 1499), watch.pop_due(gateways, 1500)
    ([], [('d1', 'vm9-7-1')])
    """

    def __init__(self, options):
        self._options = options
        self._orphans = {}
        self._last_new_id_ms = {}

    def note_report(self, server, orphan_ids, now_ms):
        """Replace the record of the orphaned requests on a backend server."""
        known = self._orphans.get(server, {})
        current = {}
        for permit_id in orphan_ids:
            if permit_id in known:
                current[permit_id] = known[permit_id]
                continue
            current[permit_id] = OrphanedRequest(first_seen_ms=now_ms)
            self._last_new_id_ms[granter_of(permit_id)] = now_ms
        self._orphans[server] = current

    def has_orphans(self, server):
        """Return whether a backend server runs orphaned requests."""
        return bool(self._orphans.get(server))

    def forget(self, permit_id):
        """Remove a request from the orphans once its permit is known."""
        for orphans in self._orphans.values():
            orphans.pop(permit_id, None)

    def restart(self, now_ms):
        """Restart the grace period of every orphaned request."""
        for orphans in self._orphans.values():
            for orphan in orphans.values():
                orphan.first_seen_ms = now_ms

    def pop_due(self, gateways, now_ms, *, is_registered=True):
        """Return (server, permit id) of each orphaned request to cancel now.

        Parameters
        ----------
        gateways : GatewayWatch
            Knows the live VM processes and when others left the view.
        now_ms : int
            Current time.
        is_registered : bool
            Whether all live gateways have registered their permits.
        """
        due = []
        for server, orphans in self._orphans.items():
            for permit_id, orphan in orphans.items():
                timeout_ms = self._timeout_ms(
                    granter_of(permit_id), gateways, is_registered
                )
                if self._is_due(permit_id, orphan, timeout_ms, now_ms):
                    orphan.cancelled_ms = now_ms
                    due.append((server, permit_id))
        self._forget_old_granters(now_ms)
        return due

    def _timeout_ms(self, granter, gateways, is_registered):
        if granter in gateways.live:
            return self._options.live_stray_timeout_ms
        settled_ms = (
            gateways.gone_since_ms(granter) + self._options.settle_timeout_ms
        )
        if self._last_new_id_ms.get(granter, settled_ms) > settled_ms:
            return self._options.cut_off_stray_timeout_ms
        timeout_ms = self._options.stray_timeout_ms
        if not is_registered:
            timeout_ms = self._options.live_stray_timeout_ms
        return max(timeout_ms, gateways.minority_wait_ms)

    def _is_due(self, permit_id, orphan, timeout_ms, now_ms):
        if orphan.cancelled_ms is not None:
            retry_ms = orphan.cancelled_ms + self._options.settle_timeout_ms
            return now_ms >= retry_ms
        granter = granter_of(permit_id)
        last_new_id_ms = self._last_new_id_ms.get(
            granter, orphan.first_seen_ms
        )
        return now_ms >= max(orphan.first_seen_ms, last_new_id_ms) + timeout_ms

    def _forget_old_granters(self, now_ms):
        horizon_ms = now_ms - self._options.cut_off_stray_timeout_ms
        self._last_new_id_ms = {
            granter: seen_ms
            for granter, seen_ms in self._last_new_id_ms.items()
            if seen_ms > horizon_ms
        }


def make_permit_id(vm, incarnation, number):
    """Return a permit id, which names the process that grants the permit.

    Examples
    --------
    >>> make_permit_id('vm1', 255, 3)
    'vm1-ff-3'
    """
    return f'{vm}-{incarnation:x}-{number}'


def granter_of(permit_id):
    """Return the process that granted a permit, or None for a malformed id.

    Examples
    --------
    >>> granter_of('vm-1-ff-3')
    ('vm-1', 255)
    """
    parts = permit_id.rsplit('-', 2)
    if len(parts) != 3:
        return None
    try:
        return (parts[0], int(parts[1], 16))
    except ValueError:
        return None
