"""Reads files that hold the operator's configuration, as the store has it."""

import base64
import collections

import attrs

from bluebellthread.platform import _decoding


@attrs.frozen
class TableFile:
    """A configuration that was read from a file.

    Parameters
    ----------
    table : RoutingTable
        The routing table, as a VM would use it.
    """

    table: object
    _fields: dict = attrs.field(repr=False)

    def list_key_changes(self, new):
        """Return how many keys customers gain and lose, as lines of text."""
        before, after = self._list_keys(), new._list_keys()
        lines = []
        for name in sorted(before.keys() | after.keys()):
            added = len(after[name] - before[name])
            removed = len(before[name] - after[name])
            if added or removed:
                lines.append(
                    f'customer {name}: {added} keys added, {removed} removed'
                )
        return lines

    def _list_keys(self):
        keys = collections.defaultdict(set)
        for customer in self._fields.get('tenants') or ():
            keys[customer['name']].update(customer['apiKeys'])
        return keys


def load_table_file(path):
    """Return the `TableFile` of a file.

    Raises
    ------
    OSError
        If the file can't be read.
    EntryError
        If VMs would reject the configuration.
    """
    with open(path, 'rb') as file:
        value = base64.b64encode(file.read())
    fields = _decoding.decode_value({'value': value})
    return TableFile(_decoding.decode_table(fields), fields)
