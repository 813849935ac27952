"""Gathers at a service's owner which engines are silent for several VMs.

The load pattern: an engine goes dark under load. The VMs that have streams
there notice the silence one after another; each avoids the engine from then
on, but the others go on placing streams there, and those that may run only
once are lost.
"""

import collections

KEEP_MS = 3000
"""How long a VM's word counts, unless its next request says otherwise. In a
large fleet a VM asks only every few seconds."""

REPORTERS_MIN = 2
"""VMs that must say so: one alone may have lost its own path."""


class SilenceReports:
    """Remember the engines that each VM avoids at present.

    Examples
    --------
    >>> reports = SilenceReports()
    >>> reports.note('vm1', ('d1', 'd2'), 0)
    >>> reports.note('vm2', ('d2',), 10)
    >>> reports.list_silent(20)
    ('d2',)
    >>> reports.note('vm1', (), 30)
    >>> reports.list_silent(40)
    ()
    """

    def __init__(self):
        self._reports = {}

    def note(self, vm, servers, now_ms):
        """Note which engines a VM avoids by the word of its last request."""
        if servers:
            self._reports[vm] = (now_ms, tuple(servers))
        else:
            self._reports.pop(vm, None)

    def list_silent(self, now_ms):
        """Return the names of the engines that several VMs avoid, sorted."""
        if len(self._reports) < REPORTERS_MIN:
            return ()
        counts = collections.Counter()
        for vm, (noted_ms, servers) in list(self._reports.items()):
            if now_ms - noted_ms > KEEP_MS:
                del self._reports[vm]
            else:
                counts.update(set(servers))
        return tuple(
            sorted(
                name
                for name, count in counts.items()
                if count >= REPORTERS_MIN
            )
        )
