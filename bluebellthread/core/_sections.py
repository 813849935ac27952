"""Splits a configuration value into sections identified by their digests.

The boundaries of a list's sections depend on the digests of its items, not
on a fixed number of items. Adding or removing an item then changes few
sections, so that VMs fetch little data for a small change.
"""

import hashlib
import json
import zlib

import attrs

from bluebellthread.core import _errors

_ENCODER = json.JSONEncoder(
    sort_keys=True, separators=(',', ':'), allow_nan=False
)
REVISION_KEY = 'revision'
ITEMS_MEAN = 16
"""Mean number of list items in a section."""
ITEMS_MAX = 64
"""Maximum number of list items in a section."""
PAYLOAD_MAX_BYTES = 4 * 1024 * 1024
"""Maximum decompressed size of the sections in one message."""


class SectionError(_errors.BluebellthreadError):
    """Raised if sections are unreadable or do not match their manifest.

    Examples
    --------
    >>> str(SectionError('digest 5 is missing'))
    'digest 5 is missing; fetch the revision again'
    """

    def __init__(self, reason):
        super().__init__(f'{reason}; fetch the revision again')


@attrs.frozen(kw_only=True)
class ManifestPart:
    """Digests of the sections that hold the value of one key, in order.

    Parameters
    ----------
    key : str
        A key of the configuration value.
    is_list : bool
        Whether the value is a list, whose items are divided among the
        sections; any other value has exactly one section.
    digests : tuple of int
        Digests of the sections.
    """

    key: str
    is_list: bool
    digests: tuple[int, ...]


@attrs.frozen(kw_only=True)
class Manifest:
    """Digests of all sections of a configuration revision.

    Examples
    --------
    >>> Manifest(revision=3, parts=()).key()[0]
    3
    """

    revision: int
    parts: tuple[ManifestPart, ...]

    def digest(self):
        """Return the digest of the whole revision."""
        lines = [str(self.revision)]
        for part in self.parts:
            lines.append(f'{part.key} {part.is_list} {part.digests}')
        return digest_bytes('\n'.join(lines).encode())

    def key(self):
        """Return the sort key of the revision: its number, then its digest."""
        return (self.revision, self.digest())

    def section_digests(self):
        """Return the digests of all sections without duplicates."""
        digests = (d for part in self.parts for d in part.digests)
        return tuple(dict.fromkeys(digests))


def digest_bytes(data):
    """Return a 63-bit digest of some bytes.

    Examples
    --------
    >>> digest_bytes(b'a') == digest_bytes(b'a')
    True
    """
    digest = hashlib.blake2b(data, digest_size=8).digest()
    return int.from_bytes(digest, 'big') >> 1


def split_value(value):
    """Return the manifest of a configuration value and its sections.

    The sections are a dict of encoded JSON by digest.

    Parameters
    ----------
    value : dict
        An accepted configuration as decoded JSON.

    Examples
    --------
    >>> manifest, sections = split_value({'revision': 2, 'models': []})
    >>> manifest.revision, list(sections.values())
    (2, [b'[]'])
    """
    parts = []
    sections = {}
    for key in sorted(value):
        if key == REVISION_KEY:
            continue
        content = value[key]
        is_list = isinstance(content, list)
        chunks = _split_list(content) if is_list else [_encode(content)]
        digests = tuple(digest_bytes(chunk) for chunk in chunks)
        sections.update(zip(digests, chunks, strict=True))
        parts.append(ManifestPart(key=key, is_list=is_list, digests=digests))
    manifest = Manifest(revision=value[REVISION_KEY], parts=tuple(parts))
    return manifest, sections


def join_value(manifest, sections):
    """Return the configuration value that a manifest describes.

    Raise `SectionError` if a section is missing, unreadable or of another
    type than the manifest says.

    Examples
    --------
    >>> join_value(*split_value({'revision': 2, 'models': [{'name': 'm'}]}))
    {'revision': 2, 'models': [{'name': 'm'}]}
    """
    value = {REVISION_KEY: manifest.revision}
    for part in manifest.parts:
        contents = [_decode(digest, sections) for digest in part.digests]
        if part.is_list and all(isinstance(c, list) for c in contents):
            value[part.key] = [item for chunk in contents for item in chunk]
        elif not part.is_list and len(contents) == 1:
            value[part.key] = contents[0]
        else:
            raise SectionError(
                f'the sections of {part.key!r} do not match the manifest'
            )
    return value


def pack_sections(sections):
    """Join sections into one compressed payload.

    Examples
    --------
    >>> unpack_sections(pack_sections([b'[1]', b'{}'])) == {
    ...     digest_bytes(b'[1]'): b'[1]', digest_bytes(b'{}'): b'{}'}
    True
    """
    # Sections are JSON without line breaks, so line breaks separate them.
    return zlib.compress(b'\n'.join(sections))


def unpack_sections(payload):
    """Return the sections of a payload by digest, or raise `SectionError`."""
    decompressor = zlib.decompressobj()
    try:
        data = decompressor.decompress(payload, PAYLOAD_MAX_BYTES)
    except zlib.error as error:
        raise SectionError(
            f'the payload of sections could not be decompressed ({error})'
        ) from error
    if not decompressor.eof:
        raise SectionError('the payload of sections is too long or truncated')
    if not data:
        return {}
    return {digest_bytes(chunk): chunk for chunk in data.split(b'\n')}


def _split_list(items):
    chunks = []
    chunk = []
    for item in items:
        encoded = _encode(item)
        chunk.append(encoded)
        ends = digest_bytes(encoded) % ITEMS_MEAN == 0
        if ends or len(chunk) == ITEMS_MAX:
            chunks.append(_join_items(chunk))
            chunk = []
    if chunk or not chunks:
        chunks.append(_join_items(chunk))
    return chunks


def _join_items(encoded_items):
    return b'[' + b','.join(encoded_items) + b']'


def _encode(content):
    return _ENCODER.encode(content).encode()


def _decode(digest, sections):
    if digest not in sections:
        raise SectionError(f'section {digest:x} is missing')
    try:
        return json.loads(sections[digest])
    except (RecursionError, ValueError) as error:
        raise SectionError(f'section {digest:x} is not valid JSON') from error
