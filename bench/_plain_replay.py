"""Compare the choices of servers of plain services in a replay."""

from bench import _plain_world
from bluebellthread.core import routing


def add_arguments(parser):
    """Add the arguments of the subcommand."""
    parser.add_argument('--vms', nargs='+', type=int, default=[8, 100])
    parser.add_argument('--seeds', nargs='+', type=int, default=[1, 2, 3])
    parser.add_argument(
        '--rate-factor',
        nargs='+',
        type=float,
        default=[1.0],
        help='multiples of 100 requests a second, twice that in bursts',
    )
    parser.add_argument(
        '--choice', nargs='+', default=routing.server_choices.names()
    )


def sum_runs(choice, vm_count, rate_factor, seeds):
    """Replay with each seed; return the `Figures` of all in sum.

    Ratios are averaged, and the longest queue is that of the worst seed.
    """
    runs = [
        _plain_world.PlainWorld(
            choice=choice,
            vm_count=vm_count,
            seed=seed,
            rate_factor=rate_factor,
        ).run()
        for seed in seeds
    ]
    return _plain_world.Figures(
        requests=sum(run.requests for run in runs),
        on_time=sum(run.on_time for run in runs),
        sheds=sum(run.sheds for run in runs),
        failed=sum(run.failed for run in runs),
        peak_over_mean=sum(run.peak_over_mean for run in runs) / len(runs),
        largest_queue=max(run.largest_queue for run in runs),
    )


def replay_all(options):
    """Print a row of a table for each combination of the options."""
    print(
        '| VMs | rate | choice | requests | on time | refused by full servers'
        ' | without answer | fullest over mean | most at one server |'
    )
    print('|---|---|---|---|---|---|---|---|---|')
    for vm_count in options.vms:
        for factor in options.rate_factor:
            for choice in options.choice:
                run = sum_runs(choice, vm_count, factor, options.seeds)
                on_time = run.on_time / run.requests
                print(
                    f'| {vm_count} | {factor:g} | {choice} | {run.requests} '
                    f'| {on_time:.4f} | {run.sheds} | {run.failed} '
                    f'| {run.peak_over_mean:.2f} | {run.largest_queue} |',
                    flush=True,
                )
    return 0
