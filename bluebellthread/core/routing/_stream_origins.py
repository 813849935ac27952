"""Where streams began: the service and the software version of each.

A stream may go on only at the version that began it. Its caller names the
attempt that brought the first event, maybe at another VM, so the VM that
passed that event on tells a few others, and a VM that is asked to go on with a
stream asks them. Nothing is persisted.
"""

import hashlib

import attrs

ATTEMPT_ID_MAX_CHARACTERS = 64
"""Longest id of an attempt that records hold as it is. Callers choose ids, and
several VMs hold and send each of them."""

DIGEST_BYTES = 16

STREAM_LIFE_MS = 30_000
"""Longest time after its first event in which a stream is taken up again: as
long as callers commonly wait."""

LIST_AGE_MAX_MS = 6000
"""Age of the platform's last answer up to which a VM takes its list for
complete: a watch without changes, its timeout and the pause before it."""

ORIGIN_COUNT_MAX = 65_536
"""Most records that one VM keeps, some 15 MB: twice what a VM holds at the
target, with 280 streams a second for the service that it owns."""


@attrs.frozen(kw_only=True)
class StreamOrigin:
    """The service and version at which a stream began.

    Parameters
    ----------
    attempt_id : str
        Id of the caller's attempt that brought the first event.
    serves : str
        Service whose engine made that event.
    software_version : str
        Version of that engine.
    keep_deadline_ms : int
        When the record may be dropped.
    """

    attempt_id: str
    serves: str
    software_version: str
    keep_deadline_ms: int


@attrs.frozen(kw_only=True)
class StreamsBegan:
    """Tell a VM where streams began; there is no answer."""

    origins: tuple[StreamOrigin, ...]


@attrs.frozen(kw_only=True)
class OriginAsk:
    """Ask a VM where a stream began.

    Parameters
    ----------
    attempt_id : str
        Id of the attempt that brought its first event; empty to ask only
        for the versions of the service.
    serves : str
        Service that the caller's route leads to.
    """

    attempt_id: str
    serves: str


@attrs.frozen(kw_only=True)
class OriginAnswer:
    """Answer where a stream began, as far as the VM knows.

    Parameters
    ----------
    origins : tuple of StreamOrigin
        The record of the stream; empty if there is none.
    versions : tuple of str
        Versions that the VM has seen of the service's engines in the last
        `STREAM_LIFE_MS`.
    knows_all_versions : bool
        Whether the VM has known the list of servers for so long, and still
        does.
    """

    origins: tuple[StreamOrigin, ...]
    versions: tuple[str, ...]
    knows_all_versions: bool


def shorten_attempt_id(attempt_id):
    """Return what stands for the id of an attempt in records.

    It is the same at every VM.

    Examples
    --------
    >>> shorten_attempt_id('a1'), len(shorten_attempt_id(1000 * 'a'))
    ('a1', 32)
    """
    if len(attempt_id) <= ATTEMPT_ID_MAX_CHARACTERS:
        return attempt_id
    data = attempt_id.encode(errors='surrogateescape')
    return hashlib.blake2b(data, digest_size=DIGEST_BYTES).hexdigest()


class OriginRecords:
    """Remember where streams began for as long as they may be taken up again.

    Examples
    --------
    >>> records = OriginRecords()
    >>> records.add(StreamOrigin(attempt_id='a', serves='s',
    ...     software_version='v1', keep_deadline_ms=10), 0)
    >>> records.find('a', 5).software_version
    'v1'
    >>> records.find('a', 10) is None
    True
    """

    def __init__(self):
        self._origins = {}

    def __len__(self):
        return len(self._origins)

    def add(self, origin, now_ms):
        """Add a record, or keep a known one for longer."""
        known = self._origins.pop(origin.attempt_id, origin)
        if known.keep_deadline_ms < origin.keep_deadline_ms:
            known = attrs.evolve(
                known, keep_deadline_ms=origin.keep_deadline_ms
            )
        self._origins[origin.attempt_id] = known
        self._drop_oldest(now_ms)

    def find(self, attempt_id, now_ms):
        """Return the record of a stream, or None."""
        origin = self._origins.get(attempt_id)
        if origin is None or origin.keep_deadline_ms <= now_ms:
            return None
        return origin

    def list_of(self, service, now_ms):
        """Return the records of a service's streams."""
        return [
            origin
            for origin in self._origins.values()
            if origin.serves == service and origin.keep_deadline_ms > now_ms
        ]

    def _drop_oldest(self, now_ms):
        while self._origins:
            oldest = next(iter(self._origins.values()))
            if (
                oldest.keep_deadline_ms > now_ms
                and len(self._origins) <= ORIGIN_COUNT_MAX
            ):
                return
            del self._origins[oldest.attempt_id]


class VersionHistory:
    """Remember which software versions the engines of each service had.

    Parameters
    ----------
    is_first_start : bool
        Whether the whole system starts for the first time, so that no stream
        is older than this process's first list of servers.

    Examples
    --------
    >>> history = VersionHistory(is_first_start=True)
    >>> history.note_list(0)
    >>> history.note_answered(0)
    >>> history.note_versions([('s', 'v1')], 0)
    >>> history.knows_all(5), history.find_recent('s', 5)
    (True, ('v1',))
    >>> history.note_versions([('s', 'v2')], STREAM_LIFE_MS)
    >>> history.find_recent('s', STREAM_LIFE_MS + 1)
    ('v2',)
    """

    def __init__(self, *, is_first_start):
        self._is_first_start = is_first_start
        self._known_since_ms = None
        self._answered_ms = None
        self._heard_ms = None
        self._seen_ms = {}

    def note_list(self, now_ms, *, is_restored=False):
        """Note that a whole list was read; to be called before its answer.

        What came before it is unknown, unless the platform had answered just
        before, as when it has dropped the changes that a watch asked for.

        Parameters
        ----------
        is_restored : bool
            Whether the platform was restored from a copy, which may lack
            changes that were made before.
        """
        if (
            not is_restored
            and self._heard_ms is not None
            and now_ms <= self._heard_ms + LIST_AGE_MAX_MS
        ):
            return
        is_first = self._known_since_ms is None
        self._known_since_ms = now_ms
        if is_first and self._is_first_start:
            self._known_since_ms = now_ms - STREAM_LIFE_MS

    @property
    def has_list(self):
        """Whether a whole list was read."""
        return self._known_since_ms is not None

    def note_told(self, versions, now_ms):
        """Note what a VM that knows all versions has told after the list.

        Parameters
        ----------
        versions : iterable of (str, str)
            Service and software version of each engine of late.
        now_ms : int
            The time.
        """
        self.note_versions(versions, now_ms)
        self._known_since_ms = min(
            self._known_since_ms, now_ms - STREAM_LIFE_MS
        )

    def note_answered(self, now_ms):
        """Note that the platform has told all changes up to now."""
        self._answered_ms = self._heard_ms = now_ms

    def note_failed(self):
        """Note that the platform tells no changes for now."""
        self._answered_ms = None

    def note_versions(self, versions, now_ms):
        """Note the versions that are listed.

        Parameters
        ----------
        versions : iterable of (str, str)
            Service and software version of each listed engine.
        """
        for service, version in versions:
            self._seen_ms.setdefault(service, {})[version] = now_ms

    def knows_all(self, now_ms):
        """Return whether all versions of `STREAM_LIFE_MS` were seen.

        A VM that the platform turns away may miss some, even if it hears from
        others which servers leave.
        """
        return (
            self._known_since_ms is not None
            and self._answered_ms is not None
            and now_ms <= self._answered_ms + LIST_AGE_MAX_MS
            and self._known_since_ms <= now_ms - STREAM_LIFE_MS
        )

    def find_recent(self, service, now_ms):
        """Return the versions of a service seen in `STREAM_LIFE_MS`."""
        return tuple(
            version
            for version, seen_ms in self._seen_ms.get(service, {}).items()
            if seen_ms >= now_ms - STREAM_LIFE_MS
        )
