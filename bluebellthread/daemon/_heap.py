"""Has the C library give long blocks of memory back to the system.

Python takes blocks of more than 512 bytes from the C library. The one of GNU
maps long blocks from the system, one by one, but whenever such a block is
freed, it takes blocks up to that length from its heap from then on. Between
blocks of many lengths there, a burst of long bodies leaves gaps of a few times
their size.
"""

import ctypes

MAPPED_BLOCK_BYTES = 128 * 1024
"""Length from which blocks are mapped: what the GNU library begins with."""

_M_MMAP_THRESHOLD = -3
"""Parameter of ``mallopt`` (``malloc.h``)."""


def keep_mapping_long_blocks():
    """Map blocks of `MAPPED_BLOCK_BYTES` for as long as the process runs.

    Returns
    -------
    bool
        Whether the C library takes this setting; others than GNU's do not.
    """
    try:
        mallopt = ctypes.CDLL(None).mallopt
    except (AttributeError, OSError):
        return False
    return bool(mallopt(_M_MMAP_THRESHOLD, MAPPED_BLOCK_BYTES))
