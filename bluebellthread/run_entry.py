"""Start an entry VM process: ``python3 -m bluebellthread.run_entry``.

A SIGHUP during start-up would end the process, so the signal is ignored
until the program handles it. No reload is lost, because the settings are
read only after that.
"""

import gc
import importlib
import signal
import sys


def main():
    """Load and run the entry process; return its exit code."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    program = _import_program()
    return program.main()


def _import_program():
    """Import the program without looks for garbage, which take a tenth of it.

    What it has imported stays until the process ends, so it is left out of
    later looks, too.
    """
    gc.disable()
    program = importlib.import_module('bluebellthread.platform.__main__')
    gc.freeze()
    gc.enable()
    return program


if __name__ == '__main__':
    sys.exit(main())
