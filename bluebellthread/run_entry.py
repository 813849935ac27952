"""The program of an entry VM: ``python3 -m bluebellthread.run_entry``.

A SIGHUP that comes while the process is starting would end it. It is
ignored until the program is loaded; the settings are read after that.
"""

import importlib
import signal
import sys


def main():
    """Load and run the entry; return its exit code."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    program = importlib.import_module('bluebellthread.platform.__main__')
    return program.main()


if __name__ == '__main__':
    sys.exit(main())
