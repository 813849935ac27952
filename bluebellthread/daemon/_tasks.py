"""Starts tasks, and decides what an unexpected error in one of them ends.

A nursery ends with the first error of any of its tasks, and the nurseries of
a process hold the work of all callers. Each task is therefore started by one
of these functions:

`start_isolated`
    The task works for one request, server or VM. Its error ends that alone.
`start_lasting`
    The task serves the whole process. It starts again after a pause.
`start_joined`
    Its error is raised where the nursery ends: at the request that waits for
    it, or, in a nursery of the process, at the process. That is for tasks
    without which, or with whose state in doubt, nothing can be served.

`FATAL_ERRORS` are raised by all three.
"""

import trio

from bluebellthread.observe import emit
from bluebellthread.observe import events
from bluebellthread.observe import format_error

FATAL_ERRORS = (MemoryError,)
"""Errors that say that the process itself is broken."""

RESTART_PAUSE_S = 0.5
"""Pause before a lasting task starts again. An error that persists is then
logged twice a second at the most."""


class _Failures:
    """Counts the tasks of the process that failed."""

    count = 0


def start_isolated(nursery, function, *arguments, subject):
    """Start a task whose unexpected error ends what it works for only.

    Parameters
    ----------
    nursery : trio.Nursery
        Holds the task.
    function : callable
        ``async``; it releases what others wait for, however it ends.
    subject : str
        What the task works for, for the log.
    """
    nursery.start_soon(_run_logged, function, arguments, subject)


def start_lasting(nursery, function, *arguments):
    """Start a task that starts again after each unexpected error.

    Parameters
    ----------
    nursery : trio.Nursery
        Holds the task.
    function : callable
        ``async``; can be called again after it has failed.
    """
    nursery.start_soon(_run_again, function, arguments)


def start_joined(nursery, function, *arguments):
    """Start a task whose error the code that opened the nursery handles."""
    nursery.start_soon(function, *arguments)


def read_failure_count():
    """Return how many tasks have failed since the process started."""
    return _Failures.count


async def _run_logged(function, arguments, subject):
    """Run a task; return whether it came to an end without an error."""
    try:
        await function(*arguments)
        return True
    except* FATAL_ERRORS:
        raise
    except* Exception as group:
        _Failures.count += 1
        emit(
            events.TASK_FAILED,
            task=getattr(function, '__qualname__', repr(function)),
            subject=subject,
            error=format_error(group),
        )
    return False


async def _run_again(function, arguments):
    while not await _run_logged(function, arguments, 'this VM'):
        await trio.sleep(RESTART_PAUSE_S)
