"""The base of the project's errors: typed kinds that name the remedy."""


class BluebellthreadError(Exception):
    """Base of every error that the project raises on purpose.

    Examples
    --------
    >>> issubclass(UnknownNameError, BluebellthreadError)
    True
    """


class UnknownNameError(BluebellthreadError):
    """A name that nothing is registered under.

    Examples
    --------
    >>> str(UnknownNameError(kind='policy', name='x', known=('a', 'b')))
    "unknown policy 'x'; use one of: a, b"
    """

    def __init__(self, *, kind, name, known):
        self.kind = kind
        self.name = name
        self.known = known
        super().__init__(
            f'unknown {kind} {name!r}; use one of: {", ".join(known)}'
        )


class DuplicateNameError(BluebellthreadError):
    """A name that is registered already.

    Examples
    --------
    >>> str(DuplicateNameError(kind='policy', name='x'))
    "policy 'x' is registered twice; give one of them another name"
    """

    def __init__(self, *, kind, name):
        self.kind = kind
        self.name = name
        super().__init__(
            f'{kind} {name!r} is registered twice; '
            'give one of them another name'
        )
