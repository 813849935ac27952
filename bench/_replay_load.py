"""Reads, writes and generates recorded loads of model requests.

A file holds the engines, the requests with the times at which their
callers sent them, and the engines' failures. Times are milliseconds from
the start of the recording.
"""

import json
import math
import random

import attrs

PROMPT_MEAN_TOKENS = 3000
PROMPT_SPREAD = 0.5
PROMPT_MAX_TOKENS = 6600
SHARED_TOKENS = 200
WRITTEN_MEAN_PIECES = 71
WRITTEN_SPREAD = 0.7
WRITTEN_MAX_PIECES = 170
TOKENS_PER_PIECE = 18
"""Sizes of the users' requests, from the data sheets of their deployments.

Spreads are standard deviations relative to the mean. Answers are counted in
pieces of `TOKENS_PER_PIECE` tokens.
"""


@attrs.frozen(kw_only=True)
class LoadRequest:
    """One request of a recorded load.

    Parameters
    ----------
    at_ms : int
        Time at which the caller sends the request.
    prompt_tokens : int
        Length of the prompt.
    written_tokens : int
        Actual length of the answer, unknown to the allocator.
    output_tokens : int
        Maximum length of the answer that the request allows.
    kind : int
        Index of its `LoadKind`.
    customer : str
        Name of the customer that sends it; empty if there are none.
    expected_tokens : int
        Length of the answer that the caller expects; 0 if it states none.
    """

    at_ms: int
    prompt_tokens: int
    written_tokens: int
    output_tokens: int = WRITTEN_MAX_PIECES * TOKENS_PER_PIECE
    kind: int = 0
    customer: str = ''
    expected_tokens: int = 0


@attrs.frozen(kw_only=True)
class LoadKind:
    """What the requests of one kind are worth, and when they are on time."""

    priority: int = 5
    target_ms: int = 900
    value_on_time: float = 23.0
    value_late: float = 4.7


@attrs.frozen(kw_only=True)
class LoadDelays:
    """Delays that the model of the engines leaves out, by their quantiles.

    Parameters
    ----------
    prefill_ms, start_ms : tuple of float
        Delays before the prefill starts, and from its end to the decode, at
        evenly spaced quantiles from 0 to 1; drawn for each try.
    is_slow_at_times : bool
        Whether every fifth decode server takes 1.3 times as long for a token,
        and each of them takes 2.5 times as long for 600 ms now and then.
    """

    prefill_ms: tuple[float, ...] = (0, 0)
    start_ms: tuple[float, ...] = (0, 0)
    is_slow_at_times: bool = False


@attrs.frozen(kw_only=True)
class LoadEngine:
    """An engine of a recorded load, with its role and capacity."""

    name: str
    role: str
    data_centre: str = 'a'
    region: str = 'north'
    slot_count: int = 48
    memory_tokens: int = 35962


@attrs.frozen(kw_only=True)
class LoadFailure:
    """An engine's failure from ``at_ms`` to ``back_ms``.

    The engine loses its requests and restarts empty. If it goes dark, it
    stays listed, and only its silence tells of the failure.
    """

    engine: str
    at_ms: int
    back_ms: int
    is_dark: bool = False


@attrs.frozen(kw_only=True)
class Load:
    """A recorded load: engines, requests and engine failures.

    Parameters
    ----------
    pattern : str
        Description of the load in one line.
    """

    pattern: str
    engines: tuple[LoadEngine, ...]
    requests: tuple[LoadRequest, ...]
    failures: tuple[LoadFailure, ...] = ()
    kinds: tuple[LoadKind, ...] = (LoadKind(),)
    delays: LoadDelays = LoadDelays()


def read_load(path):
    """Return the load that a file holds.

    Raises
    ------
    OSError, ValueError, KeyError, TypeError
        If the file can't be read or does not hold a load.
    """
    with open(path, encoding='utf-8') as file:
        fields = json.load(file)
    return Load(
        pattern=fields['pattern'],
        engines=tuple(LoadEngine(**item) for item in fields['engines']),
        requests=tuple(
            _read_request(*values) for values in fields['requests']
        ),
        failures=tuple(
            LoadFailure(**item) for item in fields.get('failures', ())
        ),
        kinds=tuple(LoadKind(**item) for item in fields.get('kinds', [{}])),
        delays=LoadDelays(
            **{
                name: tuple(value) if isinstance(value, list) else value
                for name, value in fields.get('delays', {}).items()
            }
        ),
    )


def _read_request(at, prompt, written, kind=0, expected=0, customer=''):
    return LoadRequest(
        at_ms=at,
        prompt_tokens=prompt,
        written_tokens=written,
        kind=kind,
        expected_tokens=expected,
        customer=customer,
    )


def write_load(load, path):
    """Write a load to a file as one line of JSON."""
    fields = {
        'pattern': load.pattern,
        'engines': [attrs.asdict(item) for item in load.engines],
        'failures': [attrs.asdict(item) for item in load.failures],
        'requests': [_list_values(item) for item in load.requests],
    }
    if load.kinds != (LoadKind(),):
        fields['kinds'] = [attrs.asdict(item) for item in load.kinds]
    if load.delays != LoadDelays():
        fields['delays'] = attrs.asdict(load.delays)
    with open(path, 'w', encoding='utf-8') as file:
        json.dump(fields, file)
        file.write('\n')


def _list_values(request):
    values = [request.at_ms, request.prompt_tokens, request.written_tokens]
    if request.kind or request.expected_tokens or request.customer:
        values += [request.kind, request.expected_tokens, request.customer]
    return values


def make_engines(*, prefill_count, decode_count, **traits):
    """Return prefill and decode engines with the same traits.

    Parameters
    ----------
    traits
        Fields of `LoadEngine` other than ``name`` and ``role``.
    """
    roles = ['prefill'] * prefill_count + ['decode'] * decode_count
    return tuple(
        LoadEngine(name=f'{role}-{index}', role=role, **traits)
        for index, role in enumerate(roles)
    )


def assign_decode_role(load, names):
    """Return a copy of a load in which the named engines have role decode."""
    return attrs.evolve(
        load,
        engines=tuple(
            attrs.evolve(item, role='decode') if item.name in names else item
            for item in load.engines
        ),
    )


def make_burst_load(
    *, seed, pattern, engines, rate_per_s, bursts, length_s, failures=()
):
    """Return a load with Poisson arrivals at a steady rate and in bursts.

    Parameters
    ----------
    rate_per_s : float
        Request rate outside bursts.
    bursts : iterable of (float, float, float)
        Begin and end of each burst in seconds, and its factor on the rate.
    length_s : float
        Length of the recording.
    """
    rng = random.Random(seed)
    requests = []
    at_s = 0.0
    while True:
        factor = max(
            [1.0] + [x for begin, end, x in bursts if begin <= at_s < end]
        )
        at_s += rng.expovariate(rate_per_s * factor)
        if at_s >= length_s:
            break
        requests.append(_make_request(rng, at_s))
    return Load(
        pattern=pattern,
        engines=engines,
        requests=tuple(requests),
        failures=tuple(failures),
    )


def _make_request(rng, at_s):
    prompt = SHARED_TOKENS + _draw(
        rng, PROMPT_MEAN_TOKENS, PROMPT_SPREAD, PROMPT_MAX_TOKENS
    )
    pieces = _draw(
        rng, WRITTEN_MEAN_PIECES, WRITTEN_SPREAD, WRITTEN_MAX_PIECES
    )
    return LoadRequest(
        at_ms=int(at_s * 1000),
        prompt_tokens=int(prompt),
        written_tokens=max(1, int(pieces)) * TOKENS_PER_PIECE,
    )


def _draw(rng, mean, spread, most):
    """Draw from a log-normal distribution, capped at a maximum.

    The spread is the standard deviation relative to the mean.
    """
    sigma = math.sqrt(math.log(1 + spread * spread))
    mu = math.log(mean) - sigma * sigma / 2
    return min(most, rng.lognormvariate(mu, sigma))
