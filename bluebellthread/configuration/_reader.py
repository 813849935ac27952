"""JSON values to attrs classes; collects every fault with its path."""

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
    """Items of lists that were read without a problem, by their text.

    A new revision has most items of the one before; reading only what is
    new keeps the pause short that it makes.

    Examples
    --------
    >>> cache = ItemCache()
    >>> cache.keep('models', {'name': 'm'}, core.Model(name='m'))
    >>> cache.start_round()
    >>> cache.find('models', {'name': 'm'})
    Model(name='m', version='', adapters=())
    """

    def __init__(self):
        self._before = {}
        self._now = {}

    def start_round(self):
        """Forget what the last round did not use."""
        self._before, self._now = self._now, {}

    def find(self, kind, raw):
        """Return the item of a decoded value, or None."""
        key = (kind, repr(raw))
        found = self._before.get(key)
        if found is not None:
            self._now[key] = found
        return found

    def keep(self, kind, raw, item):
        """Keep an item that was read without a problem."""
        self._now[(kind, repr(raw))] = item


class Reader:
    """Reads values and keeps the problems that it meets.

    Parameters
    ----------
    cache : ItemCache or None
        Items of an earlier value.

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
        """Note a problem."""
        self.problems.append(
            core.Problem(path=path, message=message, remedy=remedy)
        )

    def read(self, kind, value, path):
        """Return a value as its kind, or None after noting problems."""
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
        # Built from what could be read, so that further checks can report
        # their problems together with these.
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
        fault = _rules.check_scalar(cls, name, value)
        if fault is not None:
            self.add(path, *fault)

    def _read_list(self, item_kind, value, path):
        if not self._check_type(list, value, path):
            # One item that could not be read: what refers to the list is
            # not judged.
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
