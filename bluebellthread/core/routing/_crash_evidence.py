"""Find the parts of prompts, and the requests, that end servers.

The load pattern: an engine runs dozens of requests, and a plain server a few,
which all break when it ends. One part of one of their prompts, or one request
as a whole, is to blame, or none if the server ended for another reason. Sound
requests share the other parts, and most of those are answered whole
elsewhere, which a part that ends servers never is. The id of a whole request
counts as one more part of it.
"""

import collections

import attrs

from bluebellthread.core.routing import _crash_messages as messages
from bluebellthread.core.routing import _request_identity

CRASHES_MIN = 4
"""Ends of engines, apart from each other, before a part is blamed."""

REQUEST_CRASHES_MIN = 3
"""The same for a request as a whole. Less evidence is needed: the same request
is rarely there by chance when one server after the other ends."""

COMMON_CAUSE_MS = 200
"""Engines that end so close to each other count as one: what ends several at
once, such as a kill of the whole service, is mostly no prompt."""

SUSPICIOUS_CRASHES = 2
"""Engines that have ended with a part present before a request with it is not
sent to another engine after its own has ended."""

ATTEMPTS_MIN = 2
"""Attempts of callers that must have ended them: one request alone, which goes
on at engine after engine, may have met others that do it."""

CRASH_SHARE_MIN = 0.5
"""Least share of the engines that ended in a time which must be due to a part,
apart from those due to other such parts. If more end without it, they end for
another reason."""

REQUEST_SHARE_MAX = 0.5
"""Largest share of a service's requests that may have a part which is blamed.
Without the part's requests, little would be left to protect."""

REQUEST_COUNT_MIN = 20
"""Fewest requests from which that share is computed."""

REQUESTS_KEPT = 200
"""Latest requests of each service from which that share is computed."""

SETTLE_MS = 300
"""Age at which the end of an engine counts: reports and survivals of all VMs
have arrived by then, which takes several round trips between regions."""

MERGE_MS = 2000
"""Reports of one engine so close to each other tell of the same end, if its
process is unknown."""

EVIDENCE_MS = 3_600_000
"""How long the end of an engine is remembered."""

SURVIVAL_MS = 600_000
"""How long after a part's last whole answer the ends of engines are not blamed
on it."""

SURVIVAL_TELL_MS = SURVIVAL_MS // 2
"""How much later the last whole answer must be before it is told again."""

SURVIVAL_HEAR_MS = SURVIVAL_MS // 4
"""The same before it is news to a VM that hears it. A deadline becomes later
on each way between VMs, which must not make it news again; it is less than
`SURVIVAL_TELL_MS`, so that no VM misses what is told again."""

SHUT_OUT_MS = 3_600_000
"""How long a part stays shut out. After that it may end `CRASHES_MIN` engines
again before the evidence suffices."""

REPORTS_MAX = 2048
SURVIVED_MAX = 16_384
SURVIVED_REQUESTS_MAX = 8192
ACQUITTED_MAX = 16_384
SHUT_OUTS_MAX = 512
RUNS_PER_REPORT_MAX = 64
REPORTED_PARTS_MAX = 65_536
"""Bounds of what is remembered, some MB in all, whatever callers send. The
oldest is forgotten first."""


@attrs.define
class _Crash:
    """One end of an engine, merged from the reports of all VMs."""

    server: str
    incarnation: int
    software_version: str
    ended_ms: int
    runs: list


@attrs.define
class _Suspect:
    """Ends of engines at which one part was present."""

    crashes: list = attrs.field(factory=list)
    runs: list = attrs.field(factory=list)

    @property
    def attempts(self):
        """Ids of the attempts that had the part."""
        return frozenset(run.attempt_id for run in self.runs)

    @property
    def rank_key(self):
        """Sort key; the greatest is most to blame.

        The request that ends an engine has just begun there; those beside it
        have run for a while.
        """
        mean_age_ms = sum(run.age_ms for run in self.runs) / len(self.runs)
        return (len(self.crashes), -mean_age_ms)


class CrashEvidence:
    """Collect the ends of engines and decide which parts are shut out.

    Examples
    --------
    >>> evidence = CrashEvidence()
    >>> for number in range(4):
    ...     run = messages.EndedRun(attempt_id=f'a{number}', age_ms=50,
    ...         parts=('sound', 'bad', f'own{number}'))
    ...     report = messages.EngineEnded(vm='vm1', number=number,
    ...         server=f'd{number}', incarnation=1, serves='s',
    ...         software_version='v1', runs=(run,),
    ...         keep_deadline_ms=1000 * number + EVIDENCE_MS)
    ...     _ = evidence.add_end(report, 0)
    >>> evidence.note_survived('s', ('sound',), 'v1', 0)[0].part
    'sound'
    >>> [item.parts for item in evidence.judge(3000 + SETTLE_MS)]
    [('bad',)]
    """

    def __init__(self):
        self._reports = collections.OrderedDict()
        self._reported_part_count = 0
        self._questioned = collections.Counter()
        self._survived_ms = collections.OrderedDict()
        self._survived_requests_ms = collections.OrderedDict()
        self._acquitted_deadlines_ms = collections.OrderedDict()
        self._shut_outs = {}
        self._answered_ms = {}
        self._requests = {}

    # Requests

    def note_request(self, service, parts):
        """Count a caller's request and the parts of its prompt."""
        recent = self._requests.setdefault(service, _RecentParts())
        recent.add(
            part for part in parts if not _request_identity.is_request_id(part)
        )

    def keep_services(self, services):
        """Forget the requests of all services except these."""
        for known in (self._requests, self._answered_ms):
            for service in known.keys() - set(services):
                del known[service]

    def note_survived(self, service, parts, software_version, now_ms):
        """Note that a request was answered whole.

        Returns
        -------
        list of PartSurvived
            What other VMs have to know, as engines ended with these parts.
        """
        news = []
        self._answered_ms[service] = now_ms
        for part in parts:
            key = (service, part, software_version)
            # Apart, so that requests, of which most are unique, displace no
            # parts.
            survived_ms = self._survived_of(part)
            survived_ms[key] = now_ms
            survived_ms.move_to_end(key)
            if (service, part) in self._questioned:
                news += self._acquit(key, now_ms)
        while len(self._survived_ms) > SURVIVED_MAX:
            self._survived_ms.popitem(last=False)
        while len(self._survived_requests_ms) > SURVIVED_REQUESTS_MAX:
            self._survived_requests_ms.popitem(last=False)
        return news

    def _survived_of(self, part):
        if _request_identity.is_request_id(part):
            return self._survived_requests_ms
        return self._survived_ms

    def _acquit(self, key, now_ms):
        """Return the `PartSurvived` of a part, unless one is fresh."""
        keep_deadline_ms = self._survived_of(key[1])[key] + SURVIVAL_MS
        known_ms = self._acquitted_deadlines_ms.get(key, 0)
        if keep_deadline_ms < known_ms + SURVIVAL_TELL_MS and known_ms:
            return []
        survival = messages.PartSurvived(
            serves=key[0],
            part=key[1],
            software_version=key[2],
            keep_deadline_ms=keep_deadline_ms,
        )
        return [survival] if self.add_survival(survival, now_ms) else []

    # Evidence

    def add_end(self, report, now_ms):
        """Add a report of an engine's end; return whether it is new."""
        key = (report.vm, report.server, report.number)
        if key in self._reports or report.keep_deadline_ms <= now_ms:
            return False
        if len(report.runs) > RUNS_PER_REPORT_MAX:
            report = attrs.evolve(
                report, runs=report.runs[:RUNS_PER_REPORT_MAX]
            )
        self._reports[key] = report
        self._reported_part_count += _count_parts(report)
        self._questioned.update(_list_questioned(report))
        while (
            len(self._reports) > REPORTS_MAX
            or self._reported_part_count > REPORTED_PARTS_MAX
        ):
            self._forget(next(iter(self._reports)))
        return True

    def _forget(self, key):
        report = self._reports.pop(key)
        self._reported_part_count -= _count_parts(report)
        for part in _list_questioned(report):
            self._questioned[part] -= 1
            if not self._questioned[part]:
                del self._questioned[part]

    def find_survivals(self, report, now_ms):
        """Return the `PartSurvived` of a report's parts, as known here."""
        parts = {part for run in report.runs for part in run.parts}
        news = []
        for part in sorted(parts):
            key = (report.serves, part, report.software_version)
            survived_ms = self._survived_of(part).get(key)
            if survived_ms is not None and now_ms < survived_ms + SURVIVAL_MS:
                news += self._acquit(key, now_ms)
        return news

    def add_survival(self, survival, now_ms):
        """Add that a part survived; return whether that is new."""
        key = (survival.serves, survival.part, survival.software_version)
        known_ms = self._acquitted_deadlines_ms.get(key)
        if survival.keep_deadline_ms <= now_ms:
            return False
        if (
            known_ms is not None
            and survival.keep_deadline_ms < known_ms + SURVIVAL_HEAR_MS
        ):
            return False
        self._acquitted_deadlines_ms[key] = survival.keep_deadline_ms
        self._answered_ms[survival.serves] = max(
            self._answered_ms.get(survival.serves, 0),
            survival.keep_deadline_ms - SURVIVAL_MS,
        )
        self._acquitted_deadlines_ms.move_to_end(key)
        while len(self._acquitted_deadlines_ms) > ACQUITTED_MAX:
            self._acquitted_deadlines_ms.popitem(last=False)
        return True

    def expire(self, now_ms):
        """Forget what is too old to matter."""
        for key, report in list(self._reports.items()):
            if report.keep_deadline_ms <= now_ms:
                self._forget(key)
        for key, item in list(self._shut_outs.items()):
            if item.keep_deadline_ms <= now_ms:
                del self._shut_outs[key]
        for key, deadline_ms in list(self._acquitted_deadlines_ms.items()):
            if deadline_ms <= now_ms - EVIDENCE_MS:
                del self._acquitted_deadlines_ms[key]

    def list_ends(self, now_ms):
        """Return all reports that are remembered."""
        return [
            report
            for report in self._reports.values()
            if report.keep_deadline_ms > now_ms
        ]

    def list_survivals(self, now_ms):
        """Return all survivals that are remembered."""
        return [
            messages.PartSurvived(
                serves=service,
                part=part,
                software_version=version,
                keep_deadline_ms=deadline_ms,
            )
            for (service, part, version), deadline_ms in (
                self._acquitted_deadlines_ms.items()
            )
            if deadline_ms > now_ms
        ]

    # Decisions

    def judge(self, now_ms):
        """Return the `ShutOut` of each part that the evidence now blames."""
        services = sorted({item.serves for item in self._reports.values()})
        found = []
        for service in services:
            while True:
                shut_out = self._judge_service(service, now_ms)
                if shut_out is None:
                    break
                self.add_shut_out(shut_out, now_ms)
                found.append(shut_out)
        return found

    def _judge_service(self, service, now_ms):
        crashes = self._list_unexplained(service, now_ms - SETTLE_MS)
        suspects = self._find_suspects(service, crashes)
        candidates = {
            part: suspect
            for part, suspect in suspects.items()
            if self._may_be_blamed(service, part, suspect)
        }
        # Several parts may end engines at the same time.
        others_ms = [
            crash.ended_ms
            for crash in crashes
            if not any(crash in item.crashes for item in candidates.values())
        ]
        blamed = [
            (suspect.rank_key, part)
            for part, suspect in candidates.items()
            if _causes_most(suspect, others_ms)
        ]
        if not blamed:
            return None
        suspect = suspects[max(blamed)[1]]
        # Parts of the very same requests can't be told apart.
        parts = tuple(
            sorted(
                part
                for part, other in suspects.items()
                if other.runs == suspect.runs
            )
        )
        return self._make_shut_out(service, parts, suspect, now_ms)

    def is_suspicious(self, service, parts, now_ms):
        """Return whether a request may be what has ended its engine."""
        parts = self._list_questionable(service, parts, now_ms)
        if not parts:
            return False
        crashes = self._list_unexplained(service, now_ms)
        suspects = self._find_suspects(service, crashes, only=parts)
        return any(
            len(suspect.crashes) >= SUSPICIOUS_CRASHES
            and len(suspect.attempts) >= ATTEMPTS_MIN
            for suspect in suspects.values()
        )

    def _list_questionable(self, service, parts, now_ms):
        """Return the parts that may be suspects, without the merged evidence.

        Each request whose run breaks asks for its own parts, a whole engine's
        at a time.
        """
        reported = [
            part
            for part in parts
            if self._questioned[service, part] >= SUSPICIOUS_CRASHES
        ]
        if not reported:
            return frozenset()
        versions = {
            report.software_version
            for report in self._reports.values()
            if report.serves == service
        }
        return frozenset(
            part
            for part in reported
            if any(
                self._find_survival_deadline_ms((service, part, version))
                <= now_ms
                for version in versions
            )
        )

    def _list_unexplained(self, service, ended_by_ms):
        """Return the ends that no part has been blamed for, oldest first."""
        return [
            crash
            for crash in self._merge_reports(service)
            if crash.ended_ms <= ended_by_ms
            and not self._is_explained(service, crash)
        ]

    def _find_suspects(self, service, crashes, only=None):
        """Return a `_Suspect` for each part that has not survived.

        Parameters
        ----------
        only : frozenset of str or None
            The parts to look at; None for all.
        """
        suspects = collections.defaultdict(_Suspect)
        for crash in crashes:
            for run in crash.runs:
                parts = set(run.parts)
                for part in parts if only is None else parts & only:
                    if self._is_acquitted(service, part, crash):
                        continue
                    suspect = suspects[part]
                    suspect.runs.append(run)
                    if crash not in suspect.crashes:
                        suspect.crashes.append(crash)
        return suspects

    def _may_be_blamed(self, service, part, suspect):
        times_ms = [crash.ended_ms for crash in suspect.crashes]
        is_request = _request_identity.is_request_id(part)
        crashes_min = REQUEST_CRASHES_MIN if is_request else CRASHES_MIN
        if _count_apart(times_ms) < crashes_min:
            return False
        if len(suspect.attempts) < ATTEMPTS_MIN:
            return False
        answered_ms = self._answered_ms.get(service)
        if answered_ms is None or answered_ms <= min(times_ms) - SURVIVAL_MS:
            # The service answers nobody, with or without the part.
            return False
        if is_request:
            # Nothing is lost with a request that is never answered.
            return True
        recent = self._requests.get(service)
        return recent is None or recent.find_share(part) <= REQUEST_SHARE_MAX

    def _merge_reports(self, service):
        """Return the ends of a service's engines, oldest first."""
        crashes = []
        reports = sorted(
            (
                item
                for item in self._reports.values()
                if item.serves == service
            ),
            key=lambda item: item.keep_deadline_ms,
        )
        for report in reports:
            ended_ms = report.keep_deadline_ms - EVIDENCE_MS
            for crash in crashes:
                if _is_same_end(crash, report, ended_ms):
                    crash.runs.extend(report.runs)
                    break
            else:
                crashes.append(
                    _Crash(
                        server=report.server,
                        incarnation=report.incarnation,
                        software_version=report.software_version,
                        ended_ms=ended_ms,
                        runs=list(report.runs),
                    )
                )
        return crashes

    def _is_explained(self, service, crash):
        """Return whether a part that was blamed before was present."""
        return any(
            item.serves == service
            and (
                not item.is_lifted
                or crash.ended_ms <= item.keep_deadline_ms - SHUT_OUT_MS
            )
            and any(set(item.parts) <= set(run.parts) for run in crash.runs)
            for item in self._shut_outs.values()
        )

    def _is_acquitted(self, service, part, crash):
        key = (service, part, crash.software_version)
        return self._find_survival_deadline_ms(key) > crash.ended_ms

    def _find_survival_deadline_ms(self, key):
        """Return until when ends are not blamed on a part of a version."""
        survived_ms = self._survived_of(key[1]).get(key, -SURVIVAL_MS)
        return max(
            self._acquitted_deadlines_ms.get(key, 0),
            survived_ms + SURVIVAL_MS,
        )

    def _make_shut_out(self, service, parts, suspect, now_ms):
        known = self._shut_outs.get((service, parts))
        crashes = suspect.crashes
        return messages.ShutOut(
            serves=service,
            parts=parts,
            software_versions=tuple(
                sorted({crash.software_version for crash in crashes})
            ),
            engines=tuple(crash.server for crash in crashes),
            attempt_count=len(suspect.attempts),
            number=known.number + 1 if known is not None else 1,
            keep_deadline_ms=now_ms + SHUT_OUT_MS,
        )

    # Shut-outs

    def add_shut_out(self, shut_out, now_ms):
        """Add a shut-out of any VM; return whether it is new."""
        key = (shut_out.serves, shut_out.parts)
        known = self._shut_outs.get(key)
        if shut_out.keep_deadline_ms <= now_ms or not shut_out.parts:
            return False
        if known is not None and _order_of(shut_out) <= _order_of(known):
            return False
        self._shut_outs[key] = shut_out
        while len(self._shut_outs) > SHUT_OUTS_MAX:
            oldest = min(
                self._shut_outs,
                key=lambda key: self._shut_outs[key].keep_deadline_ms,
            )
            del self._shut_outs[oldest]
        return True

    def lift(self, service, parts, now_ms):
        """Lift the shut-outs of a service's parts; return the lifted ones.

        What they were blamed for is not counted again.
        """
        lifted = []
        for item in self.list_shut_outs(now_ms):
            if item.serves == service and set(parts) & set(item.parts):
                change = attrs.evolve(
                    item,
                    number=item.number + 1,
                    is_lifted=True,
                    keep_deadline_ms=now_ms + SHUT_OUT_MS,
                )
                self.add_shut_out(change, now_ms)
                lifted.append(change)
        return lifted

    def list_shut_outs(self, now_ms):
        """Return the shut-outs in force."""
        return [
            item
            for item in self._shut_outs.values()
            if self._find_suspected(item, now_ms)
        ]

    def list_all_shut_outs(self, now_ms):
        """Return all shut-outs that are remembered, lifted ones too."""
        return [
            item
            for item in self._shut_outs.values()
            if item.keep_deadline_ms > now_ms
        ]

    def find_shut_out(self, service, parts, now_ms):
        """Return the shut-out that a request's parts meet, or None."""
        known = set(parts)
        for item in self._shut_outs.values():
            if item.serves == service:
                suspected = self._find_suspected(item, now_ms)
                if suspected and suspected <= known:
                    return item
        return None

    def _find_suspected(self, shut_out, now_ms):
        """Return the parts of a shut-out in force that did not survive."""
        if shut_out.is_lifted or shut_out.keep_deadline_ms <= now_ms:
            return frozenset()
        decided_ms = shut_out.keep_deadline_ms - SHUT_OUT_MS
        return {
            part
            for part in shut_out.parts
            if not shut_out.software_versions
            or not all(
                self._find_survival_deadline_ms(
                    (shut_out.serves, part, version)
                )
                > decided_ms
                for version in shut_out.software_versions
            )
        }


class _RecentParts:
    """Count in how many of the latest requests each part was."""

    def __init__(self):
        self._requests = collections.deque()
        self._counts = collections.Counter()

    def add(self, parts):
        parts = frozenset(parts)
        self._requests.append(parts)
        self._counts.update(parts)
        if len(self._requests) > REQUESTS_KEPT:
            for part in self._requests.popleft():
                self._counts[part] -= 1
                if not self._counts[part]:
                    del self._counts[part]

    def find_share(self, part):
        if len(self._requests) < REQUEST_COUNT_MIN:
            return 0.0
        return self._counts[part] / len(self._requests)


def _is_same_end(crash, report, ended_ms):
    if (crash.server, crash.incarnation) != (
        report.server,
        report.incarnation,
    ):
        return False
    return report.incarnation > 0 or ended_ms - crash.ended_ms < MERGE_MS


def _causes_most(suspect, others_ms):
    """Return whether enough of the ends in a suspect's time are due to it.

    Parameters
    ----------
    others_ms : list of int
        Times of the ends at which no part was present that may be blamed.
    """
    times_ms = [crash.ended_ms for crash in suspect.crashes]
    other_count = sum(
        min(times_ms) <= other_ms <= max(times_ms) for other_ms in others_ms
    )
    return len(times_ms) >= CRASH_SHARE_MIN * (len(times_ms) + other_count)


def _count_apart(times_ms):
    """Return the number of times, with close ones counted once.

    Examples
    --------
    >>> _count_apart([0, 100, 300, 1000])
    3
    """
    count = 0
    first_ms = None
    for time_ms in sorted(times_ms):
        if first_ms is None or time_ms - first_ms >= COMMON_CAUSE_MS:
            first_ms = time_ms
            count += 1
    return count


def _list_questioned(report):
    return {(report.serves, part) for run in report.runs for part in run.parts}


def _count_parts(report):
    return sum(len(run.parts) for run in report.runs)


def _order_of(shut_out):
    return (shut_out.number, shut_out.is_lifted)
