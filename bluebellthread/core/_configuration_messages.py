"""Messages that carry revisions of the configuration between VMs."""

import attrs

from bluebellthread.core import _sections


@attrs.frozen(kw_only=True)
class RevisionAnnounced:
    """Notify a VM that the sender has a new revision in force.

    The message is not answered.

    Parameters
    ----------
    vm : str
        The sender, from which the revision can be fetched.
    revision, digest : int
        Number and digest of the revision.
    """

    vm: str
    revision: int
    digest: int


@attrs.frozen(kw_only=True)
class ManifestRequest:
    """Request the manifest of a newer revision than the sender's.

    Parameters
    ----------
    vm : str
        The sender.
    revision, digest : int
        Number and digest of the revision that the sender has in force; 0
        if it has none.
    asks_to_watch : bool
        Whether the receiver has to watch the platform, since the sender should
        but gets no answer.
    """

    vm: str
    revision: int
    digest: int
    asks_to_watch: bool = False


@attrs.frozen(kw_only=True)
class ManifestAnswer:
    """Answer a `ManifestRequest` with the revision in force.

    Parameters
    ----------
    revision, digest : int
        Number and digest of the revision in force; 0 if there is none.
    parts : tuple of ManifestPart
        Digests of its sections; empty if the revision is not newer than
        the one in the request.
    platform_age_ms : int
        Time since any VM has read the platform, as far as the sender knows;
        -1 if the sender does not keep track of it.
    """

    revision: int
    digest: int
    parts: tuple[_sections.ManifestPart, ...] = ()
    platform_age_ms: int = -1


@attrs.frozen(kw_only=True)
class SectionsRequest:
    """Request sections of a revision by their digests."""

    digests: tuple[int, ...]


@attrs.frozen(kw_only=True)
class SectionsAnswer:
    """Answer a `SectionsRequest` with the sections that the VM has.

    Parameters
    ----------
    payload : bytes
        The sections, as compressed by `pack_sections`.
    """

    payload: bytes
