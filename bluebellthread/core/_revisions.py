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
from bluebellthread.core import _revision_events as events
from bluebellthread.core import _revision_options
from bluebellthread.core import _revision_peers
from bluebellthread.core import _revision_topology
from bluebellthread.core import _scheduler_events
from bluebellthread.core import _section_fetch
from bluebellthread.core import _sections
from bluebellthread.core import _watch_duty

NO_REVISION_KEY = (0, 0)
INVALID_KEYS_MAX = 16


@attrs.frozen(kw_only=True)
class _LocalRevision:
    key: tuple
    manifest: _sections.Manifest
    sections: dict


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
        self._build_configuration = build_configuration
        self._rng = rng or random.Random(0)
        self._options = options or _revision_options.RevisionOptions()
        self._current = None
        self._invalid = {}
        self._fetch = _section_fetch.SectionFetch(
            timeout_ms=self._options.fetch_timeout_ms
        )
        self._peers = _revision_peers.RevisionPeers(
            vm=vm,
            data_centre=data_centre,
            leaves_out_older=self._options.leaves_out_older_builds,
        )
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
            events.PlatformFailed: self._on_platform_failed,
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
        return self._peers.partners

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
        had_peers = len(self._peers.names) > 1
        self._peers.set_view(view)
        commands = self._update_watching(now_ms)
        asked = ()
        if len(self._peers.names) > 1 and not had_peers:
            asked = self.partners
            self._awaited_at_start = set(asked)
            commands.extend(self.make_manifest_request(name) for name in asked)
        return commands + self._ask_unknown_builds(asked)

    def _ask_unknown_builds(self, asked=()):
        """Ask VMs whose build is not known, except those asked just now."""
        return [
            self.make_manifest_request(name)
            for name in self._peers.list_unknown()
            if name not in asked
        ]

    def _update_watching(self, now_ms):
        self._duty.set_names(self._peers.names, now_ms)
        watching = self._duty.is_due(
            now_ms, has_revision=self._current is not None
        )
        if watching == self.watching:
            return []
        self.watching = watching
        return [events.WatchPlatform(active=watching)]

    def _key(self):
        return self._current.key if self._current else NO_REVISION_KEY

    def _on_platform_answered(self, event, now_ms):
        self._duty.note_platform_answer(now_ms)
        return []

    def _on_platform_failed(self, event, now_ms):
        self._duty.note_platform_failed()
        return self._hand_over_watch(now_ms)

    def _hand_over_watch(self, now_ms):
        """Ask another VM to watch if this one does and gets no answer."""
        name = self._duty.take_handover(now_ms) if self.watching else None
        if name is None:
            return []
        return [self.make_manifest_request(name, asks_to_watch=True)]

    def _on_tick(self, event, now_ms):
        commands = []
        self._duty.note_tick(now_ms)
        if self._peers.has_view:
            commands.extend(self._update_watching(now_ms))
        self._fetch.expire(now_ms)
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
        commands.extend(self._hand_over_watch(now_ms))
        if self.watching and self._next_remote_ms <= now_ms:
            self._next_remote_ms = now_ms + self._add_jitter(
                self._options.remote_interval_ms
            )
            commands.extend(self._ask_remote_watcher())
        return commands

    def _add_jitter(self, interval_ms):
        return round(interval_ms * self._rng.uniform(0.5, 1.5))

    def _ask_partner(self):
        name = self._peers.next_partner()
        return [self.make_manifest_request(name)] if name else []

    def _ask_remote_watcher(self):
        name = self._peers.next_remote_watcher()
        return [self.make_manifest_request(name)] if name else []

    def make_manifest_request(self, name, *, asks_to_watch=False):
        """Return a command that requests a newer revision's manifest.

        Parameters
        ----------
        name : str
            The VM to ask.
        asks_to_watch : bool
            Whether it has to watch the platform.
        """
        revision, digest = self._key()
        return events.AskPeer(
            vm=name,
            message=messages.ManifestRequest(
                vm=self._vm,
                revision=revision,
                digest=digest,
                asks_to_watch=asks_to_watch,
            ),
        )

    def _have_start_peers_answered(self):
        # `_awaited_at_start` is None until this VM asks its first peers, and
        # empty once all of them have answered or failed.
        if self._started or self._awaited_at_start is None:
            return False
        return not self._awaited_at_start and self._fetch.vm is None

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
        self._fetch.drop_up_to(accepted.key)
        applied = events.ApplyConfiguration(
            configuration=configuration, source=source
        )
        return [applied] + self._announce(source)

    def _announce(self, source):
        tree = _revision_topology.order_tree(self.revision, self._peers.names)
        receivers = _revision_topology.list_children(self._vm, tree)
        if source not in self._peers.names and tree[0] != self._vm:
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
            if message.asks_to_watch and message.vm in self._peers.names:
                self._duty.note_asked_to_watch(now_ms)
                commands.extend(self._update_watching(now_ms))
            answer = self._answer_manifest(message, now_ms)
            commands.append(
                events.AnswerPeer(token=event.token, message=answer)
            )
        key = (message.revision, message.digest)
        if key > self._key() and not self._fetch.covers(key, now_ms):
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
        sections = self._present_sections
        found = [sections[d] for d in message.digests if d in sections]
        return messages.SectionsAnswer(payload=_sections.pack_sections(found))

    def _on_peer_answered(self, event, now_ms):
        self._note_start_answer(event.vm)
        commands = []
        if self._peers.note_answer(event.vm, event.message):
            commands.extend(self._update_watching(now_ms))
        if isinstance(event.message, messages.ManifestAnswer):
            return commands + self._on_manifest(event, now_ms)
        if isinstance(event.message, messages.SectionsAnswer):
            return commands + self._on_sections(event, now_ms)
        # For example, a refusal by a VM whose queue is full.
        self._fetch.note_failed(event.vm, event.request)
        return commands

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
        if manifest.key() != key or self._fetch.covers(key, now_ms):
            return commands
        self._fetch.start(event.vm, manifest, now_ms)
        return commands + self._continue_fetch(now_ms)

    def _continue_fetch(self, now_ms):
        """Return the request for the next missing sections, or apply."""
        request = self._fetch.request_missing(self._present_sections, now_ms)
        if request is None:
            return self._finish_fetch()
        return [events.AskPeer(vm=self._fetch.vm, message=request)]

    @property
    def _present_sections(self):
        return self._current.sections if self._current else {}

    def _on_sections(self, event, now_ms):
        goes_on = self._fetch.note_answer(
            event.vm, event.message, event.request, self._present_sections
        )
        return self._continue_fetch(now_ms) if goes_on else []

    def _finish_fetch(self):
        vm, manifest, sections = self._fetch.take(self._present_sections)
        key = manifest.key()
        try:
            value = _sections.join_value(manifest, sections)
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
        accepted = _LocalRevision(
            key=key, manifest=manifest, sections=sections
        )
        return self._apply(accepted, configuration, source=vm)

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
        self._fetch.note_failed(event.vm, event.message)
        if not isinstance(event.message, messages.RevisionAnnounced):
            return []
        if event.message.revision != self.revision:
            return []
        # The failed VM's children in the tree would miss the announcement,
        # so this VM sends it to them.
        tree = _revision_topology.order_tree(self.revision, self._peers.names)
        return [
            self._announce_to(name)
            for name in _revision_topology.list_children(event.vm, tree)
            if name != self._vm
        ]
