"""Requests that run on engines and belong to nobody who is known."""

import attrs


@attrs.define(kw_only=True)
class Stray:
    """One request in reports that no permit explains."""

    first_seen_ms: int
    cancelled_ms: int | None = None


class StrayWatch:
    """Finds the running ids whose holder is gone.

    A stray is cancelled when it has run for a grace time. The time is
    longer while the process that granted it lives, since that process
    will tell of it. It is longest where new ids of that process appear
    after it looked dead: then it is not dead but cut off from this VM.

    Parameters
    ----------
    options : SchedulerOptions
        The times.

    Examples
    --------
    >>> from bluebellthread.core import _scheduler_options
    >>> from bluebellthread.core import _gateway_watch
    >>> options = _scheduler_options.SchedulerOptions()
    >>> gateways = _gateway_watch.GatewayWatch(options)
    >>> watch = StrayWatch(options)
    >>> watch.note_report('d1', ('vm9-7-1',), 0)
    >>> watch.pop_due(gateways, 1499), watch.pop_due(gateways, 1500)
    ([], [('d1', 'vm9-7-1')])
    """

    def __init__(self, options):
        self._options = options
        self._strays = {}
        self._newest_ms = {}

    def note_report(self, server, stray_ids, now_ms):
        """Take in which ids a backend server runs that nobody explains."""
        known = self._strays.get(server, {})
        current = {}
        for permit_id in stray_ids:
            if permit_id in known:
                current[permit_id] = known[permit_id]
                continue
            current[permit_id] = Stray(first_seen_ms=now_ms)
            self._newest_ms[granter_of(permit_id)] = now_ms
        self._strays[server] = current

    def has_strays(self, server):
        """Return whether a backend server runs strays."""
        return bool(self._strays.get(server))

    def forget(self, permit_id):
        """Drop an id that has been explained since."""
        for strays in self._strays.values():
            strays.pop(permit_id, None)

    def restart(self, now_ms):
        """Give every stray its full time again."""
        for strays in self._strays.values():
            for stray in strays.values():
                stray.first_seen_ms = now_ms

    def pop_due(self, gateways, now_ms):
        """Return (server, id) of the strays to cancel now.

        Parameters
        ----------
        gateways : GatewayWatch
            Knows which VM processes live, and since when others do not.
        now_ms : int
            Now.
        """
        due = []
        for server, strays in self._strays.items():
            for permit_id, stray in strays.items():
                timeout_ms = self._timeout_ms(granter_of(permit_id), gateways)
                if self._is_due(permit_id, stray, timeout_ms, now_ms):
                    stray.cancelled_ms = now_ms
                    due.append((server, permit_id))
        self._forget_old_granters(now_ms)
        return due

    def _timeout_ms(self, granter, gateways):
        if granter in gateways.live:
            return self._options.live_stray_timeout_ms
        settled_ms = (
            gateways.gone_since_ms(granter) + self._options.settle_timeout_ms
        )
        if self._newest_ms.get(granter, settled_ms) > settled_ms:
            return self._options.cut_off_stray_timeout_ms
        return max(self._options.stray_timeout_ms, gateways.wait_ms)

    def _is_due(self, permit_id, stray, timeout_ms, now_ms):
        if stray.cancelled_ms is not None:
            retry_ms = stray.cancelled_ms + self._options.settle_timeout_ms
            return now_ms >= retry_ms
        granter = granter_of(permit_id)
        newest_ms = self._newest_ms.get(granter, stray.first_seen_ms)
        return now_ms >= max(stray.first_seen_ms, newest_ms) + timeout_ms

    def _forget_old_granters(self, now_ms):
        horizon_ms = now_ms - self._options.cut_off_stray_timeout_ms
        self._newest_ms = {
            granter: seen_ms
            for granter, seen_ms in self._newest_ms.items()
            if seen_ms > horizon_ms
        }


def make_permit_id(vm, incarnation, number):
    """Return the id of a permit, which names the process that grants it.

    Examples
    --------
    >>> make_permit_id('vm1', 255, 3)
    'vm1-ff-3'
    """
    return f'{vm}-{incarnation:x}-{number}'


def granter_of(permit_id):
    """Return the process that a permit id names, or None.

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
