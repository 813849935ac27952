"""Choice of the prefill and decode server of a request."""

import attrs

from bluebellthread.core import _all_policies
from bluebellthread.core import _model
from bluebellthread.core import _policies
from bluebellthread.core import _prefill_policies
from bluebellthread.core import _prefix_index


class Placement:
    """Finds the servers that fit a request and lets policies choose a pair.

    Parameters
    ----------
    options : SchedulerOptions
        Names of the policies, and maximum reservations per server.
    ledger : PermitLedger
        The permits and what they reserve.
    rng : random.Random
        The only source of randomness.
    """

    def __init__(self, *, options, ledger, rng):
        self._options = options
        self._ledger = ledger
        self._rng = rng
        self._prefill_policy = None
        self._decode_policy = None
        self.set_options(options)
        self._prefix_index = _prefix_index.PrefixIndex()
        self._servers = {}
        self._failed_ms = {}

    @property
    def servers(self):
        """The pool's backend servers by name."""
        return self._servers

    def set_options(self, options):
        """Replace the policies and the limits on reservations."""
        prefill = _all_policies.prefill_policies.get(options.prefill_policy)
        decode = _all_policies.decode_policies.get(options.decode_policy)
        self._options = options
        self._prefill_policy = prefill()
        self._decode_policy = decode()

    def set_servers(self, servers):
        """Replace the pool's backend servers."""
        ordered = sorted(servers, key=lambda server: server.name)
        self._servers = {server.name: server for server in ordered}

    def note_failed(self, server, now_ms):
        """Skip a failed server until its next load report, if others are left.

        A dead engine has no reservations, so that every policy would
        choose it until its last load report is too old.
        """
        if server in self._servers:
            self._failed_ms[server] = now_ms

    def has_both_roles(self):
        """Return whether the pool has both prefill and decode servers."""
        roles = {server.role for server in self._servers.values()}
        return {_model.ROLE_PREFILL, _model.ROLE_DECODE} <= roles

    def fits(self, request, *, now_ms, find_shown_from_ms):
        """Return whether both engines have capacity for a request now.

        ``find_shown_from_ms`` is a function of a server's name. Its result
        is passed to `ServerAccount.free_pieces` as ``shown_from_ms``.
        """
        return bool(
            self._decode_candidates(request, now_ms, find_shown_from_ms)
            and self._prefill_candidates(now_ms)
        )

    def choose(self, request, *, now_ms, find_shown_from_ms):
        """Return the names of a prefill and a decode server with capacity."""
        prefills = tuple(
            attrs.evolve(
                item,
                cached_tokens=self._prefix_index.cached_tokens(
                    item.name, request.prefix_hashes
                ),
            )
            for item in self._prefill_candidates(now_ms)
        )
        decodes = self._decode_candidates(request, now_ms, find_shown_from_ms)
        avoided = request.avoid_servers
        prefill_server = self._prefill_policy.choose(
            request, _policies.prefer_others(prefills, avoided), self._rng
        )
        decode_server = self._decode_policy.choose(
            request, _policies.prefer_others(decodes, avoided), self._rng
        )
        self._prefix_index.note_granted(prefill_server, request.prefix_hashes)
        return prefill_server, decode_server

    def _usable_accounts(self, role, now_ms):
        oldest_ms = now_ms - self._options.report_timeout_ms
        usable = []
        for server in self._servers.values():
            if server.role != role or server.leaving:
                continue
            account = self._ledger.account(server.name)
            report = account.report
            if report is None or report.leaving:
                continue
            if report.received_ms >= oldest_ms:
                usable.append(account)
        return [
            item for item in usable if not self._has_failed(item)
        ] or usable

    def _has_failed(self, account):
        failed_ms = self._failed_ms.get(account.name)
        return failed_ms is not None and (
            account.report.received_ms <= failed_ms
        )

    def _prefill_candidates(self, now_ms):
        return tuple(
            _policies.PrefillCandidate(
                name=account.name,
                reserved_tokens=account.prefill_tokens,
                reported_queued=account.report.queued_count,
            )
            for account in self._usable_accounts(_model.ROLE_PREFILL, now_ms)
            if not self._prefill_policy.reserves
            or _prefill_policies.has_room(
                reserved_tokens=account.prefill_tokens,
                reserved_count=account.prefill_count,
                slots=self._options.prefill_slots,
            )
        )

    def _decode_candidates(self, request, now_ms, find_shown_from_ms):
        needed_pieces = pieces_of(request)
        candidates = []
        for account in self._usable_accounts(_model.ROLE_DECODE, now_ms):
            free_pieces = account.free_pieces(
                shown_from_ms=find_shown_from_ms(account.name)
            )
            has_link = account.transfer_count < self._options.transfer_slots
            has_decode_slot = len(account.entries) < self._options.decode_slots
            has_room = (
                free_pieces >= needed_pieces and has_link and has_decode_slot
            )
            if not has_room and self._decode_policy.reserves:
                continue
            candidates.append(
                _policies.DecodeCandidate(
                    name=account.name,
                    free_pieces=free_pieces,
                    running_count=len(account.entries),
                    reported_free_pieces=account.report.free_pieces,
                )
            )
        return tuple(candidates)


def pieces_of(request):
    """Return the memory blocks that a request needs for decode."""
    return _model.count_pieces(request.prompt_tokens, request.output_tokens)
