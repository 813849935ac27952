"""Rendezvous hashing of keys to the VMs of the membership view.

When a VM joins or leaves, only the keys that it owns move.
"""

import hashlib


def rendezvous_weight(key, name):
    """Return the 64-bit rendezvous weight of a name for a key."""
    digest = hashlib.blake2b(f'{key}\0{name}'.encode(), digest_size=8)
    return int.from_bytes(digest.digest(), 'big')


def rank_by_rendezvous(key, names):
    """Return the names sorted by descending rendezvous weight for a key.

    Examples
    --------
    >>> sorted(rank_by_rendezvous('k', ['vm1', 'vm2'])) == ['vm1', 'vm2']
    True
    """
    return sorted(
        names, key=lambda name: rendezvous_weight(key, name), reverse=True
    )


def choose_owner(key, names):
    """Return the name that owns a key, or None if there are no names.

    Examples
    --------
    >>> choose_owner('k', []) is None
    True
    """
    ranked = rank_by_rendezvous(key, names)
    return ranked[0] if ranked else None
