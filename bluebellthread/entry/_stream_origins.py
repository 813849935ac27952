"""Tells other VMs where streams began, and asks them.

The VMs that hold the records of a service's streams are those that own the
service or would own it next, so the records outlive the loss of VMs.
"""

import trio

from bluebellthread import core
from bluebellthread.core import routing
from bluebellthread.daemon import _clock
from bluebellthread.daemon import _mailboxes
from bluebellthread.daemon import _peers
from bluebellthread.daemon import _tasks
from bluebellthread.entry import _platform_changes
from bluebellthread.entry import _state
from bluebellthread.observe import emit
from bluebellthread.observe import events

HOLDER_COUNT = 3
"""VMs that hold the records of a service's streams. A record is lost only with
all of them and the VM that passed the first event on."""

HOLDER_CHECK_PERIOD_S = 0.5
"""How often the holders are determined again while the membership view does
not change, as often as owners are."""

OTHERS_MAX = 8
"""Most other VMs that are asked if no holder knows a stream: views may differ
after a cut."""

ASK_TIMEOUT_MS = 300
"""How long the answers of other VMs are waited for: several round trips
between regions."""

PROBE_PAUSE_FIRST_MS = 1000
PROBE_PAUSE_MAX_MS = 60_000
"""First and longest pause between probes of a VM that has never answered. One
of an older build closes its connection at a message that it doesn't know."""

LIST_TIMEOUT_S = 0.5
"""Longest time for reading the list of servers; that takes milliseconds."""

TOLD_PAUSE_FIRST_S = 0.2
TOLD_PAUSE_MAX_S = 5.0
"""First and longest pause between questions for the versions that there were
before this VM began."""

RECORDS_PER_MESSAGE = 500
QUEUE_LENGTH = 4096

_PROBE = routing.OriginAsk(attempt_id='', serves='')
_NEVER_PROBED = (0, PROBE_PAUSE_FIRST_MS)


class StreamOrigins:
    """Keeps, tells and finds the records of where streams began.

    Parameters
    ----------
    state : EntryState
        Supplies the membership view and the history of versions.
    links : PeerLinks
        Connections to the other VMs.
    client : object
        The adapter's client of the platform.
    """

    def __init__(self, *, state, links, client):
        self._state = state
        self._links = links
        self._client = client
        self._records = routing.OriginRecords()
        self._holders = {}
        self._able = set()
        self._probes = {}
        self._nursery = None
        self._inbox, self._receive = trio.open_memory_channel(QUEUE_LENGTH)

    def register(self, mailboxes):
        """Route the messages of other VMs to this task."""
        for message_class in (routing.StreamsBegan, routing.OriginAsk):
            mailboxes.register(message_class, self._inbox)

    async def run(self):
        """Answer other VMs and tell new holders until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            _tasks.start_lasting(nursery, self._tell_new_holders)
            _tasks.start_lasting(nursery, self._take_over_versions)
            await _mailboxes.handle_each(
                self._receive,
                lambda inbound: self._handle(inbound, _clock.read_clock_ms()),
            )

    def _handle(self, inbound, now_ms):
        message = inbound.message
        if isinstance(message, routing.StreamsBegan):
            for origin in message.origins:
                self._records.add(origin, now_ms)
            return
        inbound.answer(self._answer(message, now_ms))

    def _answer(self, question, now_ms):
        origin = self._records.find(question.attempt_id, now_ms)
        versions = self._state.versions
        return routing.OriginAnswer(
            origins=() if origin is None else (origin,),
            versions=versions.find_recent(question.serves, now_ms),
            knows_all_versions=versions.knows_all(now_ms),
        )

    def knows(self, attempt_id):
        """Return whether this VM has the record of a stream."""
        now_ms = _clock.read_clock_ms()
        record_id = routing.shorten_attempt_id(attempt_id)
        return self._records.find(record_id, now_ms) is not None

    # Telling

    def note_began(self, attempt_id, service, software_version):
        """Note where a stream began, and tell the holders."""
        now_ms = _clock.read_clock_ms()
        origin = routing.StreamOrigin(
            attempt_id=routing.shorten_attempt_id(attempt_id),
            serves=service,
            software_version=software_version,
            keep_deadline_ms=now_ms + routing.STREAM_LIFE_MS,
        )
        self._records.add(origin, now_ms)
        for member in self._find_holders(service):
            self._start_telling(member, service, [origin])

    def _start_telling(self, member, service, origins):
        _tasks.start_isolated(
            self._nursery,
            self._tell,
            member,
            service,
            origins,
            subject=f'VM {member.name}',
        )

    async def _tell(self, member, service, origins):
        """Send records; the first time, all that are known of the service."""
        was_able = _key_of(member) in self._able
        try:
            with trio.fail_after(_peers.CONNECT_TIMEOUT_S):
                if not was_able:
                    if await self._call(member, _PROBE) is None:
                        return
                    origins = self._records.list_of(
                        service, _clock.read_clock_ms()
                    )
                for first in range(0, len(origins), RECORDS_PER_MESSAGE):
                    part = origins[first : first + RECORDS_PER_MESSAGE]
                    await self._links.send(
                        member, routing.StreamsBegan(origins=tuple(part))
                    )
        except (_peers.PeerUnreachableError, trio.TooSlowError) as error:
            emit(
                events.STREAM_ORIGINS_NOT_SENT,
                count=len(origins),
                vm=member.name,
                error=error,
            )

    async def _tell_new_holders(self):
        """Tell all that is known of a service to each new holder.

        Even if that is nothing, it shows whether the holder's build knows
        these messages before the first stream begins.
        """
        while True:
            now_ms = _clock.read_clock_ms()
            self._forget_ended_processes()
            for traits in self._state.table.engine_services():
                holders = self._find_holders(traits.name)
                known = self._holders.get(traits.name, frozenset())
                keys = frozenset(map(_key_of, holders))
                self._holders[traits.name] = keys
                origins = self._records.list_of(traits.name, now_ms)
                for member in holders:
                    if _key_of(member) not in known:
                        self._start_telling(member, traits.name, origins)
            # A configuration with other services changes the holders, too.
            with trio.move_on_after(HOLDER_CHECK_PERIOD_S):
                await self._state.view_changed.wait()

    async def _take_over_versions(self):
        """Learn from other VMs which versions there were before the list.

        VMs that are being stopped are asked as well: where all are replaced
        in turn, only they may know.
        """
        versions = self._state.versions
        pause_s = TOLD_PAUSE_FIRST_S
        while True:
            await trio.sleep(pause_s)
            if versions.knows_all(_clock.read_clock_ms()):
                pause_s = TOLD_PAUSE_FIRST_S
            elif versions.has_list:
                pause_s = min(2 * pause_s, TOLD_PAUSE_MAX_S)
                await self._ask_versions()

    async def _ask_versions(self):
        """Take over all versions, if they can be had for all services."""
        names = [
            member.name
            for member in self._state.view.members
            if member.state in _state.HOLDER_STATES
            and not self._is_self(member)
        ]
        told = set()
        for traits in self._state.table.engine_services():
            ranked = core.rank_by_rendezvous(traits.name, names)
            answers = await self._ask(
                map(self._state.find_vm, ranked[:OTHERS_MAX]),
                routing.OriginAsk(attempt_id='', serves=traits.name),
            )
            known = [item for item in answers if item.knows_all_versions]
            if not known:
                return
            told.update(
                (traits.name, version)
                for item in known
                for version in item.versions
            )
        if told:
            self._state.versions.note_told(told, _clock.read_clock_ms())
            emit(events.VERSIONS_TAKEN_OVER, count=len(told))

    def _forget_ended_processes(self):
        live = {_key_of(member) for member in self._state.view.members}
        self._able &= live
        for key in self._probes.keys() - live:
            del self._probes[key]

    def _find_holders(self, service):
        holders = self._state.rank_owners(service)[:HOLDER_COUNT]
        return [member for member in holders if not self._is_self(member)]

    def _is_self(self, member):
        return member.name == self._state.settings.vm

    async def _call(self, member, question):
        """Return a VM's `OriginAnswer`, or None if its build has none.

        A VM that has never answered is not called again at once.

        Raises
        ------
        PeerUnreachableError
            If there is no answer in time.
        """
        key = _key_of(member)
        now_ms = _clock.read_clock_ms()
        next_ms, _ = self._probes.get(key, _NEVER_PROBED)
        if now_ms < next_ms:
            return None
        try:
            answer = await self._links.call(
                member, question, deadline_ms=now_ms + ASK_TIMEOUT_MS
            )
        except _peers.PeerUnreachableError:
            self._note_no_answer(key)
            raise
        if not isinstance(answer, routing.OriginAnswer):
            self._note_no_answer(key)
            return None
        self._able.add(key)
        self._probes.pop(key, None)
        return answer

    def _note_no_answer(self, key):
        if key in self._able:
            return
        _, pause_ms = self._probes.get(key, _NEVER_PROBED)
        self._probes[key] = (
            _clock.read_clock_ms() + pause_ms,
            min(2 * pause_ms, PROBE_PAUSE_MAX_MS),
        )

    # Finding

    async def find(self, attempt_id, services):
        """Return where a stream began, or None if nobody can tell.

        Parameters
        ----------
        attempt_id : str
            Id of the attempt that brought the stream's first event; empty if
            the caller does not name it.
        services : tuple of str
            Services that the caller's route leads to.

        Returns
        -------
        StreamOrigin or None
        """
        service = services[0]
        question = routing.OriginAsk(
            attempt_id=routing.shorten_attempt_id(attempt_id), serves=service
        )
        answers = [self._answer(question, _clock.read_clock_ms())]
        others = [
            member
            for member in self._state.rank_owners(service)
            if not self._is_self(member)
        ]
        last = HOLDER_COUNT + OTHERS_MAX
        for members in (others[:HOLDER_COUNT], others[HOLDER_COUNT:last]):
            if _find_record(answers) is None:
                answers += await self._ask(members, question)
        origin = _find_record(answers)
        if origin is not None or len(services) > 1:
            return origin
        return await self._find_sole(question, answers)

    async def _ask(self, members, question):
        """Return the answers of VMs, until one has a record."""
        answers = []

        async def ask(member, scope):
            try:
                answer = await self._call(member, question)
            except _peers.PeerUnreachableError as error:
                emit(
                    events.STREAM_ORIGIN_NOT_ASKED,
                    resumes=question.attempt_id,
                    vm=member.name,
                    error=error,
                )
                return
            if answer is not None:
                answers.append(answer)
                if answer.origins:
                    scope.cancel()

        with trio.move_on_after(ASK_TIMEOUT_MS / _clock.MS_PER_S) as scope:
            async with trio.open_nursery() as nursery:
                for member in members:
                    _tasks.start_joined(nursery, ask, member, scope)
        return answers

    async def _find_sole(self, question, answers):
        """Return an origin if the service has had one version only.

        What VMs know may be older than the stream, so the list of servers is
        read once more.
        """
        versions = {version for item in answers for version in item.versions}
        knows_all = any(item.knows_all_versions for item in answers)
        if not knows_all or len(versions) != 1:
            return None
        try:
            with trio.fail_after(LIST_TIMEOUT_S):
                changes, _ = await self._client.read_servers()
        except (
            _platform_changes.HistoryLostError,
            _platform_changes.PlatformUnavailableError,
            trio.TooSlowError,
        ) as error:
            emit(
                events.PLATFORM_CALL_FAILED,
                what='server list',
                error=error,
            )
            return None
        listed_versions = {
            change.server.software_version
            for change in changes
            if change.server is not None
            and change.server.service == question.serves
        }
        if not listed_versions <= versions:
            return None
        return routing.StreamOrigin(
            attempt_id=question.attempt_id,
            serves=question.serves,
            software_version=versions.pop(),
            keep_deadline_ms=_clock.read_clock_ms() + routing.STREAM_LIFE_MS,
        )


def _find_record(answers):
    """Return the first record in answers, or None."""
    for answer in answers:
        if answer.origins:
            return answer.origins[0]
    return None


def _key_of(member):
    return (member.name, member.incarnation)
