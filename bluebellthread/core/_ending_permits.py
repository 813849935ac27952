"""Ended permits whose cancellation the engines have not confirmed."""

from bluebellthread.core import _messages
from bluebellthread.core import _permit_ledger
from bluebellthread.core import _released_permits
from bluebellthread.core import _scheduler_events as events


class EndingPermits:
    """Ends permits and frees their memory once the engines confirm.

    Parameters
    ----------
    ledger : PermitLedger
        All permits of the pool.
    settle_timeout_ms : int
        How long after a cancel a load report may still show the
        state before it.
    """

    def __init__(self, *, ledger, settle_timeout_ms):
        self._ledger = ledger
        self._settle_timeout_ms = settle_timeout_ms
        self._entries = {}
        self._released = _released_permits.ReleasedPermits()

    def end(self, entry, now_ms, kind):
        """End a permit and return the commands that cancel it.

        The gateway is notified only if ``kind`` is not empty.
        """
        permit = entry.permit
        self._ledger.end(entry, now_ms)
        self._entries[permit.permit_id] = entry
        commands = [
            events.CancelAtEngine(server=server, permit_id=permit.permit_id)
            for server in _permit_ledger.permit_servers(permit)
        ]
        if kind:
            message = _messages.PermitCancelled(
                permit_id=permit.permit_id, kind=kind
            )
            commands.append(
                events.SendToGateway(gateway=permit.gateway, message=message)
            )
        return commands

    def note_released(self, permit_id, now_ms):
        """Record that a permit has ended, even if it is not in the ledger."""
        self._released.add(permit_id, now_ms)

    def has_ended(self, permit_id):
        """Return whether a permit was released or its cancel confirmed."""
        return self._released.holds(permit_id)

    def may_be_in_stale_report(self, permit_id, now_ms):
        """Return whether a load report may predate the end of a permit."""
        settled_ms = now_ms - self._settle_timeout_ms
        return self._released.holds(permit_id, since_ms=settled_ms)

    def confirm(self, permit_id, server, now_ms):
        """Record that an engine no longer holds anything for a permit."""
        entry = self._entries.get(permit_id)
        if entry is None:
            return
        self._ledger.confirm(entry, server)
        if not entry.unconfirmed:
            del self._entries[permit_id]
            self._released.add(permit_id, now_ms)

    def confirm_by_report(self, account, now_ms):
        """Confirm cancels of permits that a server's load report omits.

        Only permits that ended at least the settle timeout ago count, since
        the report may show an earlier state.
        """
        settled_ms = now_ms - self._settle_timeout_ms
        confirmed = [
            permit_id
            for permit_id, entry in self._entries.items()
            if entry.ended_ms <= settled_ms
            and account.name in entry.unconfirmed
            and not account.is_reported(permit_id)
        ]
        for permit_id in confirmed:
            self.confirm(permit_id, account.name, now_ms)

    def end_lost_permits(self, account, now_ms):
        """End the permits whose state a server lost in a restart.

        Cancels that the server had not yet confirmed count as confirmed.
        """
        for permit_id, entry in list(self._entries.items()):
            if account.name in entry.unconfirmed:
                self.confirm(permit_id, account.name, now_ms)
        commands = []
        for entry in self._ledger.entries_on_server(account.name):
            if entry.ended_ms is None and _is_lost(entry.permit, account):
                commands += self.end(entry, now_ms, 'backend-lost')
        return commands

    def forget_old(self, now_ms):
        """Delete old records of ended permits."""
        self._released.forget_old(now_ms)


def _is_lost(permit, account):
    if account.is_reported(permit.permit_id):
        return False
    return account.name == permit.decode_server or permit.stage != 'decoding'
