"""Registry of interchangeable implementations, by name."""

from bluebellthread.core import _errors


class Registry:
    """Registry of named implementations of one kind.

    Parameters
    ----------
    kind : str
        Noun for the entries in error messages, such as
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
        """Return a decorator that registers its target under a name."""

        def decorate(target):
            if name in self._entries:
                raise _errors.DuplicateNameError(kind=self._kind, name=name)
            self._entries[name] = target
            return target

        return decorate

    def get(self, name):
        """Return the entry with a name, or raise `UnknownNameError`."""
        if name not in self._entries:
            raise _errors.UnknownNameError(
                kind=self._kind, name=name, known=self.names()
            )
        return self._entries[name]

    def names(self):
        """Return the registered names, sorted."""
        return tuple(sorted(self._entries))
