"""News that VMs pass on to each other, and whom each VM tells."""

import attrs

from bluebellthread.core import _ownership
from bluebellthread.core import _platform_health
from bluebellthread.core.routing import _crash_messages
from bluebellthread.core.routing import _departures
from bluebellthread.core.routing import _limit_messages

SUCCESSOR_COUNT = 2
"""Next VMs in the order of names that a VM tells. They make a ring, so that
news reaches every VM as long as no two neighbours are lost at once."""

SHORTCUT_COUNT = 4
"""Further VMs that a VM tells, so that news crosses a large fleet in a few
steps. They stay the same while other VMs come and go."""


@attrs.frozen(kw_only=True)
class News:
    """Tell a VM what it may not know; the answer is `NewsNoted`."""

    departures: tuple[_departures.Departure, ...] = ()
    ends: tuple[_crash_messages.EngineEnded, ...] = ()
    survivals: tuple[_crash_messages.PartSurvived, ...] = ()
    shut_outs: tuple[_crash_messages.ShutOut, ...] = ()
    limits: tuple[_limit_messages.ServerLimit, ...] = ()
    outages: tuple[_platform_health.Outage, ...] = ()


@attrs.frozen(kw_only=True)
class NewsNoted:
    """Answer that news has arrived."""


def choose_partners(vm, names):
    """Return the VMs that a VM passes news on to.

    Parameters
    ----------
    vm : str
        Name of the VM.
    names : iterable of str
        Names of the live VMs.

    Examples
    --------
    >>> sorted(choose_partners('b', ['a', 'b', 'c']))
    ['a', 'c']
    >>> len(choose_partners('vm1', [f'vm{n}' for n in range(390)]))
    6
    """
    others = sorted(set(names) - {vm})
    split = sum(name < vm for name in others)
    ring = others[split:] + others[:split]
    shortcuts = _ownership.rank_by_rendezvous(vm, ring[SUCCESSOR_COUNT:])
    return frozenset(ring[:SUCCESSOR_COUNT] + shortcuts[:SHORTCUT_COUNT])
