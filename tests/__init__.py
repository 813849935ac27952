"""The tests; importing this sets up hypothesis for all of them."""

import hypothesis

# The same examples on each run, and none failed for being slow, so that a
# run's verdict repeats on any machine.
hypothesis.settings.register_profile(
    'repeatable', derandomize=True, deadline=None, database=None
)
hypothesis.settings.load_profile('repeatable')
