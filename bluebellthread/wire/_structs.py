"""Thrift structs of the messages, made from fields generated in advance.

Parsing ``peer.thrift`` takes a process 85 ms of processor time, an eighth of
its start, and callers wait for the start after a loss of power.
``python -m bluebellthread.wire`` writes the fields to ``_peer_generated.py``.
"""

import pathlib

import thriftpy2
from thriftpy2 import thrift

IDL_PATH = pathlib.Path(__file__).with_name('peer.thrift')
GENERATED_PATH = pathlib.Path(__file__).with_name('_peer_generated.py')

STRUCT_REFERENCE = 'struct '
"""Begin of a reference to a struct in a specification; no field's name has a
space."""

_HEADER = '''"""Fields of the structs in peer.thrift, by struct.

Written by ``python -m bluebellthread.wire``; change peer.thrift instead. Each
field is its number and its thriftpy2 type specification, with structs by
reference.
"""

# fmt: off

'''


class Structs:
    """The struct classes by name, as attributes; each is made when first used.

    Parameters
    ----------
    fields_by_struct : dict of str to tuple
        For each struct the number and the type specification of each field.

    Examples
    --------
    >>> structs = Structs({'Point': ((1, (8, 'x', False)),)})
    >>> structs.Point(x=3).x
    3
    """

    def __init__(self, fields_by_struct):
        self._fields_by_struct = fields_by_struct

    def __getattr__(self, name):
        if name not in self._fields_by_struct:
            raise AttributeError(f'{IDL_PATH.name} has no struct {name}')
        spec = {
            number: self._resolve(item)
            for number, item in self._fields_by_struct[name]
        }
        struct = type(name, (thrift.TPayload,), {'__module__': __name__})
        struct._tspec = {item[1]: (False, item[0]) for item in spec.values()}
        thrift.gen_init(
            struct, spec, [(item[1], None) for item in spec.values()]
        )
        setattr(self, name, struct)
        return struct

    def __dir__(self):
        return sorted(self._fields_by_struct)

    def _resolve(self, item):
        """Return a type specification with classes in place of references."""
        if isinstance(item, tuple):
            return tuple(map(self._resolve, item))
        if isinstance(item, str) and item.startswith(STRUCT_REFERENCE):
            return getattr(self, item.removeprefix(STRUCT_REFERENCE))
        return item


def generate():
    """Return the source of ``_peer_generated.py``, from ``peer.thrift``."""
    idl = thriftpy2.load(str(IDL_PATH), module_name='bluebellthread_thrift')
    lines = ['FIELDS_BY_STRUCT = {\n']
    for name in dir(idl):
        fields = getattr(getattr(idl, name), 'thrift_spec', None)
        if fields is None:
            continue
        lines.append(f'    {name!r}: (\n')
        for number, item in fields.items():
            lines.append(f'        ({number}, {_refer(item)!r}),\n')
        lines.append('    ),\n')
    lines.append('}\n')
    return _HEADER + ''.join(lines)


def _refer(item):
    """Return a type specification with references in place of classes."""
    if isinstance(item, tuple):
        return tuple(map(_refer, item))
    if isinstance(item, type):
        return STRUCT_REFERENCE + item.__name__
    return item
