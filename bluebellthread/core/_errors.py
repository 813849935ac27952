"""Base classes of the project's errors, whose messages name a remedy."""


class BluebellthreadError(Exception):
    """Base class of the errors that the project raises deliberately.

    Examples
    --------
    >>> issubclass(UnknownNameError, BluebellthreadError)
    True
    """


class UnknownNameError(BluebellthreadError):
    """Raised when a name is not registered.

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
    """Raised when a name is registered a second time.

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
