"""Implement ``config routes``, which checks an entry's configuration."""

import json

import attrs

from bluebellthread.cli import _registry
from bluebellthread.core.routing import _table_review
from bluebellthread.platform import _decoding
from bluebellthread.platform import _table_file


@_registry.commands.register('config routes')
class ConfigRoutes:
    """Check the configuration that entries get from the platform.

    Keys of customers are not printed.
    """

    def add_arguments(self, parser):
        """Add the arguments of the command to its parser."""
        parser.add_argument('file', metavar='FILE')
        parser.add_argument(
            '--in-force',
            metavar='OLD',
            help='list the differences from this configuration',
        )
        parser.add_argument('--json', action='store_true')

    def run(self, arguments):
        """Print what is found; fail if VMs would not use all of the file."""
        findings, differences = [], []
        new = _load(arguments.file, findings)
        if new is not None:
            findings += _table_review.review_table(new.table)
        if arguments.in_force is not None:
            old = _load(arguments.in_force, findings)
            if old is not None and new is not None:
                findings += _check_version(old.table, new.table)
                differences = _table_review.list_table_differences(
                    old.table, new.table
                ) + old.list_key_changes(new)
        _show(findings, differences, is_json=arguments.json)
        is_usable = all(
            finding.severity != _table_review.ERROR for finding in findings
        )
        return _registry.EXIT_DONE if is_usable else _registry.EXIT_INVALID


def _load(path, findings):
    """Return the `TableFile` of a path; add a finding if it is invalid."""
    try:
        return _table_file.load_table_file(path)
    except OSError as error:
        raise _registry.CommandError(
            f'{path} can not be read: {error.strerror}',
            exit_code=_registry.EXIT_UNREADABLE,
        ) from None
    except _decoding.EntryError as error:
        findings.append(
            _table_review.Finding(_table_review.ERROR, path, str(error))
        )
        return None


def _check_version(old, new):
    if new.version > old.version:
        return []
    text = f'{new.version} is not above {old.version}: VMs would ignore it'
    return [_table_review.Finding(_table_review.ERROR, 'version', text)]


def _show(findings, differences, *, is_json):
    if is_json:
        shown = {
            'findings': [attrs.asdict(finding) for finding in findings],
            'differences': differences,
        }
        print(json.dumps(shown, indent=2))
        return
    for line in (*findings, *differences):
        print(line)
    if not findings:
        print('no faults found')
