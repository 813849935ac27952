"""Commands that generate loads and replay them against entry policies."""

import json

import attrs
from matplotlib import pyplot

from bench import _replay_load
from bench import _replay_world
from bluebellthread.core import routing

DEFAULT_POLICY = 'on-time-first+growth'


def parse_policy(name):
    """Return the `AllocatorOptions` for ``WAITING-ORDER+MEMORY-MODEL``.

    Raises
    ------
    UnknownNameError
        If the waiting order or the memory model is not registered.
    ValueError
        If the name does not consist of two parts joined by a plus sign.
    """
    waiting_order, memory_model = name.split('+')
    routing.waiting_orders.get(waiting_order)
    routing.memory_models.get(memory_model)
    return routing.AllocatorOptions(
        waiting_order=waiting_order, memory_model=memory_model
    )


def replay_all(options):
    """Print a JSON line for each file and policy; plot them if asked for."""
    results = []
    for path in options.files:
        load = _replay_load.read_load(path)
        for policy in options.policy:
            world = _replay_world.ReplayWorld(load, parse_policy(policy))
            result = world.run()
            results.append((f'{path} {policy}', result))
            print(json.dumps(summarize(path, policy, result)), flush=True)
    if options.plot:
        draw(results, options.plot)


def summarize(path, policy, result):
    """Return the results of one replay as a JSON-serializable dict."""
    return {
        'file': path,
        'policy': policy,
        'on_time': result.on_time,
        'late': result.late,
        'unserved': result.unserved,
        'refusals': result.refusals,
        'preemptions': result.preemptions,
        'wasted_tokens': result.wasted_tokens,
        'worth_share': round(result.worth_share, 4),
        'served_share': round(result.served_share, 4),
    }


def draw(results, path):
    """Plot waiting requests, refusals and on-time answers over time.

    The plot is written to a PNG file at the given path.
    """
    figure, axes = pyplot.subplots(3, 1, sharex=True, figsize=(8, 8))
    for label, result in results:
        times_s = [at_ms / 1000 for at_ms, _ in result.samples]
        axes[0].plot(times_s, [count for _, count in result.samples])
        for axis, moments in (
            (axes[1], result.refused_ms),
            (axes[2], result.on_time_ms),
        ):
            seconds = [int(at_ms / 1000) for at_ms in moments]
            span = range(int(max(times_s, default=0)) + 1)
            axis.plot(span, [seconds.count(s) for s in span], label=label)
    for axis, title in zip(
        axes, ('waiting', 'refusals a second', 'on time a second'), strict=True
    ):
        axis.set_ylabel(title)
    axes[2].legend(fontsize=6)
    axes[2].set_xlabel('seconds')
    figure.savefig(path)


def add_record_arguments(parser):
    """Add the arguments of the ``record`` command to its parser."""
    parser.add_argument('file', metavar='FILE')
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--pattern', required=True)
    parser.add_argument('--rate-per-s', type=float, default=10.4)
    parser.add_argument('--length-s', type=float, default=34.0)
    parser.add_argument('--prefill-count', type=int, default=3)
    parser.add_argument('--decode-count', type=int, default=6)
    parser.add_argument(
        '--burst',
        type=parse_burst,
        nargs='*',
        default=[],
        metavar='BEGIN:END:FACTOR',
    )
    parser.add_argument(
        '--failure',
        type=parse_failure,
        nargs='*',
        default=[],
        metavar='ENGINE:AT_MS:BACK_MS[:dark]',
    )


def parse_burst(text):
    """Parse ``BEGIN:END:FACTOR`` into seconds, seconds and a rate factor."""
    begin, end, factor = text.split(':')
    return float(begin), float(end), float(factor)


def parse_failure(text):
    """Return the `LoadFailure` for ``ENGINE:AT_MS:BACK_MS``.

    ``:dark`` after it is for an engine that falls silent.
    """
    engine, at_ms, back_ms, *how = text.split(':')
    if how not in ([], ['dark']):
        raise ValueError(f'a failure ends with :dark or nothing, not {how}')
    return _replay_load.LoadFailure(
        engine=engine,
        at_ms=int(at_ms),
        back_ms=int(back_ms),
        is_dark=bool(how),
    )


def record(options):
    """Generate a load with bursts and write it to a file."""
    load = _replay_load.make_burst_load(
        seed=options.seed,
        pattern=options.pattern,
        engines=_replay_load.make_engines(
            prefill_count=options.prefill_count,
            decode_count=options.decode_count,
        ),
        rate_per_s=options.rate_per_s,
        bursts=options.burst,
        length_s=options.length_s,
        failures=options.failure,
    )
    _replay_load.write_load(load, options.file)
    print(json.dumps({**attrs.asdict(load), 'requests': len(load.requests)}))
