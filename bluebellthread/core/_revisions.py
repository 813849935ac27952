"""Distributes configuration revisions and decides which is in force.

A VM applies only complete revisions that it has checked itself, and never
an older one. Revisions are ordered by number. If a number was published
twice with different contents, VMs agree on the one with the higher
digest. The platform is only one source of revisions, and it can lag behind
the fleet for long.
"""

import random

import attrs

from bluebellthread.core import _configuration_messages as messages
from bluebellthread.core import _problems
from bluebellthread.core import _revision_builds
from bluebellthread.core import _revision_events as events
from bluebellthread.core import _revision_options
from bluebellthread.core import _revision_topology
from bluebellthread.core import _scheduler_events
from bluebellthread.core import _sections
from bluebellthread.core import _watch_duty

NO_REVISION_KEY = (0, 0)
INVALID_KEYS_MAX = 16
SECTIONS_MAX = 16
"""Maximum number of sections in one request: some 60 KB of a configuration, or
256 routes, so that an answer arrives in time over a slow link and what has
arrived is kept when the next one is lost."""
PROBES_MAX = 16
"""Maximum number of VMs asked together whether their build knows the messages
about revisions: half of the calls that a VM keeps in flight."""


@attrs.frozen(kw_only=True)
class _LocalRevision:
    key: tuple
    manifest: _sections.Manifest
    sections: dict


@attrs.define(kw_only=True)
class _Fetch:
    """A revision that is being fetched, and the sections asked for last."""

    vm: str
    manifest: _sections.Manifest
    deadline_ms: int
    requested: tuple[int, ...] = ()


class Revisions:
    """Track one VM's configuration revision, as a pure state machine.

    Parameters
    ----------
    vm, data_centre : str
        Names of this VM and its data centre.
    build_configuration : callable
        Function that takes a value as decoded JSON and returns its
        `Configuration`, or raises `ConfigurationError`.
    rng : random.Random
        The only source of randomness.
    options : RevisionOptions
        Intervals, timeouts and switches.

    Examples
    --------
    >>> revisions = Revisions(
    ...     vm='vm1',
    ...     data_centre='cluj-a',
    ...     build_configuration=lambda value: None,
    ... )
    >>> revisions.revision
    0
    """

    def __init__(
        self, *, vm, data_centre, build_configuration, rng=None, options=None
    ):
        self._vm = vm
        self._data_centre = data_centre
        self._build_configuration = build_configuration
        self._rng = rng or random.Random(0)
        self._options = options or _revision_options.RevisionOptions()
        self._current = None
        self._invalid = {}
        self._fetch = None
        self._received = {}
        self._names = [vm]
        self._view = None
        self._builds = _revision_builds.PeerBuilds()
        self._remote_watchers = ()
        self._exchanges = 0
        self._remote_exchanges = 0
        self._next_exchange_ms = 0
        self._next_remote_ms = 0
        self._start_deadline_ms = None
        self._deferred_publication = None
        self._started = not self._options.waits_for_peers_at_start
        self._awaited_at_start = None
        self._duty = _watch_duty.WatchDuty(
            vm=vm,
            data_centre=data_centre,
            options=self._options,
            rng=self._rng,
        )
        self.watching = False
        self.invalid_revision = 0
        self.stale_revision = 0
        self._handlers = {
            _scheduler_events.Tick: self._on_tick,
            events.RevisionPublished: self._on_published,
            events.PlatformAnswered: self._on_platform_answered,
            events.PublishedInvalid: self._on_published_invalid,
            events.PeerAsked: self._on_peer_asked,
            events.PeerAnswered: self._on_peer_answered,
            events.PeerFailed: self._on_peer_failed,
        }

    @property
    def revision(self):
        """Number of the revision in force; 0 if there is none."""
        return self._key()[0]

    @property
    def digest(self):
        """Digest of the revision in force; 0 if there is none."""
        return self._key()[1]

    @property
    def partners(self):
        """Names of the VMs that this VM exchanges digests with."""
        return _revision_topology.choose_partners(self._vm, self._names)

    def handle(self, event, now_ms):
        """Process one event and return the resulting commands."""
        if self._start_deadline_ms is None:
            self._start_deadline_ms = now_ms + self._options.start_timeout_ms
        commands = self._handlers[type(event)](event, now_ms)
        if self._have_start_peers_answered():
            commands = commands + self._end_start_wait(now_ms)
        return commands

    def change_view(self, view, now_ms):
        """Update to a new membership view and return resulting commands."""
        had_peers = len(self._names) > 1
        self._view = view
        self._choose_names(now_ms)
        commands = self._update_watching(now_ms)
        asked = ()
        if len(self._names) > 1 and not had_peers:
            asked = self.partners
            self._awaited_at_start = set(asked)
            commands.extend(self.make_manifest_request(name) for name in asked)
        return commands + self._ask_unknown_builds(asked)

    def _choose_names(self, now_ms):
        """Choose the VMs that take part, by the view and the peers' builds."""
        members = self._builds.leave_out_older(self._view.members)
        view = attrs.evolve(self._view, members=members)
        local_members = view.in_data_centre(self._data_centre)
        # The view may not include this VM yet, but a VM has to work even
        # without peers.
        names = {member.name for member in local_members} | {self._vm}
        self._names = sorted(names)
        self._duty.set_names(self._names, now_ms)
        self._remote_watchers = self._choose_remote_watchers(view)

    def _ask_unknown_builds(self, asked=()):
        """Return requests to VMs of the data centre that never answered.

        Possible watchers come first.

        Parameters
        ----------
        asked : sequence of str
            VMs that have just been asked.
        """
        if not self._options.leaves_out_older_builds or self._view is None:
            return []
        members = self._view.in_data_centre(self._data_centre)
        unknown = [
            name
            for name in self._builds.list_unknown(members)
            if name != self._vm
        ]
        ranked = _revision_topology.choose_watchers(
            self._data_centre, unknown, PROBES_MAX
        )
        return [
            self.make_manifest_request(name)
            for name in ranked
            if name not in asked
        ]

    def _note_build(self, event, now_ms):
        """Note whether a VM's build knows the messages about revisions."""
        member = self._view.find(event.vm) if self._view else None
        if member is None or not self._options.leaves_out_older_builds:
            return []
        if not self._builds.note_answer(member, event.message):
            return []
        self._choose_names(now_ms)
        return self._update_watching(now_ms)

    def _update_watching(self, now_ms):
        watching = self._duty.is_due(
            now_ms, has_revision=self._current is not None
        )
        if watching == self.watching:
            return []
        self.watching = watching
        return [events.WatchPlatform(active=watching)]

    def _choose_remote_watchers(self, view):
        remote_names = {}
        for member in view.members:
            if member.state in ('alive', 'suspect'):
                remote_names.setdefault(member.data_centre, []).append(
                    member.name
                )
        remote_names.pop(self._data_centre, None)
        return tuple(
            name
            for data_centre in sorted(remote_names)
            for name in _revision_topology.choose_watchers(
                data_centre, remote_names[data_centre]
            )
        )

    def _key(self):
        return self._current.key if self._current else NO_REVISION_KEY

    def _on_platform_answered(self, event, now_ms):
        self._duty.note_platform_answer(now_ms)
        return []

    def _on_tick(self, event, now_ms):
        commands = []
        self._duty.note_tick(now_ms)
        if self._view is not None:
            commands.extend(self._update_watching(now_ms))
        if self._fetch and self._fetch.deadline_ms <= now_ms:
            self._fetch = None
        if not self._started and self._start_deadline_ms <= now_ms:
            commands.extend(self._end_start_wait(now_ms))
        if not self._options.exchanges_digests:
            return commands
        if self._next_exchange_ms <= now_ms:
            interval_ms = (
                self._options.exchange_interval_ms
                if self._current
                else self._options.first_exchange_interval_ms
            )
            self._next_exchange_ms = now_ms + self._add_jitter(interval_ms)
            commands.extend(self._ask_partner())
            commands.extend(self._ask_unknown_builds())
        if self.watching and self._next_remote_ms <= now_ms:
            self._next_remote_ms = now_ms + self._add_jitter(
                self._options.remote_interval_ms
            )
            commands.extend(self._ask_remote_watcher())
        return commands

    def _add_jitter(self, interval_ms):
        return round(interval_ms * self._rng.uniform(0.5, 1.5))

    def _ask_partner(self):
        partners = self.partners
        if not partners:
            return []
        self._exchanges += 1
        return [
            self.make_manifest_request(
                partners[self._exchanges % len(partners)]
            )
        ]

    def _ask_remote_watcher(self):
        if not self._remote_watchers:
            return []
        self._remote_exchanges += 1
        index = self._remote_exchanges % len(self._remote_watchers)
        return [self.make_manifest_request(self._remote_watchers[index])]

    def make_manifest_request(self, name):
        """Return a command that requests a newer revision's manifest.

        Parameters
        ----------
        name : str
            The VM to ask.
        """
        revision, digest = self._key()
        return events.AskPeer(
            vm=name,
            message=messages.ManifestRequest(
                vm=self._vm, revision=revision, digest=digest
            ),
        )

    def _have_start_peers_answered(self):
        # `_awaited_at_start` is None until this VM asks its first peers, and
        # empty once all of them have answered or failed.
        if self._started or self._awaited_at_start is None:
            return False
        return not self._awaited_at_start and self._fetch is None

    def _end_start_wait(self, now_ms):
        self._started = True
        published, self._deferred_publication = (
            self._deferred_publication,
            None,
        )
        if published is None:
            return []
        return self._on_published(published, now_ms)

    def _on_published(self, event, now_ms):
        if not self._started:
            self._deferred_publication = event
            return []
        manifest, sections = _sections.split_value(event.value)
        key = manifest.key()
        self.stale_revision = 0
        if key == self._key():
            return []
        if key[0] == self.revision:
            return [events.ReportConflict(revision=key[0], source='')]
        if key[0] < self.revision and self._options.ignores_older_revisions:
            self.stale_revision = key[0]
            return [
                events.ReportStale(
                    served_revision=key[0], in_force_revision=self.revision
                )
            ]
        accepted = _LocalRevision(
            key=key, manifest=manifest, sections=sections
        )
        return self._apply(accepted, event.configuration, source='')

    def _on_published_invalid(self, event, now_ms):
        self.invalid_revision = event.revision
        return [
            events.ReportInvalid(
                revision=event.revision, problems=event.problems
            )
        ]

    def _apply(self, accepted, configuration, *, source):
        self._current = accepted
        if accepted.key[0] >= self.invalid_revision:
            self.invalid_revision = 0
        if self._fetch and self._fetch.manifest.key() <= accepted.key:
            self._fetch = None
        applied = events.ApplyConfiguration(
            configuration=configuration, source=source
        )
        return [applied] + self._announce(source)

    def _announce(self, source):
        tree = _revision_topology.order_tree(self.revision, self._names)
        receivers = _revision_topology.list_children(self._vm, tree)
        if source not in self._names and tree[0] != self._vm:
            # The revision came from outside the data centre, so the tree's
            # root doesn't have it yet.
            receivers = receivers + [tree[0]]
        return [self._announce_to(name) for name in receivers]

    def _announce_to(self, name):
        revision, digest = self._key()
        return events.TellPeer(
            vm=name,
            message=messages.RevisionAnnounced(
                vm=self._vm, revision=revision, digest=digest
            ),
        )

    def _on_peer_asked(self, event, now_ms):
        message = event.message
        if isinstance(message, messages.SectionsRequest):
            answer = self._answer_sections(message)
            return [events.AnswerPeer(token=event.token, message=answer)]
        commands = []
        if isinstance(message, messages.ManifestRequest):
            answer = self._answer_manifest(message, now_ms)
            commands.append(
                events.AnswerPeer(token=event.token, message=answer)
            )
        key = (message.revision, message.digest)
        if key > self._key() and not self._is_fetching(key, now_ms):
            commands.append(self.make_manifest_request(message.vm))
        return commands

    def _answer_manifest(self, message, now_ms):
        revision, digest = self._key()
        parts = ()
        if (revision, digest) > (message.revision, message.digest):
            parts = self._current.manifest.parts
        return messages.ManifestAnswer(
            revision=revision,
            digest=digest,
            parts=parts,
            platform_age_ms=self._duty.measure_platform_age_ms(now_ms),
        )

    def _answer_sections(self, message):
        sections = self._current.sections if self._current else {}
        found = [sections[d] for d in message.digests if d in sections]
        return messages.SectionsAnswer(payload=_sections.pack_sections(found))

    def _on_peer_answered(self, event, now_ms):
        self._note_start_answer(event.vm)
        commands = self._note_build(event, now_ms)
        if isinstance(event.message, messages.ManifestAnswer):
            return commands + self._on_manifest(event, now_ms)
        if isinstance(event.message, messages.SectionsAnswer):
            return commands + self._on_sections(event, now_ms)
        # For example, a refusal by a VM whose queue is full.
        return commands + self._on_peer_failed(event, now_ms)

    def _on_manifest(self, event, now_ms):
        answer = event.message
        self._duty.note_peer_answer(answer.platform_age_ms, now_ms)
        key = (answer.revision, answer.digest)
        if not answer.parts or key <= self._key() or key in self._invalid:
            return []
        commands = []
        if answer.revision == self.revision:
            commands.append(
                events.ReportConflict(revision=key[0], source=event.vm)
            )
        manifest = _sections.Manifest(
            revision=answer.revision, parts=answer.parts
        )
        if manifest.key() != key or self._is_fetching(key, now_ms):
            return commands
        self._fetch = _Fetch(
            vm=event.vm,
            manifest=manifest,
            deadline_ms=now_ms + self._options.fetch_timeout_ms,
        )
        # What arrived for another revision is of use for this one too.
        needed = set(manifest.section_digests())
        self._received = {
            digest: section
            for digest, section in self._received.items()
            if digest in needed
        }
        return commands + self._continue_fetch(now_ms)

    def _continue_fetch(self, now_ms):
        """Return the request for the next missing sections, or apply."""
        fetch = self._fetch
        missing = self._list_missing(fetch.manifest)
        if not missing:
            return self._finish_fetch()
        fetch.requested = missing[:SECTIONS_MAX]
        fetch.deadline_ms = now_ms + self._options.fetch_timeout_ms
        request = messages.SectionsRequest(digests=fetch.requested)
        return [events.AskPeer(vm=fetch.vm, message=request)]

    def _is_fetching(self, key, now_ms):
        fetch = self._fetch
        if fetch is None or fetch.deadline_ms <= now_ms:
            return False
        return fetch.manifest.key() >= key

    def _list_missing(self, manifest):
        present = self._current.sections if self._current else {}
        digests = manifest.section_digests()
        return tuple(
            d for d in digests if d not in present and d not in self._received
        )

    def _on_sections(self, event, now_ms):
        fetch = self._fetch
        if fetch is None:
            return []
        is_awaited = event.vm == fetch.vm and (
            event.request is None or event.request.digests == fetch.requested
        )
        try:
            received = _sections.unpack_sections(event.message.payload)
        except _sections.SectionError:
            if is_awaited:
                self._fetch = None
            return []
        missing = self._list_missing(fetch.manifest)
        useful = {d: received[d] for d in missing if d in received}
        self._received.update(useful)
        if len(useful) == len(missing):
            return self._finish_fetch()
        if not is_awaited:
            return []
        if not useful:
            # The VM has since applied a newer revision and dropped these
            # sections. The next exchange starts a new fetch.
            self._fetch = None
            return []
        return self._continue_fetch(now_ms)

    def _finish_fetch(self):
        fetch, self._fetch = self._fetch, None
        received, self._received = self._received, {}
        known = {
            **(self._current.sections if self._current else {}),
            **received,
        }
        key = fetch.manifest.key()
        try:
            value = _sections.join_value(fetch.manifest, known)
            configuration = self._build_configuration(value)
        except _sections.SectionError as error:
            problem = _problems.Problem(
                path='',
                message=str(error),
                remedy='publish the revision again under a higher number',
            )
            return self._note_invalid(key, (problem,))
        except _problems.ConfigurationError as error:
            return self._note_invalid(key, error.problems)
        sections = {d: known[d] for d in fetch.manifest.section_digests()}
        accepted = _LocalRevision(
            key=key, manifest=fetch.manifest, sections=sections
        )
        return self._apply(accepted, configuration, source=fetch.vm)

    def _note_invalid(self, key, problems):
        self._invalid[key] = None
        while len(self._invalid) > INVALID_KEYS_MAX:
            del self._invalid[next(iter(self._invalid))]
        self.invalid_revision = key[0]
        return [events.ReportInvalid(revision=key[0], problems=problems)]

    def _note_start_answer(self, vm):
        if self._awaited_at_start is not None:
            self._awaited_at_start.discard(vm)

    def _on_peer_failed(self, event, now_ms):
        self._note_start_answer(event.vm)
        if (
            self._fetch is not None
            and self._fetch.vm == event.vm
            and isinstance(event.message, messages.SectionsRequest)
            and event.message.digests == self._fetch.requested
        ):
            self._fetch = None
        if not isinstance(event.message, messages.RevisionAnnounced):
            return []
        if event.message.revision != self.revision:
            return []
        # The failed VM's children in the tree would miss the announcement,
        # so this VM sends it to them.
        tree = _revision_topology.order_tree(self.revision, self._names)
        return [
            self._announce_to(name)
            for name in _revision_topology.list_children(event.vm, tree)
            if name != self._vm
        ]
