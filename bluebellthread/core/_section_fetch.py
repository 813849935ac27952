"""Fetches the sections of a revision from another VM, in batches."""

import attrs

from bluebellthread.core import _configuration_messages as messages
from bluebellthread.core import _sections

BATCH_MAX = 16
"""Maximum number of sections in one request: some 60 KB of a configuration, or
256 routes, so that an answer arrives in time over a slow link and what has
arrived is kept when the next one is lost."""


@attrs.define(kw_only=True)
class _Fetch:
    """A revision that is being fetched, and the sections asked for last."""

    vm: str
    manifest: _sections.Manifest
    deadline_ms: int
    requested: tuple[int, ...] = ()


class SectionFetch:
    """Tracks which sections of one revision at a time are still missing.

    Sections are kept when a fetch ends early or another revision is fetched
    in its place, as far as that one has them too.

    Parameters
    ----------
    timeout_ms : int
        Timeout for the answer to one request.

    Examples
    --------
    >>> manifest, sections = _sections.split_value({'revision': 2, 'a': 1})
    >>> fetch = SectionFetch(timeout_ms=2000)
    >>> fetch.start('vm2', manifest, 0)
    >>> fetch.request_missing({}, 0).digests == tuple(sections)
    True
    >>> fetch.request_missing(sections, 0) is None
    True
    """

    def __init__(self, *, timeout_ms):
        self._timeout_ms = timeout_ms
        self._fetch = None
        self._received = {}

    @property
    def vm(self):
        """Name of the VM that is asked; None if nothing is fetched."""
        return self._fetch.vm if self._fetch else None

    def covers(self, key, now_ms):
        """Return whether a revision, or a newer one, is being fetched."""
        fetch = self._fetch
        if fetch is None or fetch.deadline_ms <= now_ms:
            return False
        return fetch.manifest.key() >= key

    def start(self, vm, manifest, now_ms):
        """Fetch a revision from a VM, in place of any other one."""
        self._fetch = _Fetch(
            vm=vm, manifest=manifest, deadline_ms=now_ms + self._timeout_ms
        )
        needed = set(manifest.section_digests())
        self._received = {
            digest: section
            for digest, section in self._received.items()
            if digest in needed
        }

    def expire(self, now_ms):
        """End the fetch if its last request was not answered in time."""
        if self._fetch and self._fetch.deadline_ms <= now_ms:
            self._fetch = None

    def drop_up_to(self, key):
        """End the fetch of a revision that is not newer than ``key``."""
        if self._fetch and self._fetch.manifest.key() <= key:
            self._fetch = None

    def note_failed(self, vm, request):
        """End the fetch if this request to a VM was its last one."""
        if self._is_awaited(vm, request):
            self._fetch = None

    def request_missing(self, present, now_ms):
        """Return the request for the next missing sections, None if none is.

        Parameters
        ----------
        present : dict
            Sections of the revision in force, by digest.
        """
        missing = self._list_missing(present)
        if not missing:
            return None
        self._fetch.requested = missing[:BATCH_MAX]
        self._fetch.deadline_ms = now_ms + self._timeout_ms
        return messages.SectionsRequest(digests=self._fetch.requested)

    def note_answer(self, vm, answer, request, present):
        """Keep the sections of an answer.

        Parameters
        ----------
        vm : str
            The VM that has answered.
        answer : SectionsAnswer
            Its answer.
        request : SectionsRequest or None
            The request that it answers; None if that is not known, which
            counts as the last one.
        present : dict
            Sections of the revision in force, by digest.

        Returns
        -------
        bool
            Whether the fetch goes on now: no section is missing any more, or
            the next ones can be asked for.
        """
        if self._fetch is None:
            return False
        is_awaited = self._is_awaited(vm, request)
        try:
            received = _sections.unpack_sections(answer.payload)
        except _sections.SectionError:
            received = {}
        missing = self._list_missing(present)
        useful = {d: received[d] for d in missing if d in received}
        self._received.update(useful)
        if len(useful) == len(missing):
            return True
        if is_awaited and not useful:
            # The VM has since applied a newer revision and dropped these
            # sections, or sent unreadable ones. The next exchange starts a
            # new fetch.
            self._fetch = None
            return False
        return is_awaited

    def take(self, present):
        """End a complete fetch; return its VM, manifest and sections."""
        fetch, self._fetch = self._fetch, None
        received, self._received = self._received, {}
        known = {**present, **received}
        sections = {d: known[d] for d in fetch.manifest.section_digests()}
        return fetch.vm, fetch.manifest, sections

    def _is_awaited(self, vm, request):
        fetch = self._fetch
        if fetch is None or vm != fetch.vm:
            return False
        if request is None:
            return True
        return (
            isinstance(request, messages.SectionsRequest)
            and request.digests == fetch.requested
        )

    def _list_missing(self, present):
        digests = self._fetch.manifest.section_digests()
        return tuple(
            d for d in digests if d not in present and d not in self._received
        )
