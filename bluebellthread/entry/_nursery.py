"""Two things at a time, with the error of the one that matters.

A nursery wraps what is raised in it in a group; these raise it as it is.
"""

import trio


async def run_beside(helper, main):
    """Run ``main`` with a helper beside it, and return its result.

    Parameters
    ----------
    helper : callable
        ``async``; cancelled when ``main`` ends. Must not raise.
    main : callable
        ``async``.
    """
    result = None
    raised = None
    async with trio.open_nursery() as nursery:
        nursery.start_soon(helper)
        try:
            result = await main()
        except Exception as error:
            raised = error
        nursery.cancel_scope.cancel()
    if raised is not None:
        raise raised
    return result


async def run_until_either(watch, main):
    """Run ``main`` until it or ``watch`` ends, whichever is first.

    Parameters
    ----------
    watch, main : callable
        ``async``; ``watch`` must not raise.
    """
    raised = None

    async def run_watch(scope):
        await watch()
        scope.cancel()

    async with trio.open_nursery() as nursery:
        nursery.start_soon(run_watch, nursery.cancel_scope)
        try:
            await main()
        except Exception as error:
            raised = error
        nursery.cancel_scope.cancel()
    if raised is not None:
        raise raised
