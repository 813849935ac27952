"""Permits of one pool, and running totals of their reservations."""

import heapq

import attrs

from bluebellthread.core import _model
from bluebellthread.core import _request_log
from bluebellthread.core import _server_account


@attrs.define(kw_only=True)
class LedgerEntry:
    """Holds a permit and the state of its reservations.

    Parameters
    ----------
    permit : Permit
        The permit at its present stage.
    granted_ms : int
        Time at which the permit was added to this ledger.
    ended_ms : int or None
        Time at which the permit ended, or None while it is in force. Its
        memory stays reserved until the engines have confirmed the cancel.
    unconfirmed : set of str
        Backend servers that have not yet confirmed the cancel.
    holds_prefill, holds_link : bool
        Whether the permit still holds a slot on its prefill server, and one
        on the link into its decode server.
    """

    permit: _model.Permit
    granted_ms: int
    ended_ms: int | None = None
    unconfirmed: set[str] = attrs.field(factory=set)
    holds_prefill: bool = False
    holds_link: bool = False


class PermitLedger:
    """Holds all permits of a pool by id, request, gateway and deadline.

    The totals of each backend server are updated with every change, so that
    a grant does not have to scan the permits.

    Examples
    --------
    >>> ledger = PermitLedger()
    >>> len(ledger), ledger.find('vm1-7-1')
    (0, None)
    """

    def __init__(self):
        self._entries = {}
        self._accounts = {}
        self._by_request = {}
        self._by_gateway = {}
        self._deadlines = []

    def __len__(self):
        return len(self._entries)

    def __iter__(self):
        return iter(list(self._entries.values()))

    def find(self, permit_id):
        """Return the entry of a permit id, or None."""
        return self._entries.get(permit_id)

    def find_request(self, item):
        """Return the entry in force for the request of a permit or attempt.

        The result is None if the request has no permit in force.
        """
        key = _request_log.request_key(item)
        return self._entries.get(self._by_request.get(key))

    def account(self, server):
        """Return the account of a backend server, created if missing."""
        if server not in self._accounts:
            self._accounts[server] = _server_account.ServerAccount(server)
        return self._accounts[server]

    def gateways(self):
        """Return (name, incarnation) of the gateways that hold permits."""
        return list(self._by_gateway)

    def entries_of_gateway(self, gateway):
        """Return the entries in force of one gateway process."""
        ids = self._by_gateway.get(gateway, ())
        return [self._entries[permit_id] for permit_id in ids]

    def entries_on_server(self, server):
        """Return the entries that use a backend server."""
        return [
            entry
            for entry in self._entries.values()
            if server in permit_servers(entry.permit)
        ]

    def add(self, permit, now_ms):
        """Add a permit and reserve what its stage needs."""
        entry = LedgerEntry(permit=permit, granted_ms=now_ms)
        self._entries[permit.permit_id] = entry
        self._by_request[_request_log.request_key(permit)] = permit.permit_id
        ids = self._by_gateway.setdefault(permit_gateway(permit), set())
        ids.add(permit.permit_id)
        heapq.heappush(self._deadlines, (permit.deadline_ms, permit.permit_id))
        self.account(permit.decode_server).reserve_pieces(
            permit.permit_id, permit.pieces
        )
        self._reserve_slots(entry)
        return entry

    def progress(self, entry, stage):
        """Move a permit to a later stage; ignore a stage that is not later."""
        stages = _server_account.STAGES
        if stages.index(stage) <= stages.index(entry.permit.stage):
            return
        entry.permit = attrs.evolve(entry.permit, stage=stage)
        if stage not in _server_account.PREFILL_STAGES:
            self._free_prefill(entry)
        if stage not in _server_account.LINK_STAGES:
            self._free_link(entry)

    def end(self, entry, now_ms):
        """End a permit and return the servers that must confirm the cancel."""
        self._remove_from_indexes(entry)
        entry.ended_ms = now_ms
        entry.unconfirmed = set(permit_servers(entry.permit))
        return permit_servers(entry.permit)

    def confirm(self, entry, server):
        """Record that a backend server holds nothing for an ended permit."""
        entry.unconfirmed.discard(server)
        if server == entry.permit.prefill_server:
            self._free_prefill(entry)
        if server == entry.permit.decode_server:
            self._free_link(entry)
            self.account(server).free(entry.permit.permit_id)
        if not entry.unconfirmed:
            self.remove(entry)

    def remove(self, entry):
        """Remove a permit and free all that is reserved for it."""
        permit = entry.permit
        self._free_prefill(entry)
        self._free_link(entry)
        self.account(permit.decode_server).free(permit.permit_id)
        self._remove_from_indexes(entry)
        self._entries.pop(permit.permit_id, None)

    def pop_expired(self, now_ms):
        """Return the entries in force whose deadline has passed, each once."""
        expired = []
        while self._deadlines and self._deadlines[0][0] <= now_ms:
            _, permit_id = heapq.heappop(self._deadlines)
            entry = self._entries.get(permit_id)
            if entry is not None and entry.ended_ms is None:
                expired.append(entry)
        return expired

    def _reserve_slots(self, entry):
        permit = entry.permit
        if permit.stage in _server_account.PREFILL_STAGES:
            entry.holds_prefill = True
            prefill = self.account(permit.prefill_server)
            prefill.prefill_count += 1
            prefill.prefill_tokens += permit.prompt_tokens
        if permit.stage in _server_account.LINK_STAGES:
            entry.holds_link = True
            self.account(permit.decode_server).transfer_count += 1

    def _free_prefill(self, entry):
        if entry.holds_prefill:
            entry.holds_prefill = False
            account = self.account(entry.permit.prefill_server)
            account.prefill_count -= 1
            account.prefill_tokens -= entry.permit.prompt_tokens

    def _free_link(self, entry):
        if entry.holds_link:
            entry.holds_link = False
            account = self.account(entry.permit.decode_server)
            account.transfer_count -= 1

    def _remove_from_indexes(self, entry):
        permit = entry.permit
        key = _request_log.request_key(permit)
        if self._by_request.get(key) == permit.permit_id:
            del self._by_request[key]
        gateway = permit_gateway(permit)
        ids = self._by_gateway.get(gateway, set())
        ids.discard(permit.permit_id)
        if not ids:
            self._by_gateway.pop(gateway, None)


def permit_servers(permit):
    """Return the prefill and the decode server of a permit."""
    return (permit.prefill_server, permit.decode_server)


def permit_gateway(permit):
    """Return the gateway process that holds a permit."""
    return (permit.gateway, permit.gateway_incarnation)
