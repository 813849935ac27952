"""Prints how much memory a process keeps after bursts of long blocks."""

import random

from bluebellthread.daemon import _heap
from tests import _process_memory

SEED = 1
ROUNDS = 40
BLOCKS = 60


def hold_blocks(rng):
    """Hold long blocks of many lengths at a time; return short ones."""
    long_blocks = []
    kept = []
    for _ in range(BLOCKS):
        long_blocks.append(bytes(rng.randrange(130_000, 700_000)))
        kept.append(bytes(rng.randrange(600, 3000)))
    rng.shuffle(long_blocks)
    return kept


def main():
    """Print the growth of this process."""
    _heap.keep_mapping_long_blocks()
    rng = random.Random(SEED)
    first_bytes = _process_memory.read_resident_bytes()
    kept = [hold_blocks(rng) for _ in range(ROUNDS)]
    print(_process_memory.read_resident_bytes() - first_bytes)
    kept.clear()


if __name__ == '__main__':
    main()
