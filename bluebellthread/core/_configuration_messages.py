"""Messages that carry revisions of the configuration between VMs."""

import attrs

from bluebellthread.core import _sections


@attrs.frozen(kw_only=True)
class RevisionAnnounced:
    """A VM has a new revision in force; wants no answer.

    Parameters
    ----------
    vm : str
        Where to fetch it.
    revision, digest : int
        Which one.
    """

    vm: str
    revision: int
    digest: int


@attrs.frozen(kw_only=True)
class ManifestRequest:
    """A VM says what it has in force and asks for what is newer.

    Parameters
    ----------
    vm : str
        The asking VM.
    revision, digest : int
        What it has in force; 0 for nothing.
    """

    vm: str
    revision: int
    digest: int


@attrs.frozen(kw_only=True)
class ManifestAnswer:
    """What the asked VM has in force.

    Parameters
    ----------
    revision, digest : int
        Which one; 0 for nothing.
    parts : tuple of ManifestPart
        Its sections, left out where it is not newer than the asker's.
    """

    revision: int
    digest: int
    parts: tuple[_sections.ManifestPart, ...] = ()


@attrs.frozen(kw_only=True)
class SectionsRequest:
    """Asks for sections by digest."""

    digests: tuple[int, ...]


@attrs.frozen(kw_only=True)
class SectionsAnswer:
    """The asked sections that the VM has, compressed."""

    payload: bytes
