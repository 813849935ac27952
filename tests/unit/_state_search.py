"""Breadth-first search over the reachable states of a modelled system.

A state, called a world, is an object with three methods: ``key()`` returns
a hashable value that identifies it, ``fault()`` returns the invariant that
it violates or None, and ``successors()`` yields ``(label, world)`` pairs.
"""

import collections
import gc

import attrs


@attrs.frozen(kw_only=True)
class SearchResult:
    """The result of a search.

    ``states`` counts the states visited. ``faults`` maps each fault to the
    step labels that lead to its first occurrence.
    """

    states: int
    faults: dict


def search(world, *, stop_at=()):
    """Visit every reachable state, breadth first.

    Stops early once every fault in ``stop_at`` has been found.
    """
    # The states contain no reference cycles, and garbage collection would
    # take half of the run time.
    gc.disable()
    try:
        return _search(world, stop_at)
    finally:
        gc.enable()


def _search(world, stop_at):
    seen = {world.key()}
    queue = collections.deque([(world, None)])
    faults = {}
    while queue:
        world, path = queue.popleft()
        for label, successor in world.successors():
            key = successor.key()
            if key in seen:
                continue
            seen.add(key)
            steps = (label, path)
            fault = successor.fault()
            if fault is None:
                queue.append((successor, steps))
            elif fault not in faults:
                faults[fault] = _unwind(steps)
                if stop_at and set(stop_at) <= set(faults):
                    return SearchResult(states=len(seen), faults=faults)
    return SearchResult(states=len(seen), faults=faults)


def _unwind(steps):
    labels = []
    while steps:
        label, steps = steps
        labels.append(label)
    return labels[::-1]
