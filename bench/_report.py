"""Compares runs in a Markdown table and a plot."""

import collections
import json
import pathlib
import statistics

COLUMNS = (
    ('goodput /s', 'goodput_per_s'),
    ('good share', 'good_share'),
    ('wasted prefill', 'wasted_prefill_share'),
    ('wasted tokens', 'wasted_tokens_share'),
    ('small callers', 'small_callers_share'),
    ('fairness', 'fairness_index'),
)


def read_records(paths):
    """Return the run records in files of JSON lines."""
    records = []
    for path in paths:
        for line in pathlib.Path(path).read_text().splitlines():
            if line.strip():
                records.append(json.loads(line))
    return records


def group_records(records):
    """Group the records by deployment, fault, load and policy.

    Return a dict from these four values to a list of records, sorted by key.
    """
    groups = collections.defaultdict(list)
    for record in records:
        key = (
            f'{record["deployment"]} ({", ".join(record["places"])})',
            record['fault'],
            record['load'],
            record['policy'],
        )
        groups[key].append(record)
    return dict(sorted(groups.items()))


def make_table(records):
    """Return a Markdown table with mean and range over seeds."""
    head = ['deployment', 'fault', 'load', 'policy', 'runs']
    head += [title for title, _ in COLUMNS]
    head += [
        'first output p50/p95 ms',
        'pace p95 ms',
        'wasted by',
        'refused',
        'failed',
    ]
    lines = [_row(head), _row(['---'] * len(head))]
    for key, group in group_records(records).items():
        cells = [*map(str, key), str(len(group))]
        cells += [_mean_and_range(group, field) for _, field in COLUMNS]
        first = [_percentile(group, 'first_output_ms', p) for p in (50, 95)]
        cells.append('/'.join(first))
        cells.append(_percentile(group, 'pace_ms', 95))
        cells.append(_format_counts(group, 'wasted_tokens'))
        cells.append(_format_counts(group, 'refusals'))
        cells.append(_format_counts(group, 'failures'))
        lines.append(_row(cells))
    return '\n'.join(lines)


def make_plot(records, path):
    """Plot goodput and wasted prefill against load to an image file.

    Each combination of deployment, fault and policy has its own line.
    """
    # Only reports need the plotting library, which is slow to import.
    import matplotlib

    matplotlib.use('Agg')
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(1, 2, figsize=(11, 4.5))
    lines = collections.defaultdict(list)
    for key, group in group_records(records).items():
        lines[key[0], key[1], key[3]].append((key[2], group))
    for (deployment, fault, policy), points in lines.items():
        label = policy if fault == 'none' else f'{policy}, {fault}'
        label = f'{label}, {deployment.split(" ")[0]}'
        loads = [load for load, _ in points]
        for axis, field in zip(
            axes, ('goodput_per_s', 'wasted_prefill_share'), strict=True
        ):
            means = [_mean(group, field) or 0 for _, group in points]
            axis.plot(loads, means, marker='o', label=label)
    for axis, title in zip(
        axes, ('goodput, requests/s', 'wasted prefill, share'), strict=True
    ):
        axis.set_xlabel('load, share of capacity')
        axis.set_title(title)
        axis.set_ylim(bottom=0)
    axes[0].legend(fontsize='small')
    figure.tight_layout()
    figure.savefig(path)


def _row(cells):
    return '| ' + ' | '.join(cells) + ' |'


def _values(group, field):
    return [item[field] for item in group if item.get(field) is not None]


def _mean(group, field):
    values = _values(group, field)
    return statistics.mean(values) if values else None


def _mean_and_range(group, field):
    values = _values(group, field)
    if not values:
        return '-'
    return (
        f'{statistics.mean(values):.3g} ({min(values):.3g} to '
        f'{max(values):.3g})'
    )


def _percentile(group, field, percentile):
    values = [item[field][f'p{percentile}'] for item in group if item[field]]
    return f'{statistics.mean(values):.0f}' if values else '-'


def _format_counts(group, field):
    total = collections.Counter()
    for item in group:
        total.update(item.get(field, {}))
    return ', '.join(f'{k} {n}' for k, n in sorted(total.items())) or '-'
