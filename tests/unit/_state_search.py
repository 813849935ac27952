"""Breadth-first search over the states of a world.

A world has ``key()``, ``fault()`` and ``successors()``.
"""

import collections
import gc

import attrs


@attrs.frozen(kw_only=True)
class SearchResult:
    """What a search saw; ``steps`` lead to the first state of a fault."""

    states: int
    faults: dict


def search(world, *, stop_at=()):
    """Visit every reachable state, breadth first.

    Ends early once each kind of fault in ``stop_at`` has been found.
    """
    # The states hold no cycles; looking for some takes half of the time.
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
