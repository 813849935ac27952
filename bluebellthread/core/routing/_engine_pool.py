"""The engines of one service and the places that are in use on them."""

import math

from bluebellthread.core.routing import _engine_account

OWN_READ_LOAD_MAX = 0.5
"""Part of a decode server's memory up to which it reads prompts itself while
there are prefill servers: the answers that run there pause meanwhile."""

READING_TIMEOUT_MS = 2000
"""A prefill that nobody has ended by then is taken as lost; several times
the longest one."""


class EnginePool:
    """Accounts of all engines, kept by the places in use.

    Parameters
    ----------
    fits : callable
        One of `memory_models`.
    prefill_depth : int
        Prompts given to one prefill server at a time.

    Attributes
    ----------
    by_role : dict of str to list of EngineAccount
    largest_tokens : int
        Memory of the largest decode server.
    """

    def __init__(self, *, fits, prefill_depth):
        self._fits = fits
        self._prefill_depth = prefill_depth
        self._servers = ()
        self._accounts = {}
        self._places = {}
        self._next_expire_ms = math.inf
        self.by_role = {'prefill': [], 'decode': []}
        self.largest_tokens = 0

    def __len__(self):
        return len(self._places)

    def find_place(self, ask_id):
        """Return the place of an ask, or None."""
        return self._places.get(ask_id)

    def find_account(self, server):
        """Return the account of a server by its name, or None."""
        return self._accounts.get(server)

    def set_servers(self, servers):
        """Replace the list of engines.

        Places may be known before their engine is; a process that has
        started anew holds none of them.
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
            known.full_for = None
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
        self.largest_tokens = max(
            (item.server.memory_tokens for item in self.by_role['decode']),
            default=0,
        )

    def _make_account(self, server):
        places = {
            ask_id: place
            for ask_id, place in self._places.items()
            if place.decode_server == server.name
        }
        return _engine_account.EngineAccount(server=server, writing=places)

    def free_where(self, condition):
        """Give all places back for which a condition holds."""
        for place in list(self._places.values()):
            if condition(place):
                self.free(place.ask_id)

    # Where work goes

    def choose_pair(self, ask, now_ms, *, is_urgent=False):
        """Return a prefill and a decode account for an ask.

        Parameters
        ----------
        is_urgent : bool
            Whether a decode server should read the prompt rather than have
            it wait for a prefill server.

        Returns
        -------
        (EngineAccount or None, EngineAccount) or None
            Without a prefill server the decode server reads the prompt.
            None if the ask has to wait.
        """
        prefills = self._usable('prefill', ask, now_ms)
        free = [
            item
            for item in prefills
            if len(item.reading) < self._prefill_depth
        ]
        if not free:
            return self._choose_reader(ask, now_ms, prefills, is_urgent)
        decode = self._choose_decode(ask, now_ms)
        if decode is None:
            return None
        prefill = min(
            free,
            key=lambda item: (
                item.reading_tokens,
                _distance(item.server, decode.server),
                item.server.name,
            ),
        )
        return prefill, decode

    def _choose_reader(self, ask, now_ms, prefills, is_urgent):
        """Return the pair in which the decode server reads the prompt."""
        if not prefills:
            decode = self._choose_decode(ask, now_ms)
        elif is_urgent:
            decode = self._choose_decode(
                ask,
                now_ms,
                lambda item: (
                    now_ms >= item.own_read_end_ms
                    and item.load(now_ms) <= OWN_READ_LOAD_MAX
                ),
            )
        else:
            return None
        return None if decode is None else (None, decode)

    def _choose_decode(self, ask, now_ms, may_take=lambda item: True):
        fitting = [
            item
            for item in self._usable('decode', ask, now_ms)
            if may_take(item) and self._has_room(item, ask, now_ms)
        ]
        if not fitting:
            return None
        return min(
            fitting,
            key=lambda item: (
                item.load(now_ms)
                + 0.1 * (item.server.data_centre != ask.data_centre),
                item.server.name,
            ),
        )

    def _has_room(self, account, ask, now_ms):
        if len(account.writing) >= account.server.slot_count:
            return False
        if account.is_full_for(ask):
            return False
        if self._fits(account, ask, now_ms):
            return True
        account.full_for = ask
        return False

    def _usable(self, role, ask, now_ms):
        """Return engines of a role, those that failed only as a last way."""
        accounts = self.by_role[role]
        rested = [item for item in accounts if not item.is_spared(now_ms)]
        preferred = [
            item
            for item in rested
            if item.server.name not in ask.avoid_servers
        ]
        return preferred or rested or accounts

    # Places

    def add(self, place):
        """Take the room that a place stands for."""
        self._places[place.ask_id] = place
        self._next_expire_ms = min(
            self._next_expire_ms, _find_expiry_ms(place)
        )
        account = self._accounts.get(place.decode_server)
        if account is not None:
            account.writing[place.ask_id] = place

    def free(self, ask_id):
        """Give a place back, if there is one."""
        place = self._places.pop(ask_id, None)
        if place is None:
            return
        for name in (place.prefill_server, place.decode_server):
            account = self._accounts.get(name)
            if account is not None:
                account.give_back(ask_id)

    def expire(self, now_ms):
        """End the places whose time is up.

        A prompt that has not been read in time is taken as lost.
        """
        if now_ms < self._next_expire_ms:
            return
        for ask_id, place in list(self._places.items()):
            if now_ms >= place.deadline_ms:
                self.free(ask_id)
            elif now_ms >= _find_expiry_ms(place):
                place.read_ms = now_ms
                account = self._accounts.get(place.prefill_server)
                if account is not None:
                    account.reading.pop(ask_id, None)
                    account.note_failure(now_ms)
        self._next_expire_ms = min(
            map(_find_expiry_ms, self._places.values()), default=math.inf
        )


def _find_expiry_ms(place):
    """Return when a place changes by itself."""
    if place.read_ms is not None:
        return place.deadline_ms
    return min(place.deadline_ms, place.granted_ms + READING_TIMEOUT_MS)


def _distance(server, other):
    """Return how many times as long a transfer takes than a near one."""
    if server.data_centre == other.data_centre:
        return 1
    return 2 if server.region == other.region else 10
