"""Chooses the delegates of each data centre.

Delegates exchange membership updates with other data centres.
"""

from bluebellthread.core import _member_table as tables
from bluebellthread.core import _ownership

DELEGATE_COUNT = 2
"""Number of delegates of each data centre."""


def rank_delegates(data_centre, names):
    """Return the delegates of a data centre, at most `DELEGATE_COUNT`.

    Examples
    --------
    >>> len(rank_delegates('cluj-a', ['vm1', 'vm2', 'vm3']))
    2
    """
    ranked = _ownership.rank_by_rendezvous(f'delegates/{data_centre}', names)
    return ranked[:DELEGATE_COUNT]


def is_delegate(context):
    """Return whether this VM is a delegate of its data centre."""
    me = context.me.member
    live = [record.member.name for record in context.local_peers()]
    return me.name in rank_delegates(me.data_centre, [*live, me.name])


def remote_data_centres(context):
    """Return the names of the other known data centres, sorted."""
    data_centres = {record.member.data_centre for record in context.table}
    return sorted(data_centres - {context.me.member.data_centre})


def remote_targets(context, data_centre):
    """Return the records of a data centre's delegates.

    If all its VMs are dead, return the records of all of them.
    """
    records = {
        record.member.name: record
        for record in context.table
        if record.member.data_centre == data_centre
    }
    live = [
        name
        for name, record in records.items()
        if record.member.state != tables.DEAD
    ]
    names = rank_delegates(data_centre, live) or sorted(records)
    return [records[name] for name in names]
