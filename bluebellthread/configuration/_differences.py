"""Describe the differences between two configurations as text."""

import attrs

_SCALARS = ('revision', 'weight_loads_per_min')
_NAMED_SECTIONS = ('regions', 'models', 'services', 'backend_servers')


def list_differences(old, new):
    """Return one line of text for each difference of two configurations.

    Examples
    --------
    >>> from bluebellthread import core
    >>> list_differences(
    ...     core.Configuration(revision=1, models=(core.Model(name='a'),)),
    ...     core.Configuration(revision=1))
    ['models a: removed']
    """
    lines = []
    for name in _SCALARS:
        before, after = getattr(old, name), getattr(new, name)
        if before != after:
            lines.append(f'{name}: {before} -> {after}')
    for section in _NAMED_SECTIONS:
        before = {item.name: item for item in getattr(old, section)}
        after = {item.name: item for item in getattr(new, section)}
        lines.extend(_compare_named(section, before, after))
    lines.extend(_compare_fields('defaults', old.defaults, new.defaults))
    lines.extend(
        _compare_named(
            'exceptions',
            {_describe_exception(item): item for item in old.exceptions},
            {_describe_exception(item): item for item in new.exceptions},
        )
    )
    return lines


def describe_scope(scope):
    """Return the fields set in a scope, such as ``region=north caller=c``."""
    fields = attrs.asdict(scope).items()
    return ' '.join(f'{name}={value}' for name, value in fields if value)


def _describe_exception(exception):
    # Two exceptions may have the same scope if they set different values,
    # so the names of the values are part of the label.
    names = ', '.join(sorted(exception.values))
    return f'{describe_scope(exception.scope)} for {names}'


def _compare_named(section, before, after):
    lines = []
    for name in before:
        if name not in after:
            lines.append(f'{section} {name}: removed')
        else:
            lines.extend(
                _compare_fields(f'{section} {name}', before[name], after[name])
            )
    lines.extend(
        f'{section} {name}: added' for name in after if name not in before
    )
    return lines


def _compare_fields(label, before, after):
    lines = []
    for field in attrs.fields(type(before)):
        old = getattr(before, field.name)
        new = getattr(after, field.name)
        if old != new:
            lines.append(f'{label}: {field.name}: {old!r} -> {new!r}')
    return lines
