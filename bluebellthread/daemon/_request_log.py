"""What became of recent requests, for operators."""

import collections

from bluebellthread import core

LONGEST_LOG = 1000
"""Ended requests that are remembered."""


class RequestLog:
    """Live requests and the last ended ones of this VM.

    Parameters
    ----------
    vm : str
        This VM's name.

    Examples
    --------
    >>> log = RequestLog(vm='vm1')
    >>> log.note('r1', 'waiting')
    >>> log.find('r1').state
    'waiting'
    >>> log.find('r2').state
    'unknown'
    """

    def __init__(self, *, vm):
        self._vm = vm
        self._live = {}
        self._ended = collections.OrderedDict()

    def note(self, request_id, state, detail=''):
        """Note where a live request is."""
        self._live[request_id] = (state, detail)

    def end(self, request_id, state, detail=''):
        """Note how a request ended."""
        self._live.pop(request_id, None)
        self._ended.pop(request_id, None)
        self._ended[request_id] = (state, detail)
        if len(self._ended) > LONGEST_LOG:
            self._ended.popitem(last=False)

    def find(self, request_id):
        """Return a `RequestFound`."""
        unknown = ('unknown', '')
        state, detail = self._live.get(
            request_id, self._ended.get(request_id, unknown)
        )
        return core.RequestFound(
            request_id=request_id, state=state, vm=self._vm, detail=detail
        )
