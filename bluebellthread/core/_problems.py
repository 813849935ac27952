"""What is wrong in a file that operators wrote, and what mends it."""

import attrs

from bluebellthread.core import _errors


@attrs.frozen(kw_only=True)
class Problem:
    """One fault of a settings or configuration file.

    Parameters
    ----------
    path : str
        Where in the file, such as ``exceptions[2].scope.region``.
    message : str
        What is wrong.
    remedy : str
        What to write instead.
    line : int
        Line in the file, from 1; 0 where the text is not at hand.

    Examples
    --------
    >>> print(Problem(path='revision', message='0 is too small',
    ...               remedy='use 1 or more', line=3))
    line 3: revision: 0 is too small; use 1 or more
    """

    path: str
    message: str
    remedy: str
    line: int = 0

    def __str__(self):
        place = f'line {self.line}: ' if self.line else ''
        name = self.path or 'file'
        return f'{place}{name}: {self.message}; {self.remedy}'


class ConfigurationError(_errors.BluebellthreadError):
    """A settings or configuration file that can't be used.

    Parameters
    ----------
    problems : tuple of Problem
        Every fault that was found, in the order of the file.

    Examples
    --------
    >>> fault = Problem(path='vm', message='missing', remedy='add it')
    >>> str(ConfigurationError([fault]))
    'vm: missing; add it'
    """

    def __init__(self, problems):
        self.problems = tuple(problems)
        super().__init__('\n'.join(str(item) for item in self.problems))
