"""Find the queued requests to refuse."""

import math


class QueueRefusals:
    """Finds the queued requests that get no engines in time.

    Parameters
    ----------
    options : AllocatorOptions
        Limits of the queue.
    pool : EnginePool
        The engines.
    limits : object
        Limits of engines, see `Allocator`.
    first_event_ms : callable
        Takes a prompt length; returns the expected time from the grant to
        the first event.
    grant_pace : GrantPace
        Tells how soon the queue reaches a request.
    """

    def __init__(self, *, options, pool, limits, first_event_ms, grant_pace):
        self._options = options
        self._pool = pool
        self._limits = limits
        self._first_event_ms = first_event_ms
        self._grant_pace = grant_pace

    def find_kinds(self, waiting_requests, in_order, now_ms):
        """Return the refusal kind of each request to refuse, by ``ask_id``.

        Parameters
        ----------
        waiting_requests : dict
            The queued requests by ``ask_id``.
        in_order : callable
            Takes the time; returns them in the order of their turn.
        """
        first_event_ms = self._first_event_ms
        kinds = {}
        late = []
        for ask_id, waiting in waiting_requests.items():
            request = waiting.request
            expected_event_ms = now_ms + first_event_ms(request.prompt_tokens)
            kind = self._find_refusal_kind(request, expected_event_ms)
            if kind:
                kinds[ask_id] = kind
            is_late = expected_event_ms > request.target_deadline_ms
            if is_late and not request.has_begun:
                late.append((request.deadline_ms, ask_id))
        if not self._options.refuses_unreached:
            for ask_id in self._find_excess_late(late):
                kinds.setdefault(ask_id, 'overloaded')
        for ask_id in self._find_unserved_by_limits(in_order, now_ms):
            kinds.setdefault(ask_id, 'server-limit')
        return kinds

    def find_unreached(self, waiting_requests, in_order, now_ms):
        """Return the ids of late requests that the queue won't reach in time.

        Late requests are the last in the order; those beyond the queue limit
        are among them. Called after the grants of a decision, so that no
        request is refused for which there is room.

        Parameters
        ----------
        waiting_requests, in_order, now_ms : dict, callable, int
            As for `find_kinds`.
        """
        if not self._options.refuses_unreached:
            return []
        late_count = sum(
            self._is_late(waiting.request, now_ms)
            for waiting in waiting_requests.values()
        )
        if not late_count:
            return []
        ordered = in_order(now_ms)
        before_count = len(ordered) - late_count
        late_max = self._compute_late_max()
        return [
            waiting.request.ask_id
            for number, waiting in enumerate(ordered[before_count:], 1)
            if number > late_max
            or now_ms
            + self._grant_pace.late_wait_ms(before_count + number, now_ms)
            + self._first_event_ms(waiting.request.prompt_tokens)
            > waiting.request.start_deadline_ms
        ]

    def _is_late(self, request, now_ms):
        expected_ms = now_ms + self._first_event_ms(request.prompt_tokens)
        return (
            expected_ms > request.target_deadline_ms and not request.has_begun
        )

    def _compute_late_max(self):
        server_count = len(self._pool.by_role['decode'])
        return max(1, round(self._options.late_per_server * server_count))

    def _find_unserved_by_limits(self, in_order, now_ms):
        """Return the ids of requests whose turn comes after their target.

        The limits of all decode servers together say when that is.
        """
        servers = [account.server for account in self._pool.by_role['decode']]
        rate_per_s = sum(map(self._limits.find_rate_per_s, servers))
        if not rate_per_s or math.isinf(rate_per_s):
            return []
        token_count = sum(map(self._limits.has_token, servers))
        first_event_ms = self._first_event_ms
        return [
            waiting.request.ask_id
            for number, waiting in enumerate(in_order(now_ms), 1)
            if not waiting.request.has_begun
            and now_ms
            + 1000 * max(0, number - token_count) / rate_per_s
            + first_event_ms(waiting.request.prompt_tokens)
            > waiting.request.target_deadline_ms
        ]

    def _find_excess_late(self, late):
        """Return the ids of the late requests that exceed the queue limit.

        Requests with the earliest deadlines stay queued: most of them are
        retries after a refusal.

        Parameters
        ----------
        late : list of (int, str)
            Deadline and ``ask_id`` of each late request.
        """
        late_max = self._compute_late_max()
        if len(late) <= late_max:
            return []
        return [ask_id for _, ask_id in sorted(late)[late_max:]]

    def _find_refusal_kind(self, request, expected_event_ms):
        if expected_event_ms >= request.start_deadline_ms:
            return 'too-late'
        if not self._pool.by_role['decode']:
            return 'no-server'
        version = request.software_version
        if version and version not in self._pool.decode_versions:
            return 'no-version'
        if (
            request.prompt_tokens + request.output_tokens
            > self._pool.largest_tokens
        ):
            return 'too-large'
        return ''


class NoLimits:
    """Engines that name no limits."""

    def has_token(self, server):
        """Return whether an engine takes another request."""
        del server
        return True

    def reserve(self, server):
        """Return whether a token was taken: none is needed."""
        del server
        return False

    def find_rate_per_s(self, server):
        """Return the requests a second that an engine takes."""
        del server
        return math.inf
