"""Deterministic answers of stand-in engines and hashes of prefixes."""

import hashlib

TOKENS_PER_BLOCK = 512
"""Tokens in a block of the prefix cache."""

CHARACTERS_PER_BLOCK = 2048
"""Characters in a block of the prefix cache."""

HASH_MASK = (1 << 63) - 1
"""Mask that reduces a prefix hash to its lowest 63 bits."""

TOKEN_DIGITS = 5
"""Hexadecimal digits in a token of an answer."""


class Writer:
    """Generates the tokens of an answer from a hash of all preceding text.

    A writer that starts from a prompt and the first part of its answer
    therefore generates the same remaining tokens as one that starts from the
    prompt alone.

    Parameters
    ----------
    text : str
        Prompt, followed by the part of the answer that exists already.
    """

    def __init__(self, text):
        self._digest = hashlib.sha256(text.encode())

    def next_token(self):
        """Return the next token of the answer."""
        token = ' ' + self._digest.hexdigest()[:TOKEN_DIGITS]
        self._digest.update(token.encode())
        return token


def expected_answer(prompt, count):
    """Return the answer of `count` tokens that an engine gives to a prompt.

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
    """Return a 63-bit hash of the prefix up to the end of each whole block.

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
