"""Judge an owner's grants and refusals by what this VM knows of the servers.

The owner of a service may have an older list of servers than the VM that asks
it, for example because the platform turns it away.
"""

import collections

import attrs

DISPUTES_MAX = {'left': 2, 'other-role': 2, 'not-listed': 8}
"""Grants of one owner that a request disputes, by kind, before it asks the
next owner. The first dispute tells the owner which server has left. Servers
that this VM does not list yet may be many; each is avoided once disputed."""

LACKS_SERVERS = ('no-server', 'no-version')
"""Kinds of refusals of an owner that knows no suitable engine."""


@attrs.frozen(kw_only=True)
class Dispute:
    """Why a server that was granted can't be used.

    Parameters
    ----------
    server : str
        Name of the server.
    kind : str
        ``'left'``, ``'not-listed'`` or ``'other-role'``.
    departure : Departure or None
        What this VM knows of the server's leaving.
    """

    server: str
    kind: str
    departure: object = None


def find_dispute(directory, name, role, now_ms):
    """Return why a server must not get a request, or None if it may.

    Parameters
    ----------
    directory : ServerDirectory
        What this VM knows of the servers.
    name : str
        Name of the server.
    role : str
        ``'prefill'`` or ``'decode'``.
    """
    departure = directory.find_departure(name, now_ms)
    if departure is not None:
        return Dispute(server=name, kind='left', departure=departure)
    server = directory.find(name)
    if server is None:
        return Dispute(server=name, kind='not-listed')
    if server.role != role:
        return Dispute(server=name, kind='other-role')
    return None


class GrantReview:
    """What one request has disputed, and which owners it passes over.

    Parameters
    ----------
    vm : str
        Name of this VM. Its own word is final.

    Attributes
    ----------
    passed_over : set of str
        Owners that the request does not ask again.
    """

    def __init__(self, vm):
        self._vm = vm
        self._departures = {}
        self._counts = collections.Counter()
        self.passed_over = set()

    @property
    def departures(self):
        """Departures that owners of this request did not know."""
        return tuple(self._departures.values())

    def may_ask_again(self, owner, dispute):
        """Note a dispute of an owner's grant; return whether to ask again."""
        if dispute.departure is not None:
            self._departures[dispute.server] = dispute.departure
        self._counts[owner, dispute.kind] += 1
        if self._counts[owner, dispute.kind] < DISPUTES_MAX[dispute.kind]:
            return True
        self.passed_over.add(owner)
        return owner != self._vm

    def may_ask_others(self, owner, kind, engines, software_version):
        """Return whether another owner is to be asked after a refusal.

        Parameters
        ----------
        owner, kind : str
            The VM that refused, and the kind of its refusal.
        engines : iterable of EngineServer
            The engines that this VM knows of.
        software_version : str
            Version that the stream must go on at; empty if any will do.
        """
        if kind not in LACKS_SERVERS or owner == self._vm:
            return False
        if owner in self.passed_over:
            return False
        self.passed_over.add(owner)
        return any(
            engine.role == 'decode'
            and software_version in ('', engine.software_version)
            for engine in engines
        )
