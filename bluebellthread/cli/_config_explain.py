"""Implement ``config explain``, which shows where values come from."""

from bluebellthread.cli import _registry
from bluebellthread import configuration
from bluebellthread import core


@_registry.commands.register('config explain')
class ConfigExplain:
    """Show the default or exception that sets each value, and its reason."""

    def add_arguments(self, parser):
        """Add the arguments of the command to its parser."""
        parser.add_argument('file', metavar='FILE')
        parser.add_argument(
            '--service',
            default='',
            metavar='S',
            help='name of a model or plain service',
        )
        parser.add_argument('--data-centre', default='', metavar='D')
        parser.add_argument('--caller', default='', metavar='C')

    def run(self, arguments):
        """Print each value with the default or exception that sets it."""
        loaded = load_valid_configuration(arguments.file)
        served_names = [item.name for item in loaded.models + loaded.services]
        data_centres = [
            name for region in loaded.regions for name in region.data_centres
        ]
        _check_name('model or plain service', arguments.service, served_names)
        _check_name('data centre', arguments.data_centre, data_centres)
        decisions = core.explain(
            loaded,
            data_centre=arguments.data_centre,
            serves=arguments.service,
            caller=arguments.caller,
        )
        width = max(len(decision.name) for decision in decisions)
        for decision in decisions:
            print(f'{decision.name:{width}}  {_describe(decision)}')
        return _registry.EXIT_DONE


def load_valid_configuration(path):
    """Load a configuration file; raise `CommandError` if it is invalid."""
    try:
        return configuration.load_configuration(path)
    except core.ConfigurationError as error:
        raise _registry.CommandError(
            f'{path} has {len(error.problems)} problems; run '
            f"'bluebellthread config check {path}' to see them",
            exit_code=_registry.EXIT_INVALID,
        ) from None


def _check_name(kind, name, known_names):
    if name and name not in known_names:
        raise _registry.CommandError(
            f'unknown {kind} {name!r}; use one of: {", ".join(known_names)}',
            exit_code=_registry.EXIT_UNKNOWN_NAME,
        )


def _describe(decision):
    if decision.exception_index is None:
        return f'{decision.value}  (default)'
    scope = configuration.describe_scope(decision.scope)
    return (
        f'{decision.value}  (exceptions[{decision.exception_index}], '
        f'{scope}: {decision.reason})'
    )
