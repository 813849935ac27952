"""The stand-in engine's language: tokens that follow from the text so far."""

import hashlib

TOKENS_PER_BLOCK = 512
"""Tokens of one block of the prefix cache."""

CHARACTERS_PER_BLOCK = 2048
"""Characters of one block of the prefix cache."""

HASH_MASK = (1 << 63) - 1
"""The bits of a prefix hash."""

TOKEN_DIGITS = 5
"""Hexadecimal digits of one answer token."""


class Writer:
    """Writes one answer; each token follows from all the text before it.

    A writer that starts from a prompt and the first part of its answer
    therefore goes on exactly as the first one would have.

    Parameters
    ----------
    text : str
        The prompt, with the part of the answer that exists already.
    """

    def __init__(self, text):
        self._digest = hashlib.sha256(text.encode())

    def next_token(self):
        """Return the next token of the answer."""
        token = ' ' + self._digest.hexdigest()[:TOKEN_DIGITS]
        self._digest.update(token.encode())
        return token


def expected_answer(prompt, count):
    """Return the whole answer of so many tokens to a prompt.

    Examples
    --------
    >>> answer = expected_answer('a cracked glaze', 3)
    >>> first = expected_answer('a cracked glaze', 1)
    >>> answer == first + expected_answer('a cracked glaze' + first, 2)
    True
    """
    writer = Writer(prompt)
    return ''.join(writer.next_token() for _ in range(count))


def prefix_hashes(text):
    """Return a 63-bit number for each whole block, from the text's start.

    Examples
    --------
    >>> len(prefix_hashes('x' * 5000))
    2
    """
    digest = hashlib.blake2b(digest_size=8)
    hashes = []
    for end in range(
        CHARACTERS_PER_BLOCK, len(text) + 1, CHARACTERS_PER_BLOCK
    ):
        digest.update(text[end - CHARACTERS_PER_BLOCK : end].encode())
        hashes.append(int.from_bytes(digest.digest(), 'big') & HASH_MASK)
    return tuple(hashes)
