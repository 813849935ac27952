"""States of live and recently ended requests, for operators."""

import collections

import attrs

from bluebellthread import core

MAX_ENDED_REQUESTS = 1000
"""Maximum number of ended requests that are kept."""

STATE_IN_PROGRESS = 'in-progress'
STATE_UNKNOWN = 'unknown'


@attrs.define(eq=False, kw_only=True)
class RequestEntry:
    """One request in the log.

    Parameters
    ----------
    request_id : str
        The id from the caller; later requests may reuse it.
    state, detail : str
        Same meaning as the fields of `RequestFound`.
    """

    request_id: str
    state: str = STATE_IN_PROGRESS
    detail: str = ''


class RequestLog:
    """Records the live requests of this VM and the last ones that ended.

    Parameters
    ----------
    vm : str
        This VM's name.

    Examples
    --------
    >>> log = RequestLog(vm='vm1')
    >>> entry = log.begin('r1')
    >>> log.find('r1').state
    'in-progress'
    >>> log.end(entry, state='done')
    >>> log.find('r1').state, log.find('r2').state
    ('done', 'unknown')
    """

    def __init__(self, *, vm):
        self._vm = vm
        self._live = {}
        self._ended = collections.OrderedDict()

    def begin(self, request_id):
        """Add a live request; return its entry, the newest with this id."""
        entry = RequestEntry(request_id=request_id)
        self._live[request_id] = entry
        return entry

    def end(self, entry, *, state, detail=''):
        """Record how a request ended.

        Does nothing if a newer request of the same id has superseded it.
        """
        if self._live.get(entry.request_id) is not entry:
            return
        del self._live[entry.request_id]
        entry.state = state
        entry.detail = detail
        self._ended.pop(entry.request_id, None)
        self._ended[entry.request_id] = entry
        if len(self._ended) > MAX_ENDED_REQUESTS:
            self._ended.popitem(last=False)

    def find(self, request_id):
        """Return the state of the newest request with an id."""
        entry = self._live.get(request_id) or self._ended.get(request_id)
        if entry is None:
            entry = RequestEntry(request_id=request_id, state=STATE_UNKNOWN)
        return core.RequestFound(
            request_id=request_id,
            state=entry.state,
            vm=self._vm,
            detail=entry.detail,
        )
