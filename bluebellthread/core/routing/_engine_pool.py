"""The engines of one service and the placements in use on them."""

import collections
import math

from bluebellthread.core.routing import _engine_account
from bluebellthread.core.routing import _memory_models

LOCAL_PREFILL_LOAD_MAX = 0.5
"""While prefill servers exist, a decode server runs a prefill only if at most
this fraction of its KV cache is in use: the prefill pauses the answers that
the server generates."""

PREFILL_TIMEOUT_MS = 2000
"""A prefill without a reported end counts as lost after this time, several
times the duration of the longest prefill."""


class EnginePool:
    """Accounts of all engines of a service, and the placements in use.

    Parameters
    ----------
    has_token : callable
        Takes an engine; returns whether its limit lets another request
        through.

    Attributes
    ----------
    by_role : dict of str to list of EngineAccount
        Accounts of the listed engines, by role.
    largest_tokens : int
        Largest KV cache capacity of a decode server, in tokens.
    decode_versions : collections.Counter
        Number of decode servers of each software version.
    """

    def __init__(self, *, has_token=lambda server: True):
        self._has_token = has_token
        self._fits = None
        self._prefill_depth = 0
        self._servers = ()
        self._accounts = {}
        self._by_version = collections.defaultdict(list)
        self._placements = {}
        self._next_expire_ms = math.inf
        self.by_role = {'prefill': [], 'decode': []}
        self.largest_tokens = 0
        self.decode_versions = collections.Counter()

    def __len__(self):
        return len(self._placements)

    def set_model(self, *, fits, prefill_depth):
        """Set what decides whether engines have room.

        Parameters
        ----------
        fits : callable
            Function from `memory_models` that returns whether a request fits
            on a decode server.
        prefill_depth : int
            Maximum number of prompts assigned to one prefill server at a
            time.
        """
        self._fits = fits
        self._prefill_depth = prefill_depth
        for account in self._accounts.values():
            account.rejected_request = None
            account.reserved_for = ''
            account.slowness = 1.0

    def find_placement(self, ask_id):
        """Return the placement of a request, or None."""
        return self._placements.get(ask_id)

    def find_account(self, server):
        """Return the account of a server name, or None."""
        return self._accounts.get(server)

    def holds(self, account):
        """Return whether an account is that of a listed engine process."""
        return self._accounts.get(account.server.name) is account

    def set_servers(self, servers):
        """Replace the list of engines; keep the accounts of running processes.

        Placements may be known before their engine is listed. An engine
        process that has restarted holds none of its earlier placements.
        """
        if servers is self._servers:
            return
        self._servers = servers
        accounts = {}
        for server in servers:
            known = self._accounts.get(server.name)
            if known is None:
                known = self._make_account(server)
            elif known.server.incarnation != server.incarnation:
                known = _engine_account.EngineAccount(server=server)
            known.server = server
            known.rejected_request = None
            accounts[server.name] = known
        self._accounts = accounts
        self.by_role = {
            role: [
                account
                for account in accounts.values()
                if account.server.role == role
            ]
            for role in self.by_role
        }
        self._by_version = collections.defaultdict(list)
        for account in accounts.values():
            server = account.server
            key = (server.role, server.software_version)
            self._by_version[key].append(account)
        self.decode_versions = collections.Counter(
            item.server.software_version for item in self.by_role['decode']
        )
        self.largest_tokens = max(
            (item.server.memory_tokens for item in self.by_role['decode']),
            default=0,
        )

    def _make_account(self, server):
        placements = {
            ask_id: placement
            for ask_id, placement in self._placements.items()
            if placement.decode_server == server.name
        }
        return _engine_account.EngineAccount(
            server=server, decoding=placements
        )

    def free_where(self, condition):
        """Release all placements that match a condition."""
        for placement in list(self._placements.values()):
            if condition(placement):
                self.free(placement.ask_id)

    # Choice of engines

    def choose_pair(self, request, now_ms, *, is_urgent=False):
        """Return the accounts of a prefill and a decode server for a request.

        Parameters
        ----------
        is_urgent : bool
            Whether to run the prefill on a decode server rather than wait
            for a busy prefill server.

        Returns
        -------
        (EngineAccount or None, EngineAccount) or None
            Prefill and decode server; the first is None if the decode server
            also runs the prefill. None instead of a pair if the request has
            to wait.
        """
        versions = self.decode_versions
        if request.software_version:
            versions = (request.software_version,)
        pairs = [
            pair
            for version in versions
            if (
                pair := self._choose_pair_of(
                    version, request, now_ms, is_urgent
                )
            )
        ]
        return min(
            pairs,
            key=lambda pair: (
                any(_is_doubtful(item, request, now_ms) for item in pair),
                self._is_alone(pair[1].server),
                _rate_decode(pair[1], request, now_ms),
            ),
            default=None,
        )

    def has_free_prefill(self, request):
        """Return whether a prefill server takes another prompt.

        Without prefill servers, the decode servers take them.
        """
        version = request.software_version
        prefills = [
            item
            for item in self.by_role['prefill']
            if not version or item.server.software_version == version
        ]
        return not prefills or any(
            len(item.prefilling) < self._prefill_depth for item in prefills
        )

    def reserve_decode(self, request, now_ms):
        """Reserve the decode server that has room for a request first.

        Returns
        -------
        EngineAccount or None
            None if all that the request may use are reserved or too small,
            or a quarter of the decode servers is reserved.
        """
        decodes = self.by_role['decode']
        reserved_count = sum(bool(item.reserved_for) for item in decodes)
        if 4 * (reserved_count + 1) > len(decodes):
            return None
        versions = self.decode_versions
        if request.software_version:
            versions = (request.software_version,)
        account = max(
            (
                item
                for version in versions
                for item in self._usable('decode', version, request, now_ms)
                if not item.reserved_for
                and not item.is_backing_off(now_ms)
                and _memory_models.may_ever_fit(item, request)
            ),
            key=lambda item: (
                item.server.memory_tokens - item.used_tokens(now_ms),
                item.server.name,
            ),
            default=None,
        )
        if account is not None:
            account.reserved_for = request.ask_id
        return account

    def _is_alone(self, server):
        """Return whether no other decode server has a server's version."""
        return self.decode_versions[server.software_version] < 2

    def _choose_pair_of(self, version, request, now_ms, is_urgent):
        """Return a pair of engines of one version as `choose_pair` does.

        Both are of the same version, since one can't use the KV cache that
        another version has written.
        """
        prefills = self._usable('prefill', version, request, now_ms)
        free = [
            item
            for item in prefills
            if len(item.prefilling) < self._prefill_depth
        ]
        if not free:
            return self._choose_local_prefill(
                version, request, now_ms, prefills, is_urgent
            )
        decode = self._choose_decode(version, request, now_ms)
        if decode is None:
            return None
        prefill = min(
            free,
            key=lambda item: (
                item.queued_prefill_tokens,
                _transfer_cost(item.server, decode.server),
                item.server.name,
            ),
        )
        return prefill, decode

    def _choose_local_prefill(
        self, version, request, now_ms, prefills, is_urgent
    ):
        """Return (None, decode server) to run the prefill there, or None."""
        if not prefills:
            decode = self._choose_decode(version, request, now_ms)
        elif is_urgent:
            decode = self._choose_decode(
                version,
                request,
                now_ms,
                lambda item: (
                    now_ms >= item.local_prefill_end_ms
                    and item.load(now_ms) <= LOCAL_PREFILL_LOAD_MAX
                ),
            )
        else:
            return None
        return None if decode is None else (None, decode)

    def _choose_decode(
        self, version, request, now_ms, is_eligible=lambda item: True
    ):
        fitting = [
            item
            for item in self._usable('decode', version, request, now_ms)
            if is_eligible(item) and self._has_capacity(item, request, now_ms)
        ]
        return min(
            fitting,
            key=lambda item: _rate_decode(item, request, now_ms),
            default=None,
        )

    def _has_capacity(self, account, request, now_ms):
        if len(account.decoding) >= account.server.slot_count:
            return False
        if account.reserved_for not in ('', request.ask_id):
            return False
        if account.is_full_for(request):
            return False
        if self._fits(account, request, now_ms):
            return True
        account.rejected_request = request
        return False

    def _usable(self, role, version, request, now_ms):
        """Return the engines of a role and version that a request may use.

        Engines that are backing off or have failed the request are included
        only if no other engine of the version is left.
        """
        accounts = [
            item
            for item in self._by_version.get((role, version), [])
            if self._has_token(item.server)
        ]
        available = [
            item for item in accounts if not item.is_backing_off(now_ms)
        ]
        preferred = [
            item
            for item in available
            if item.server.name not in request.avoid_servers
        ]
        return preferred or available or accounts

    # Placements

    def add(self, placement):
        """Add a placement and reserve its memory on the decode server."""
        self._placements[placement.ask_id] = placement
        self._next_expire_ms = min(
            self._next_expire_ms, _find_expiry_ms(placement)
        )
        account = self._accounts.get(placement.decode_server)
        if account is not None:
            account.decoding[placement.ask_id] = placement

    def free(self, ask_id):
        """Release the placement of a request, if it has one."""
        placement = self._placements.pop(ask_id, None)
        if placement is None:
            return
        for name in (placement.prefill_server, placement.decode_server):
            account = self._accounts.get(name)
            if account is not None:
                account.release(ask_id)

    def expire(self, now_ms):
        """Release the placements whose deadline has passed.

        A prefill that exceeds its timeout counts as lost and as a failure
        of its server.
        """
        if now_ms < self._next_expire_ms:
            return
        for ask_id, placement in list(self._placements.items()):
            if now_ms >= placement.deadline_ms:
                self.free(ask_id)
            elif now_ms >= _find_expiry_ms(placement):
                placement.prefilled_ms = now_ms
                account = self._accounts.get(placement.prefill_server)
                if account is not None:
                    account.prefilling.pop(ask_id, None)
                    account.note_failure(now_ms)
        self._next_expire_ms = min(
            map(_find_expiry_ms, self._placements.values()), default=math.inf
        )


def _find_expiry_ms(placement):
    """Return when a placement or its prefill times out."""
    if placement.prefilled_ms is not None:
        return placement.deadline_ms
    return min(
        placement.deadline_ms, placement.granted_ms + PREFILL_TIMEOUT_MS
    )


def _is_doubtful(account, request, now_ms):
    """Return whether an engine backs off or has failed the request."""
    return account is not None and (
        account.is_backing_off(now_ms)
        or account.server.name in request.avoid_servers
    )


def _rate_decode(account, request, now_ms):
    """Return the sort key of a decode server; the least is the best."""
    is_distant = account.server.data_centre != request.data_centre
    return (
        account.load(now_ms) * account.slowness + 0.1 * is_distant,
        account.server.name,
    )


def _transfer_cost(server, other):
    """Return the relative cost of a KV cache transfer between two servers.

    It is 1 within a data centre.
    """
    if server.data_centre == other.data_centre:
        return 1
    return 2 if server.region == other.region else 10
