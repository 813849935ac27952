"""What became of recent requests, for operators."""

import collections

import attrs

from bluebellthread import core

LONGEST_LOG = 1000
"""Ended requests that are remembered."""

STATE_IN_PROGRESS = 'in-progress'
STATE_UNKNOWN = 'unknown'


@attrs.define(eq=False, kw_only=True)
class RequestEntry:
    """One request in the log.

    Parameters
    ----------
    request_id : str
        The caller's id; a later request may have the same.
    state, detail : str
        As in `RequestFound`.
    """

    request_id: str
    state: str = STATE_IN_PROGRESS
    detail: str = ''


class RequestLog:
    """Live requests and the last ended ones of this VM.

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
        """Return the entry of a new request, the newest of its id."""
        entry = RequestEntry(request_id=request_id)
        self._live[request_id] = entry
        return entry

    def end(self, entry, *, state, detail=''):
        """Note how a request ended.

        A request that a newer one of its id has superseded leaves that
        one's entry as it is.
        """
        if self._live.get(entry.request_id) is not entry:
            return
        del self._live[entry.request_id]
        entry.state = state
        entry.detail = detail
        self._ended.pop(entry.request_id, None)
        self._ended[entry.request_id] = entry
        if len(self._ended) > LONGEST_LOG:
            self._ended.popitem(last=False)

    def find(self, request_id):
        """Return a `RequestFound`."""
        entry = self._live.get(request_id) or self._ended.get(request_id)
        if entry is None:
            entry = RequestEntry(request_id=request_id, state=STATE_UNKNOWN)
        return core.RequestFound(
            request_id=request_id,
            state=entry.state,
            vm=self._vm,
            detail=entry.detail,
        )
