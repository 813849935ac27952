"""Registries of interchangeable behaviour, filled by decorators."""

from bluebellthread.core import _errors


class Registry:
    """Named implementations of one kind of behaviour.

    Parameters
    ----------
    kind : str
        What the entries are, for error messages, such as
        ``'prefill policy'``.

    Examples
    --------
    >>> policies = Registry('greeting')
    >>> @policies.register('plain')
    ... def greet():
    ...     return 'hello'
    >>> policies.get('plain')()
    'hello'
    >>> policies.names()
    ('plain',)
    """

    def __init__(self, kind):
        self._kind = kind
        self._entries = {}

    def register(self, name):
        """Return a decorator that adds its target under a name."""

        def decorate(target):
            if name in self._entries:
                raise _errors.DuplicateNameError(kind=self._kind, name=name)
            self._entries[name] = target
            return target

        return decorate

    def get(self, name):
        """Return the entry of a name, or raise `UnknownNameError`."""
        if name not in self._entries:
            raise _errors.UnknownNameError(
                kind=self._kind, name=name, known=self.names()
            )
        return self._entries[name]

    def names(self):
        """Return the registered names in order."""
        return tuple(sorted(self._entries))
