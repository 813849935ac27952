"""State that the tasks of an entry process share."""

import attrs
import trio

from bluebellthread import core
from bluebellthread.core import routing
from bluebellthread.daemon import _clock


OWNER_STATES = routing.LIVE_STATES
HOLDER_STATES = (*OWNER_STATES, 'leaving')


class EntryState:
    """Holds the configuration, the backend servers and the membership view.

    Parameters
    ----------
    settings : EntrySettings
        Settings at the start of the process.

    Attributes
    ----------
    table : RoutingTable
        The routes in force; of version 0 while no configuration is known.
    directory : ServerDirectory
        The backend servers that the platform lists.
    versions : VersionHistory
        Software versions that the engines of each service had.
    has_servers : bool
        Whether the list of backend servers has been read once.
    view : MembershipView
        The latest membership view.
    holders : frozenset of (str, int)
        Names and incarnations of the VMs that may hold placements.
    view_changed : trio.Event
        Set and replaced by a new event whenever the view is replaced.
    stop_schedule : StopSchedule
        The deadlines of a planned stop.
    prepared : trio.Event
        Set once this VM knows a configuration and the backend servers.
    start_wait : StartWait
        Decides how long requests wait for that.
    """

    def __init__(self, settings):
        self.settings = settings
        self.table = routing.RoutingTable()
        self.directory = routing.ServerDirectory()
        self.versions = routing.VersionHistory(
            is_first_start=settings.is_first_start
        )
        self.has_servers = False
        self.prepared = trio.Event()
        self.start_wait = routing.StartWait(_clock.read_clock_ms())
        self.view = core.MembershipView(members=(), confirmed=False)
        self.stop_schedule = routing.StopSchedule()
        self.holders = frozenset()
        self.view_changed = trio.Event()
        self._members = {}
        self._engines = {}
        self._ranked = {}
        self._speed_services = set()
        self._owner_share = routing.OwnerShare()

    @property
    def is_stopping(self):
        """Whether a planned stop has begun."""
        return self.stop_schedule.is_begun

    @property
    def is_ready(self):
        """Whether the load balancer should send callers to this VM."""
        return self.is_prepared and not self.is_stopping

    @property
    def is_prepared(self):
        """Whether this VM knows a configuration and the backend servers."""
        return self.table.version > 0 and self.has_servers

    def replace_table(self, table):
        """Bring a routing table into force."""
        self.table = table
        self._check_prepared()

    def note_servers(self):
        """Note that the list of backend servers has been read."""
        self.has_servers = True
        self._check_prepared()

    def _check_prepared(self):
        if self.is_prepared:
            self.prepared.set()

    def publish_view(self, view):
        """Replace the membership view."""
        self.view = view
        self._members = {member.name: member for member in view.members}
        self._ranked = {}
        self._owner_share.note_states(
            {member.name: member.state for member in view.members},
            _clock.read_clock_ms(),
        )
        self.holders = frozenset(
            (member.name, member.incarnation)
            for member in view.members
            if member.state in HOLDER_STATES
        )
        self.view_changed.set()
        self.view_changed = trio.Event()

    def find_vm(self, name):
        """Return the member named ``name``, or None."""
        return self._members.get(name)

    def rank_owners(self, service):
        """Return the VMs that may own a service, the preferred owner first.

        VMs that are leaving or dead are excluded.
        """
        ranked = self._ranked.get(service)
        if ranked is None:
            names = [
                member.name
                for member in self.view.members
                if member.state in OWNER_STATES
            ]
            ranked = tuple(
                self._members[name]
                for name in core.rank_by_rendezvous(service, names)
            )
            self._ranked[service] = ranked
        return ranked

    def note_load_report(self, service):
        """Note that a server of a service has reported the speed of work."""
        self._speed_services.add(service)

    def reports_speed(self, service):
        """Return whether this VM has had such a report of a service."""
        return service in self._speed_services

    def find_owner_share(self):
        """Return the part of a rate for all VMs that an owner here grants."""
        seeds = {self.settings.host, *self.settings.seed_hosts}
        return self._owner_share.find(
            is_confirmed=self.view.confirmed,
            now_ms=_clock.read_clock_ms(),
            count_min=1 if self.view.confirmed else len(seeds),
        )

    @property
    def vm_count(self):
        """Number of VMs that may be serving, at least 1.

        VMs that are declared dead count too: they may only be unreachable.
        """
        return max(1, len(self.view.members))

    def is_contended(self, service):
        """Return whether requests of a service compete for its engines.

        They do if they differ in priority or come from customers. Servers
        report their speed where they are shared unequally.
        """
        return (
            self.table.customers is not None
            or self.table.has_priorities(service)
            or self.reports_speed(service)
        )

    def engines_of(self, service):
        """Return an `EngineServer` for each usable engine of a service."""
        key = (self.directory.version, self.table.version)
        known_key, engines = self._engines.get(service, (None, ()))
        if known_key != key:
            engines = self._make_engines(service)
            self._engines[service] = (key, engines)
        return engines

    def _make_engines(self, service):
        traits = self.table.services.get(service)
        if traits is None or traits.engine is None:
            return ()
        return tuple(
            routing.EngineServer(
                name=server.name,
                incarnation=server.incarnation,
                role=server.role,
                data_centre=server.data_centre,
                region=self.settings.regions.get(server.data_centre, ''),
                slot_count=server.slot_count,
                memory_tokens=traits.engine.memory_tokens,
                software_version=server.software_version,
            )
            for server in self.directory.usable(service)
            if server.role
        )


@attrs.define(kw_only=True)
class DependencyWatch:
    """Tracks since when a dependency is unavailable.

    Parameters
    ----------
    name : str
        Name of the dependency in the log.
    lost_ms : int or None
        Time of the first failure; None while the dependency is available.

    Examples
    --------
    >>> watch = DependencyWatch(name='platform')
    >>> watch.note_lost(10), watch.note_lost(20), watch.note_regained(30)
    (True, False, 20)
    """

    name: str
    lost_ms: int | None = None

    def note_lost(self, now_ms):
        """Note a failure; return whether it is the first of an outage."""
        if self.lost_ms is not None:
            return False
        self.lost_ms = now_ms
        return True

    def note_regained(self, now_ms):
        """Note a success; return the milliseconds of the outage, or 0."""
        if self.lost_ms is None:
            return 0
        lost_ms, self.lost_ms = self.lost_ms, None
        return now_ms - lost_ms
