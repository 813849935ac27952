"""Choice of the checkout that each process of a test's fleet runs.

With ``BLUEBELLTHREAD_TEST_OLD_BUILD=FOLDER``, every other process of the
router runs the checkout in this folder; the stand-ins and the tests stay
those of this one. ``BLUEBELLTHREAD_TEST_OLD_PARITY`` says which: ``0`` (the
default) for the first, third and so on, ``1`` for the others.
"""

import os
import pathlib

ROOT = pathlib.Path(__file__).parent.parent
OLD_BUILD_VARIABLE = 'BLUEBELLTHREAD_TEST_OLD_BUILD'
OLD_PARITY_VARIABLE = 'BLUEBELLTHREAD_TEST_OLD_PARITY'


def choose_checkout(number, environment=os.environ):
    """Return the folder of the checkout that a process runs.

    Parameters
    ----------
    number : int
        Number of the process among those of the router, from 0.
    environment : mapping
        Environment variables.
    """
    old_build = find_old_build(environment)
    parity = int(environment.get(OLD_PARITY_VARIABLE, '0'))
    if old_build is None or number % 2 != parity:
        return ROOT
    return old_build


def find_old_build(environment=os.environ):
    """Return the folder of the older checkout, or None if none is given."""
    old_build = environment.get(OLD_BUILD_VARIABLE)
    if not old_build:
        return None
    # A wrong path must not give a fleet of the new build alone.
    return pathlib.Path(old_build).resolve(strict=True)


def make_environment(checkout):
    """Return the environment of a process that runs a checkout."""
    return {**os.environ, 'PYTHONPATH': str(checkout)}
