"""Hashes that identify the leading blocks of a prompt."""

import hashlib

BLOCK_CHARACTERS = 2048
"""Characters in one prefix block, about 512 tokens."""

MAX_HASHES = 32
"""Maximum hashes of one prompt; prompts seldom have later blocks in common."""

_HASH_MASK = (1 << 63) - 1


def hash_prefixes(text):
    """Return a 63-bit hash for each full leading block of a text.

    Each hash covers the text from its start to the end of the block, so
    that equal hashes imply equal prefixes.

    Examples
    --------
    >>> hash_prefixes('short')
    ()
    >>> first, second = hash_prefixes('x' * 4096)
    >>> first == hash_prefixes('x' * 2048)[0]
    True
    """
    digest = hashlib.blake2b(digest_size=8)
    hashes = []
    whole_blocks = min(len(text) // BLOCK_CHARACTERS, MAX_HASHES)
    for index in range(whole_blocks):
        start = index * BLOCK_CHARACTERS
        digest.update(text[start : start + BLOCK_CHARACTERS].encode())
        number = int.from_bytes(digest.copy().digest(), 'big')
        hashes.append(number & _HASH_MASK)
    return tuple(hashes)
