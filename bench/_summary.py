"""Summarises the outcomes of one run in a flat record."""

import collections

from hdrh.histogram import HdrHistogram

FIRST_OUTPUT_TARGET_MS = 780
PACE_TARGET_MS = 45

LATE_REFUSAL_MS = 100
"""Time from arrival to refusal above which the refusal counts as late."""

MIN_REQUESTS = 5
"""Minimum requests of a small caller; with fewer, its share is noise."""


def is_good(outcome):
    """Return whether an answer is complete and within both targets.

    The targets are those for the first output and for the time between
    pieces.
    """
    return (
        outcome.state == 'whole'
        and outcome.first_ms <= FIRST_OUTPUT_TARGET_MS
        and outcome.pace_ms <= PACE_TARGET_MS
    )


def summarise(outcomes, states, *, duration_s):
    """Return the flat record that summarises a run.

    Parameters
    ----------
    outcomes : list of Outcome
        Results of all requests.
    states : dict
        Final state of each engine by name.
    duration_s : float
        Time over which requests were sent.
    """
    whole = [item for item in outcomes if item.state == 'whole']
    good = [item for item in outcomes if is_good(item)]
    refused = [item for item in outcomes if item.state == 'refused']
    failed = [
        item for item in outcomes if item.state in ('failed', 'unanswered')
    ]
    return {
        'offered': len(outcomes),
        'send_lag_ms': _percentiles(item.lag_ms for item in outcomes),
        'offered_per_s': round(len(outcomes) / duration_s, 2),
        'whole': len(whole),
        'goodput_per_s': round(len(good) / duration_s, 2),
        'good_share': _share(len(good), len(outcomes)),
        'good_share_of_whole': _share(len(good), len(whole)),
        'first_output_ms': _percentiles(item.first_ms for item in whole),
        'pace_ms': _percentiles(item.pace_ms for item in whole),
        'refusals': dict(_count_kinds(refused)),
        'late_refusals': sum(
            item.ended_ms > LATE_REFUSAL_MS for item in refused
        ),
        'refusal_answer_ms': _percentiles(item.ended_ms for item in refused),
        'failures': dict(_count_kinds(failed)),
        **summarise_prefill(states),
        **summarise_fairness(outcomes),
    }


def summarise_prefill(states):
    """Return the number of prefills and the share that was wasted.

    A prefill is wasted if no decode started from its result.
    """
    runs = collections.Counter()
    cancelled_ids = set()
    computed_tokens = evicted_count = 0
    started = set()
    for state in states.values():
        if state['role'] == 'prefill':
            runs.update(state.get('runs', {}))
            computed_tokens += state.get('computed_tokens', 0)
            evicted_count += state.get('evicted_count', 0)
        else:
            started |= set(state.get('started', {}))
        cancelled_ids |= set(state.get('cancelled_ids', ()))
    total = sum(runs.values())
    # A repeated prefill for the same request is wasted too.
    wasted = total - len(started & set(runs))
    evicted = min(evicted_count, wasted)
    unstarted = set(runs) - started
    cancelled = min(len(unstarted & cancelled_ids), wasted - evicted)
    return {
        'prefills': total,
        'prefill_tokens': computed_tokens,
        'wasted_prefill_share': _share(wasted, total),
        'wasted_prefill_causes': {
            'evicted': evicted,
            'cancelled': cancelled,
            'other': wasted - evicted - cancelled,
        },
    }


def summarise_counters(counts, prefill_tokens):
    """Return retries and wasted prefill tokens from the daemons' counters.

    Parameters
    ----------
    counts : dict
        Sum of each statsd counter by name.
    prefill_tokens : int
        Tokens that all prefill engines processed.
    """
    wasted = _parts(counts, 'prefill.wasted_tokens.')
    return {
        'retries': _parts(counts, 'retries.'),
        'wasted_tokens': wasted,
        'wasted_tokens_share': _share(sum(wasted.values()), prefill_tokens),
    }


def _parts(counts, start):
    return {
        name.removeprefix(start): count
        for name, count in sorted(counts.items())
        if name.startswith(start)
    }


def summarise_fairness(outcomes):
    """Return Jain's fairness index and the goodput of small callers.

    The fair share is the max-min fair level of the goodput: every caller is
    served up to this many requests. Small callers send no more than the fair
    share.
    """
    request_counts = collections.Counter(
        item.arrival.caller for item in outcomes
    )
    good_counts = collections.Counter(
        item.arrival.caller for item in outcomes if is_good(item)
    )
    fair_share = _fair_share(
        request_counts.values(), sum(good_counts.values())
    )
    small = [
        caller
        for caller, count in request_counts.items()
        if MIN_REQUESTS <= count <= fair_share
    ]
    shares = [
        good_counts[caller] / min(count, fair_share)
        for caller, count in request_counts.items()
        if fair_share
    ]
    small_request_count = sum(request_counts[caller] for caller in small)
    whole = collections.Counter(
        item.arrival.caller for item in outcomes if item.state == 'whole'
    )
    small_whole_count = sum(whole[caller] for caller in small)
    small_good_count = sum(good_counts[caller] for caller in small)
    return {
        'fairness_index': round(_jain(shares), 4),
        'small_callers': len(small),
        'small_callers_asked': small_request_count,
        'small_callers_share': _share(small_good_count, small_request_count),
        'small_callers_answered': _share(
            small_whole_count, small_request_count
        ),
        'small_callers_worst': min(
            (round(good_counts[c] / request_counts[c], 4) for c in small),
            default=None,
        ),
    }


def _fair_share(demands, total):
    """Return the max-min fair share of a total among demands."""
    left = total
    demands = sorted(demands)
    for index, demand in enumerate(demands):
        fair_share = left / (len(demands) - index)
        if demand > fair_share:
            return fair_share
        left -= demand
    return demands[-1] if demands else 0


def _jain(shares):
    squares = sum(share**2 for share in shares)
    if not squares:
        return 0.0
    return sum(shares) ** 2 / (len(shares) * squares)


def _share(part, total):
    return round(part / total, 4) if total else None


def _count_kinds(outcomes):
    return collections.Counter(item.kind or item.state for item in outcomes)


def _percentiles(values_ms):
    histogram = HdrHistogram(1, 3_600_000, 3)
    for value in values_ms:
        histogram.record_value(max(1, round(value * 10)))
    if not histogram.get_total_count():
        return None
    return {
        f'p{percentile}': histogram.get_value_at_percentile(percentile) / 10
        for percentile in (50, 95, 99)
    }
