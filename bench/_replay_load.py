"""Recorded loads of model requests, as small files.

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
"""Sizes of the users' requests (the deployments' sheets)."""


@attrs.frozen(kw_only=True)
class LoadRequest:
    """One request of a recorded load.

    Parameters
    ----------
    written_tokens : int
        How long the answer is, which nobody knows before its end.
    output_tokens : int
        The longest answer that the request allows.
    """

    at_ms: int
    prompt_tokens: int
    written_tokens: int
    output_tokens: int = WRITTEN_MAX_PIECES * TOKENS_PER_PIECE


@attrs.frozen(kw_only=True)
class LoadEngine:
    """One engine of a recorded load."""

    name: str
    role: str
    data_centre: str = 'a'
    region: str = 'north'
    slot_count: int = 48
    memory_tokens: int = 35962


@attrs.frozen(kw_only=True)
class LoadFailure:
    """An engine that is gone for some time and comes back empty."""

    engine: str
    at_ms: int
    back_ms: int


@attrs.frozen(kw_only=True)
class Load:
    """A recorded load.

    Parameters
    ----------
    pattern : str
        What it shows, in a line.
    """

    pattern: str
    engines: tuple[LoadEngine, ...]
    requests: tuple[LoadRequest, ...]
    failures: tuple[LoadFailure, ...] = ()


def read_load(path):
    """Return the load in a file.

    Raises
    ------
    OSError, ValueError, KeyError, TypeError
        If the file can't be read or is no load.
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
    """Write a load to a file, a request a line."""
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
    """Return engines of both roles."""
    roles = ['prefill'] * prefill_count + ['decode'] * decode_count
    return tuple(
        LoadEngine(name=f'{role}-{index}', role=role, **traits)
        for index, role in enumerate(roles)
    )


def move_to_decode(load, names):
    """Return a load whose engines of these names decode."""
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
    """Return a load that comes at a steady rate with bursts.

    Parameters
    ----------
    bursts : iterable of (float, float, float)
        Begin and end in seconds, and the factor on the rate.
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
    """Return a log-normal figure of a mean and relative spread."""
    sigma = math.sqrt(math.log(1 + spread * spread))
    mu = math.log(mean) - sigma * sigma / 2
    return min(most, rng.lognormvariate(mu, sigma))
