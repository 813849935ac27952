import unittest

import hypothesis
from hypothesis import strategies

from bluebellthread import core

REGIONS = (
    core.Region(name='north', data_centres=('a', 'b')),
    core.Region(name='south', data_centres=('c',)),
)


def make_exception(number, **scope):
    return core.ScopedException(
        scope=core.Scope(**scope),
        reason=f'reason {number}',
        values={'priority': number},
    )


def make_configuration(*exceptions, revision=1):
    return core.Configuration(
        revision=revision,
        regions=REGIONS,
        models=(core.Model(name='m'),),
        exceptions=exceptions,
    )


scopes = strategies.builds(
    core.Scope,
    region=strategies.sampled_from(['', 'north', 'south']),
    data_centre=strategies.sampled_from(['', 'a', 'c']),
    serves=strategies.sampled_from(['', 'm']),
    caller=strategies.sampled_from(['', 'x', 'y']),
)


def is_more_specific(one, other):
    def rank(scope):
        location = 2 if scope.data_centre else 1 if scope.region else 0
        return (bool(scope.caller), bool(scope.serves), location)

    return rank(one) > rank(other)


class TestResolve(unittest.TestCase):
    @hypothesis.given(strategies.lists(scopes, max_size=8))
    def test_the_most_specific_matching_exception_sets_the_value(self, drawn):
        exceptions = [
            make_exception(number, **scope_fields(scope))
            for number, scope in enumerate(drawn, 1)
        ]
        configuration = make_configuration(*exceptions)
        hypothesis.assume(not core.check_configuration(configuration))
        request = {'region': 'north', 'data_centre': 'a'}
        request |= {'serves': 'm', 'caller': 'x'}
        best = None
        for item in exceptions:
            fields = scope_fields(item.scope)
            if any(fields[f] not in ('', request[f]) for f in request):
                continue
            if best is None or is_more_specific(item.scope, best.scope):
                best = item
        expected = best.values['priority'] if best else 0
        found = core.resolve(configuration, **request)
        self.assertEqual(expected, found.priority)

    def test_explain_names_the_exception_and_its_reason(self):
        configuration = make_configuration(
            make_exception(1, region='north'), make_exception(2, caller='x')
        )
        decisions = {
            decision.name: decision
            for decision in core.explain(configuration, data_centre='a')
        }
        self.assertEqual('reason 1', decisions['priority'].reason)
        self.assertIsNone(decisions['pace_target_ms'].exception_index)


class TestAcceptance(unittest.TestCase):
    def assert_refused(self, path, *exceptions):
        outcome = core.decide_acceptance(make_configuration(*exceptions))
        self.assertIsInstance(outcome, core.Invalid)
        self.assertEqual([path], [item.path for item in outcome.problems])

    def test_conflicting_exceptions_of_equal_scope_are_invalid(self):
        # A scope that also names the data centre's region is no narrower.
        self.assert_refused(
            'exceptions[1].values.priority',
            make_exception(1, data_centre='a'),
            make_exception(2, region='north', data_centre='a'),
        )

    def test_unknown_names_in_a_scope_are_invalid(self):
        for field in ('region', 'data_centre', 'serves'):
            self.assert_refused(
                f'exceptions[0].scope.{field}',
                make_exception(1, **{field: 'z'}),
            )

    def test_a_scope_of_the_whole_fleet_is_invalid(self):
        self.assert_refused('exceptions[0].scope', make_exception(1))

    def test_a_data_centre_outside_the_region_is_invalid(self):
        self.assert_refused(
            'exceptions[0].scope.region',
            make_exception(1, region='south', data_centre='a'),
        )

    def test_only_a_higher_revision_is_accepted(self):
        in_force = make_configuration(revision=5)
        outcomes = [
            type(
                core.decide_acceptance(
                    make_configuration(revision=revision), in_force=in_force
                )
            )
            for revision in (4, 5, 6)
        ]
        self.assertEqual([core.Stale, core.Stale, core.Accepted], outcomes)


def scope_fields(scope):
    return {
        name: getattr(scope, name)
        for name in ('region', 'data_centre', 'serves', 'caller')
    }
