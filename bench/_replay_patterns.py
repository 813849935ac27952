"""Loads in which streams compete for insufficient engines, made from a seed.

Rates, sizes and delays are those recorded on heavy days of the deployments.
"""

import math
import random

import attrs

from bench import _replay_load

DELAYS = _replay_load.LoadDelays(
    prefill_ms=(0, 30, 55, 85, 135, 280),
    start_ms=(20, 50, 75, 95, 130, 300),
)
"""Make the time from the grant to the first event that of the recordings:
258, 349, 436 and 573 ms at the quantiles 25, 50, 75 and 90 %."""

PROMPT_MEAN_TOKENS = 3200
PROMPT_SPREAD = 0.5
PROMPT_MAX_TOKENS = 6800
ANSWER_MAX_TOKENS = 3060
ANSWER_SPREAD = 0.5
HINT_SPREAD = 0.5
"""Standard deviation of the logarithm of callers' hints relative to the true
length; the median is right."""

PRIORITIES = (
    _replay_load.LoadKind(
        priority=0, target_ms=800, value_on_time=15, value_late=1.2
    ),
    _replay_load.LoadKind(
        priority=1, target_ms=1000, value_on_time=7.9, value_late=1.6
    ),
    _replay_load.LoadKind(
        priority=2, target_ms=2000, value_on_time=3.9, value_late=1.2
    ),
)
PRIORITY_SHARES = (8, 12, 13)
ONE_KIND = (_replay_load.LoadKind(value_on_time=12, value_late=2.4),)


def make_bursts(seed):
    """Return base load with three bursts and a loss of engines in the last."""
    engines = _make_engines(10, 35, 28684)
    return _make_load(
        seed,
        'bursts of 1.7 to 2.2 times 45 a second, a sixth of the engines lost',
        engines,
        45,
        [(6, 11, 1.7, None), (17, 21, 2.2, None), (27, 31, 1.8, None)],
        failures=[
            _replay_load.LoadFailure(
                engine=item.name, at_ms=28000, back_ms=32000
            )
            for item in engines[::6]
        ],
        is_slow=True,
    )


def make_priorities(seed):
    """Return a mix of three priorities; the least urgent has a burst.

    Three of five engines are lost meanwhile, since all of them suffice.
    """
    engines = _make_engines(16, 54, 29292)
    return _make_load(
        seed,
        'three priorities at 54 a second, the third at 2.1 times for 6 s',
        engines,
        54,
        [(12, 18, 2.1, 2)],
        failures=[
            _replay_load.LoadFailure(
                engine=item.name, at_ms=11000, back_ms=24000
            )
            for number, item in enumerate(engines)
            if number % 5 not in (0, 2)
        ],
        kinds=PRIORITIES,
        shares=PRIORITY_SHARES,
        answer_tokens=1000,
        customer_count=8,
    )


def make_customer(seed):
    """Return eight customers, of which one sends 6 times as much as usual."""
    return _make_load(
        seed,
        'eight customers at 52 a second, one at 6 times its usual for 8 s',
        _make_engines(10, 35, 28684),
        52,
        [],
        customer_count=8,
        customer_burst=(12, 20, 6),
    )


def make_long_prompts(seed):
    """Return a load near capacity with a sixth of the prompts long."""
    return _make_load(
        seed,
        'a sixth of the prompts above 5,500 tokens, memory binds',
        _make_engines(10, 35, 28684),
        58,
        [(8, 16, 1.5, None), (20, 26, 1.6, None)],
        long_share=0.16,
    )


PATTERNS = {
    'bursts-at-target': make_bursts,
    'priorities': make_priorities,
    'one-customer': make_customer,
    'long-prompts': make_long_prompts,
}


def _make_engines(prefill_count, decode_count, memory_tokens):
    return _replay_load.make_engines(
        prefill_count=prefill_count,
        decode_count=decode_count,
        slot_count=16,
        memory_tokens=memory_tokens,
    )


def _make_load(
    seed,
    pattern,
    engines,
    rate_per_s,
    bursts,
    *,
    kinds=ONE_KIND,
    shares=(1,),
    answer_tokens=1280,
    customer_count=0,
    customer_burst=None,
    long_share=0,
    failures=(),
    is_slow=False,
    length_s=34,
):
    """Return a load of Poisson arrivals, one process for each kind.

    Parameters
    ----------
    bursts : list of (float, float, float, int or None)
        Begin, end, factor, and the kind that it concerns, None for all.
    customer_burst : (float, float, float) or None
        Begin, end and factor on the rate of the first customer.
    """
    rng = random.Random(seed)
    requests = []
    for kind, share in enumerate(shares):
        usual = rate_per_s * share / sum(shares)
        for source in range(max(1, customer_count)):
            at_s = 0.0
            while True:
                factors = [
                    factor
                    for begin, end, factor, of_kind in bursts
                    if begin <= at_s < end and of_kind in (None, kind)
                ]
                if customer_burst and not source:
                    begin, end, factor = customer_burst
                    factors += [factor] if begin <= at_s < end else []
                rate = usual / max(1, customer_count) * max([1, *factors])
                at_s += rng.expovariate(rate)
                if at_s >= length_s:
                    break
                name = f'c{source}' if customer_count else ''
                request = _make_request(rng, at_s, answer_tokens, long_share)
                requests.append(
                    attrs.evolve(request, kind=kind, customer=name)
                )
    requests.sort(key=lambda request: request.at_ms)
    return _replay_load.Load(
        pattern=pattern,
        engines=engines,
        requests=tuple(requests),
        failures=tuple(failures),
        kinds=kinds,
        delays=attrs.evolve(DELAYS, is_slow_at_times=is_slow),
    )


def _make_request(rng, at_s, answer_tokens, long_share):
    prompt = _draw(rng, PROMPT_MEAN_TOKENS, PROMPT_SPREAD)
    prompt = min(PROMPT_MAX_TOKENS, prompt)
    if rng.random() < long_share:
        prompt = rng.uniform(5500, PROMPT_MAX_TOKENS)
    elif long_share:
        prompt /= 2
    written = _draw(rng, answer_tokens, ANSWER_SPREAD)
    hint = written * rng.lognormvariate(0, HINT_SPREAD)
    return _replay_load.LoadRequest(
        at_ms=int(at_s * 1000),
        prompt_tokens=max(200, int(prompt)),
        written_tokens=max(18, min(ANSWER_MAX_TOKENS, int(written))),
        expected_tokens=max(18, min(ANSWER_MAX_TOKENS, int(hint))),
    )


def _draw(rng, mean, spread):
    sigma = math.sqrt(math.log(1 + spread * spread))
    return rng.lognormvariate(math.log(mean) - sigma * sigma / 2, sigma)


def write_all(directory):
    """Write the load of each pattern, with seed 1, to a directory."""
    for name, make in PATTERNS.items():
        _replay_load.write_load(make(1), directory / f'{name}.json')
