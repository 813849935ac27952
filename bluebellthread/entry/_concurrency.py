"""Runs a main task beside a helper task, and raises the main task's error.

A trio nursery wraps exceptions in an exception group; these functions raise
the main task's exception unwrapped.
"""

import trio

from bluebellthread.daemon import _tasks


async def run_beside(helper, main):
    """Run ``main`` with ``helper`` beside it; return the result of ``main``.

    Parameters
    ----------
    helper : callable
        ``async``; cancelled when ``main`` ends. Must not raise.
    main : callable
        ``async``; its result or exception is passed on.
    """
    result = None
    raised = None
    async with trio.open_nursery() as nursery:
        _tasks.start_joined(nursery, helper)
        try:
            result = await main()
        except Exception as error:
            raised = error
        nursery.cancel_scope.cancel()
    try:
        if raised is not None:
            raise raised
    finally:
        # Its traceback holds this frame, and whatever its frames hold.
        del raised
    return result


async def run_until_either(watch, main):
    """Run ``main`` until it or ``watch`` ends, whichever is first.

    Parameters
    ----------
    watch : callable
        ``async``; cancels ``main`` by returning. Must not raise.
    main : callable
        ``async``; its exception is passed on.
    """
    raised = None

    async def run_watch(scope):
        await watch()
        scope.cancel()

    async with trio.open_nursery() as nursery:
        _tasks.start_joined(nursery, run_watch, nursery.cancel_scope)
        try:
            await main()
        except Exception as error:
            raised = error
        nursery.cancel_scope.cancel()
    try:
        if raised is not None:
            raise raised
    finally:
        # As in `run_beside`.
        del raised
