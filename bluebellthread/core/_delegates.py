"""The few VMs of a data centre that talk to the other data centres."""

from bluebellthread.core import _member_table as tables
from bluebellthread.core import _ownership

DELEGATE_COUNT = 2
"""VMs of a data centre that talk to the other data centres."""


def rank_delegates(place, names):
    """Return the delegates of a data centre, at most two.

    Examples
    --------
    >>> len(rank_delegates('cluj-a', ['vm1', 'vm2', 'vm3']))
    2
    """
    ranked = _ownership.rank_by_rendezvous(f'delegates/{place}', names)
    return ranked[:DELEGATE_COUNT]


def is_delegate(context):
    """Return whether this VM is a delegate of its data centre."""
    me = context.me.member
    live = [record.member.name for record in context.near_peers()]
    return me.name in rank_delegates(me.data_centre, [*live, me.name])


def remote_places(context):
    """Return the other data centres, in order."""
    places = {record.member.data_centre for record in context.table}
    return sorted(places - {context.me.member.data_centre})


def remote_targets(context, place):
    """Return a data centre's delegates, or all its VMs if none lives."""
    records = {
        record.member.name: record
        for record in context.table
        if record.member.data_centre == place
    }
    live = [
        name
        for name, record in records.items()
        if record.member.state != tables.DEAD
    ]
    names = rank_delegates(place, live) or sorted(records)
    return [records[name] for name in names]
