"""Write the fields of peer.thrift: ``python -m bluebellthread.wire``."""

import sys

from bluebellthread.wire import _structs


def main():
    """Write ``_peer_generated.py``; return the exit code."""
    _structs.GENERATED_PATH.write_text(_structs.generate(), encoding='utf-8')
    return 0


if __name__ == '__main__':
    sys.exit(main())
