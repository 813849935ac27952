"""Command line of the load tests: ``python -m bench --help``."""

import argparse
import functools
import json
import sys

import trio

from bench import _deployments
from bench import _faults
from bench import _plain_replay
from bench import _proxy_cost
from bench import _replay
from bench import _report
from bench import _rig
from bench import _run
from bench import _slopes
from bluebellthread import core

LOADS = (0.5, 0.8, 1.0, 1.2, 2.0)

PRESETS = {
    'random': ('random', 'random', 'first-come'),
    'round-robin': ('round-robin', 'round-robin', 'first-come'),
    'least-reported': ('least-reported', 'most-reported', 'first-come'),
    'reserved': ('least-loaded', 'most-free', 'first-come'),
    'fair': ('least-loaded', 'most-free', 'fair'),
    'full': ('prefix', 'fewest-running', 'fair-early-refusal'),
}


def parse_policies(name):
    """Parse a policy argument into its name and its `Policies`.

    The argument is a preset, or PREFILL+DECODE+QUEUE: a prefill, a decode and
    a queue policy joined by plus signs.
    """
    parts = PRESETS.get(name) or tuple(name.split('+'))
    if len(parts) != 3:
        raise argparse.ArgumentTypeError(
            f'unknown policy {name!r}; use one of {", ".join(PRESETS)}, or '
            'three policy names joined as PREFILL+DECODE+QUEUE'
        )
    registries = (
        core.prefill_policies,
        core.decode_policies,
        core.queue_policies,
    )
    for registry, part in zip(registries, parts, strict=True):
        try:
            registry.get(part)
        except core.UnknownNameError as error:
            raise argparse.ArgumentTypeError(str(error)) from error
    return name, _rig.Policies(
        prefill_policy=parts[0], decode_policy=parts[1], queue_policy=parts[2]
    )


def make_parser():
    """Return the argument parser with all subcommands."""
    parser = argparse.ArgumentParser(
        prog='python -m bench',
        description='Load-test daemons and simulated engines on loopback.',
    )
    commands = parser.add_subparsers(dest='command', required=True)
    run = commands.add_parser(
        'run',
        help='run each policy at each load and print one JSON line per run',
    )
    run.add_argument(
        '--deployment',
        choices=sorted(_deployments.DEPLOYMENTS),
        nargs='+',
        default=['papuseria'],
    )
    run.add_argument(
        '--places',
        nargs='+',
        help='data centres to start (default: all of the deployment)',
    )
    run.add_argument(
        '--policy',
        type=parse_policies,
        nargs='+',
        default=[parse_policies('full')],
        help=f'a preset ({", ".join(PRESETS)}) or PREFILL+DECODE+QUEUE',
    )
    run.add_argument('--load', type=float, nargs='+', default=list(LOADS))
    run.add_argument(
        '--fault',
        choices=_faults.fault_kinds.names(),
        nargs='+',
        default=['none'],
    )
    run.add_argument('--seed', type=int, nargs='+', default=[1])
    run.add_argument('--duration-s', type=float, default=15.0)
    run.add_argument(
        '--outcomes',
        metavar='FILE',
        help='file to which one JSON line per request is appended',
    )
    run.set_defaults(call=run_all)
    report = commands.add_parser(
        'report', help='compare runs in a Markdown table and a plot'
    )
    report.add_argument('files', nargs='+', metavar='FILE')
    report.add_argument('--plot', metavar='FILE.png')
    report.set_defaults(call=report_all)
    slopes = commands.add_parser(
        'slopes',
        help='measure unit costs of the codec, the core and stored objects',
    )
    slopes.add_argument(
        '--only', choices=_slopes.slopes.names(), nargs='+', metavar='NAME'
    )
    slopes.set_defaults(call=measure_slopes)
    cost = commands.add_parser(
        'proxy-cost',
        help="measure a daemon's processor time and memory, idle and loaded",
    )
    cost.set_defaults(call=measure_cost)
    replay = commands.add_parser(
        'replay',
        help="replay a recorded load against the entry's placement policies",
    )
    replay.add_argument('files', nargs='+', metavar='FILE')
    replay.add_argument(
        '--policy',
        nargs='+',
        default=[_replay.DEFAULT_POLICY],
        help='WAITING-ORDER+MEMORY-MODEL',
    )
    replay.add_argument('--plot', metavar='FILE.png')
    replay.set_defaults(call=_replay.replay_all)
    plain = commands.add_parser(
        'plain', help='replay requests to a plain service, choices compared'
    )
    _plain_replay.add_arguments(plain)
    plain.set_defaults(call=_plain_replay.replay_all)
    record = commands.add_parser(
        'record', help='generate a load with bursts and write it to a file'
    )
    _replay.add_record_arguments(record)
    record.set_defaults(call=_replay.record)
    return parser


def run_all(options):
    """Run every combination of options and print one JSON line per run.

    The innermost loop is over the policies, so that runs that differ only in
    their policy follow each other directly.
    """
    for name in options.deployment:
        deployment = _deployments.DEPLOYMENTS[name]
        if options.places:
            deployment = deployment.only(options.places)
        for seed in options.seed:
            for fault in options.fault:
                for load in options.load:
                    for policy, policies in options.policy:
                        record = trio.run(
                            functools.partial(
                                _run.run_once,
                                deployment=deployment,
                                policy=policy,
                                policies=policies,
                                load=load,
                                fault=fault,
                                seed=seed,
                                duration_s=options.duration_s,
                                outcomes_path=options.outcomes,
                            )
                        )
                        print(json.dumps(record), flush=True)


def report_all(options):
    """Print the table of recorded runs; with ``--plot``, draw their plot."""
    records = _report.read_records(options.files)
    print(_report.make_table(records))
    if options.plot:
        _report.make_plot(records, options.plot)


def measure_slopes(options):
    """Print the selected unit costs as JSON."""
    names = options.only or _slopes.slopes.names()
    print(json.dumps(_slopes.measure_all(names), indent=2))


def measure_cost(options):
    """Print a daemon's processor time and memory as JSON."""
    print(json.dumps(trio.run(_proxy_cost.measure), indent=2))


def main(arguments=None):
    """Run the subcommand that the arguments name; return the exit code."""
    options = make_parser().parse_args(arguments)
    options.call(options)
    return 0


if __name__ == '__main__':
    sys.exit(main())
