"""Which VM owns a key: a function of the membership view alone.

Rendezvous hashing moves only the keys of a VM that comes or goes.
"""

import hashlib


def weigh(key, name):
    """Return the weight of a VM for a key, a 64-bit number."""
    digest = hashlib.blake2b(f'{key}\0{name}'.encode(), digest_size=8)
    return int.from_bytes(digest.digest(), 'big')


def rank_by_rendezvous(key, names):
    """Return the names from the first owner of a key to the last.

    Examples
    --------
    >>> sorted(rank_by_rendezvous('k', ['vm1', 'vm2'])) == ['vm1', 'vm2']
    True
    """
    return sorted(names, key=lambda name: weigh(key, name), reverse=True)


def choose_owner(key, names):
    """Return the owner of a key, or None if there are no names.

    Examples
    --------
    >>> choose_owner('k', []) is None
    True
    """
    ranked = rank_by_rendezvous(key, names)
    return ranked[0] if ranked else None
