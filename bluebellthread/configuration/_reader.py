"""Convert JSON values to attrs classes and collect all problems."""

import math
import typing

import attrs

from bluebellthread.configuration import _rules
from bluebellthread import core

_TYPE_NAMES = {
    str: 'a text',
    int: 'a whole number',
    float: 'a number',
    bool: 'true or false',
    dict: 'an object',
    list: 'a list',
}


class ItemCache:
    """Cache of list items that were read without a problem.

    A new revision shares most items with the previous one. Reading only
    new items shortens the pause of the event loop.

    Examples
    --------
    >>> cache = ItemCache()
    >>> cache.keep('models', {'name': 'm'}, core.Model(name='m'))
    >>> cache.start_round()
    >>> cache.find('models', {'name': 'm'})
    Model(name='m', version='', adapters=())
    """

    def __init__(self):
        self._previous = {}
        self._current = {}

    def start_round(self):
        """Start reading a revision; evict items unused by the previous one."""
        self._previous, self._current = self._current, {}

    def find(self, kind, raw):
        """Return the cached item for decoded JSON, or None."""
        key = (kind, repr(raw))
        found = self._previous.get(key)
        if found is not None:
            self._current[key] = found
        return found

    def keep(self, kind, raw, item):
        """Add an item that was read without a problem."""
        self._current[(kind, repr(raw))] = item


class Reader:
    """Converts decoded JSON to attrs classes and collects problems.

    Parameters
    ----------
    cache : ItemCache or None
        Items that were read from an earlier revision.

    Examples
    --------
    >>> reader = Reader()
    >>> reader.read(core.Model, {'nam': 'm'}, 'models[0]')
    >>> [problem.path for problem in reader.problems]
    ['models[0].nam', 'models[0].name']
    """

    def __init__(self, cache=None):
        self.problems = []
        self._cache = cache or ItemCache()
        self._cache.start_round()

    def add(self, path, message, remedy):
        """Record a problem at a path."""
        self.problems.append(
            core.Problem(path=path, message=message, remedy=remedy)
        )

    def read(self, kind, value, path):
        """Convert a value to a type, or record problems and return None."""
        if attrs.has(kind):
            return self._read_object(kind, value, path)
        if typing.get_origin(kind) is tuple:
            return self._read_list(typing.get_args(kind)[0], value, path)
        if typing.get_origin(kind) is dict:
            return self._read_partial(core.Values, value, path)
        return self._read_scalar(kind, value, path)

    def _read_object(self, cls, value, path):
        if not self._check_type(dict, value, path):
            return None
        values = self._read_fields(cls, value, path)
        for field in attrs.fields(cls):
            if field.default is attrs.NOTHING and field.name not in value:
                self.add(
                    _join(path, field.name),
                    'missing',
                    f'add {field.name!r}',
                )
        # Build the object from the valid fields, so that later checks can
        # report their problems together with these.
        return self._build(cls, values)

    def _build(self, cls, values):
        for field in attrs.fields(cls):
            if field.default is attrs.NOTHING and field.name not in values:
                return None
        return cls(**values)

    def _read_fields(self, cls, value, path):
        fields = {field.name: field for field in attrs.fields(cls)}
        values = {}
        for name, raw in value.items():
            child = _join(path, name)
            if name not in fields:
                self.add(
                    child, 'unknown key', f'use one of: {", ".join(fields)}'
                )
                continue
            before = len(self.problems)
            read = self.read(fields[name].type, raw, child)
            if len(self.problems) == before and isinstance(
                read, str | int | float
            ):
                self._check_rule(cls, name, read, child)
            if read is not None:
                values[name] = read
        return values

    def _check_rule(self, cls, name, value, path):
        violation = _rules.check_scalar(cls, name, value)
        if violation is not None:
            self.add(path, *violation)

    def _read_list(self, item_kind, value, path):
        if not self._check_type(list, value, path):
            # None stands for an unreadable item; later checks then skip
            # references to the list.
            return (None,)
        return tuple(
            self._read_item(item_kind, item, f'{path}[{index}]')
            for index, item in enumerate(value)
        )

    def _read_item(self, kind, raw, path):
        if not attrs.has(kind):
            return self.read(kind, raw, path)
        found = self._cache.find(kind, raw)
        if found is not None:
            return found
        before = len(self.problems)
        item = self.read(kind, raw, path)
        if len(self.problems) == before:
            self._cache.keep(kind, raw, item)
        return item

    def _read_partial(self, cls, value, path):
        if not self._check_type(dict, value, path):
            return None
        return self._read_fields(cls, value, path)

    def _read_scalar(self, kind, value, path):
        if kind is float and type(value) is int:
            value = float(value)
        if not self._check_type(kind, value, path):
            return None
        if kind is float and not math.isfinite(value):
            self.add(path, f'{value} is too large', 'use a smaller number')
            return None
        return value

    def _check_type(self, kind, value, path):
        if type(value) is kind:
            return True
        self.add(
            path,
            f'found {_TYPE_NAMES.get(type(value), "null")}',
            f'write {_TYPE_NAMES[kind]}',
        )
        return False


def _join(path, name):
    return f'{path}.{name}' if path else name
