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
    """

    at_ms: int
    prompt_tokens: int
    written_tokens: int
    output_tokens: int = WRITTEN_MAX_PIECES * TOKENS_PER_PIECE


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
            LoadRequest(at_ms=at, prompt_tokens=prompt, written_tokens=written)
            for at, prompt, written in fields['requests']
        ),
        failures=tuple(
            LoadFailure(**item) for item in fields.get('failures', ())
        ),
    )


def write_load(load, path):
    """Write a load to a file as one line of JSON."""
    fields = {
        'pattern': load.pattern,
        'engines': [attrs.asdict(item) for item in load.engines],
        'failures': [attrs.asdict(item) for item in load.failures],
        'requests': [
            [item.at_ms, item.prompt_tokens, item.written_tokens]
            for item in load.requests
        ],
    }
    with open(path, 'w', encoding='utf-8') as file:
        json.dump(fields, file)
        file.write('\n')


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
