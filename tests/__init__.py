"""The test suite; importing it sets up hypothesis for all tests."""

import hypothesis

# Run the same examples every time and without a time limit, so that results
# are reproducible on any machine.
hypothesis.settings.register_profile(
    'repeatable', derandomize=True, deadline=None, database=None
)
hypothesis.settings.load_profile('repeatable')
