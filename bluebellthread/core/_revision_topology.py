"""Choice of the VMs that watch, announce and exchange configuration revisions.

Every choice is a function of the membership view. VMs with the same view
therefore agree without messages, and no VM sends to more than a constant
number of others.
"""

from bluebellthread.core import _ownership

WATCHERS = 2
"""Number of VMs in a data centre that watch the platform."""
SUBSTITUTES_MAX = 6
"""Largest number of VMs in a data centre that watch the platform while the
chosen watchers do not read it. All of them may read the whole revision at the
same time when the platform returns."""
FANOUT = 4
"""Maximum children of a VM in the tree along which a revision is announced."""
PARTNERS = 6
"""Maximum number of VMs with which one VM exchanges digests, one at a time."""


def choose_watchers(data_centre, names, count=WATCHERS):
    """Return the VMs of a data centre that watch the platform.

    Parameters
    ----------
    data_centre : str
        Name of the data centre.
    names : list of str
        Names of its VMs.
    count : int
        Number of VMs to choose.

    Examples
    --------
    >>> len(choose_watchers('cluj-a', ['vm1', 'vm2', 'vm3']))
    2
    """
    key = f'configuration-watch/{data_centre}'
    return _ownership.rank_by_rendezvous(key, names)[:count]


def choose_partners(vm, names):
    """Return the VMs that a VM exchanges digests with.

    Examples
    --------
    >>> choose_partners('vm1', ['vm1', 'vm2'])
    ['vm2']
    """
    others = [name for name in names if name != vm]
    key = f'configuration-partner/{vm}'
    return _ownership.rank_by_rendezvous(key, others)[:PARTNERS]


def order_tree(revision, names):
    """Return the VMs in the order of a revision's tree, the root first.

    The order differs between revisions, so that the load of the tree's
    inner nodes is spread over the VMs.

    Examples
    --------
    >>> sorted(order_tree(7, ['vm1', 'vm2']))
    ['vm1', 'vm2']
    """
    return _ownership.rank_by_rendezvous(f'revision/{revision}', names)


def list_children(vm, tree):
    """Return the children of a VM in a tree from `order_tree`.

    Examples
    --------
    >>> list_children('b', ['a', 'b', 'c', 'd', 'e', 'f', 'g'])
    ['f', 'g']
    """
    if vm not in tree:
        return []
    first = FANOUT * tree.index(vm) + 1
    return tree[first : first + FANOUT]
