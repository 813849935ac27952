"""``config explain``: what decides each value for a request."""

from bluebellthread.cli import _registry
from bluebellthread import configuration
from bluebellthread import core


@_registry.commands.register('config explain')
class ConfigExplain:
    """Show which default or exception decides each value, and why."""

    def add_arguments(self, parser):
        """Declare the arguments."""
        parser.add_argument('file', metavar='FILE')
        parser.add_argument(
            '--service',
            default='',
            metavar='S',
            help='a model or plain service',
        )
        parser.add_argument('--data-centre', default='', metavar='D')
        parser.add_argument('--caller', default='', metavar='C')

    def run(self, arguments):
        """Print one line for each value."""
        loaded = load_valid_configuration(arguments.file)
        served = [item.name for item in loaded.models + loaded.services]
        places = [
            name for region in loaded.regions for name in region.data_centres
        ]
        _check_name('model or plain service', arguments.service, served)
        _check_name('data centre', arguments.data_centre, places)
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
    """Return the configuration in a file, or raise `CommandError`."""
    try:
        return configuration.load_configuration(path)
    except core.ConfigurationError as error:
        raise _registry.CommandError(
            f'{path} has {len(error.problems)} problems; run '
            f"'bluebellthread config check {path}' to see them",
            exit_code=_registry.EXIT_INVALID,
        ) from None


def _check_name(kind, name, known):
    if name and name not in known:
        raise _registry.CommandError(
            f'unknown {kind} {name!r}; use one of: {", ".join(known)}',
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
