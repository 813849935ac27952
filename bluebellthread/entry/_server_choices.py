"""The choices of servers of plain services, and which service uses which."""

from bluebellthread.core import routing
from bluebellthread.daemon import _clock
from bluebellthread.observe import emit
from bluebellthread.observe import events

CHOICE_USUAL = 'latest-report'
CHOICE_WITH_SPEED = 'estimated-time'
"""Choices of services whose servers report no speed, and of those that do."""

PRIORITY_USUAL = 5
"""Priority of requests of which none is known."""


class ServerChoices:
    """Chooses servers by the load reports that their service sends.

    Each choice counts all requests, so that a service whose servers begin to
    report their speed continues with what is in flight.

    Parameters
    ----------
    state : EntryState
        Knows which services report the speed of work.
    stats : EntryStats
        Counts the requests that wait.
    make_rng : callable
        Returns a `random.Random` for a choice.
    """

    def __init__(self, *, state, stats, make_rng):
        self._state = state
        self._stats = stats
        settings = state.settings
        self._choices = {
            name: routing.server_choices.get(name)(
                data_centre=settings.data_centre,
                region=settings.region,
                regions=settings.regions,
                rng=make_rng(),
            )
            for name in (CHOICE_USUAL, CHOICE_WITH_SPEED)
        }

    def choose(self, servers, now_ms, *, avoid=()):
        """Return the server of a service for a request; None without one."""
        if not servers:
            return None
        return self._of(servers[0].service).choose(
            servers, now_ms, avoid=avoid
        )

    def judge(self, work, servers):
        """Return a `PlainVerdict` if a request is not to be sent, or None."""
        now_ms = _clock.read_clock_ms()
        priority = getattr(work, 'priority', None)
        verdict = self._of(work.service).judge(
            servers,
            now_ms,
            deadline_ms=work.deadline_ms,
            priority=PRIORITY_USUAL if priority is None else priority,
        )
        if verdict is not None and verdict.is_refused:
            emit(
                events.SERVERS_FULL,
                request_id=work.request_id,
                service=work.service,
                remaining_ms=work.deadline_ms - now_ms,
                retry_after_ms=verdict.wait_ms,
            )
        elif verdict is not None:
            self._stats.count_waited()
        return verdict

    def begin(self, server):
        """Count one more request in flight at a server."""
        now_ms = _clock.read_clock_ms()
        for choice in self._choices.values():
            choice.begin(server, now_ms)

    def end(self, server):
        """Count one request less in flight at a server."""
        for choice in self._choices.values():
            choice.end(server)

    def note_answer_head(self, server, report, is_refusal):
        """Store the load report that came with any answer of a server."""
        if report.work_percent is not None:
            is_first = not self._state.reports_speed(server.service)
            if is_first and not server.role:
                emit(
                    events.SPEED_REPORTED,
                    server=server.name,
                    service=server.service,
                )
            self._state.note_load_report(server.service)
        if not server.role:
            self._choices[CHOICE_WITH_SPEED].note_load(
                server, report, _clock.read_clock_ms(), is_refusal=is_refusal
            )

    def note_load(self, server, load, now_ms):
        """Store the load report of a whole answer."""
        self._choices[CHOICE_USUAL].note_load(server, load, now_ms)

    def note_success(self, server, took_ms, now_ms):
        """Note how long an answer took."""
        for choice in self._choices.values():
            choice.note_success(server, took_ms, now_ms)

    def note_error(self, server, now_ms):
        """Note that a server has answered that it failed."""
        for choice in self._choices.values():
            choice.note_error(server, now_ms)

    def note_failure(self, server, now_ms):
        """Note that a server has not answered."""
        for choice in self._choices.values():
            choice.note_failure(server, now_ms)

    def keep_only(self, names):
        """Discard what is known of all servers except ``names``."""
        for choice in self._choices.values():
            choice.keep_only(names)

    def list_estimates(self):
        """Return the estimates for all services that report speeds.

        Returns
        -------
        list of (ListedServer, float, float or None)
            The requests per slot, and the age of the last report.
        """
        directory = self._state.directory
        servers = [directory.find(name) for name in sorted(directory.names)]
        return self._choices[CHOICE_WITH_SPEED].list_estimates(
            [
                server
                for server in servers
                if not server.role
                and self._state.reports_speed(server.service)
            ],
            _clock.read_clock_ms(),
        )

    def _of(self, service):
        if self._state.reports_speed(service):
            return self._choices[CHOICE_WITH_SPEED]
        return self._choices[CHOICE_USUAL]
