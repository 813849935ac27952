"""Prints by how many bytes a process grows with long bodies side by side.

The bodies share a budget and grow in turn until it is spent.
"""

from bluebellthread import core
from tests import _process_memory

BUDGET_BYTES = 16 * 1024 * 1024
BODY_COUNT = 12
PIECE_BYTES = 64000
ROUNDS = 3


def grow_in_turn(budget):
    """Let bodies grow in turn until the budget has taken none of them."""
    bodies = [
        core.AnswerBody(
            framing=core.FRAMED_BY_CHUNKS,
            content_type='',
            size_max_bytes=BUDGET_BYTES,
            budget=budget,
        )
        for _ in range(BODY_COUNT)
    ]
    while bodies:
        for body in list(bodies):
            try:
                body.add(bytes(PIECE_BYTES))
            except core.AnswerTooLongError:
                body.close()
                bodies.remove(body)


def main():
    """Print the growth of this process."""
    budget = core.BodyBudget(BUDGET_BYTES)
    first_bytes = _process_memory.read_resident_bytes()
    for _ in range(ROUNDS):
        grow_in_turn(budget)
    print(_process_memory.read_peak_bytes() - first_bytes)


if __name__ == '__main__':
    main()
