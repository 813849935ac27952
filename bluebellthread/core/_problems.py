"""Problems in settings and configuration files, each with a remedy."""

import attrs

from bluebellthread.core import _errors


@attrs.frozen(kw_only=True)
class Problem:
    """One problem in a settings or configuration file.

    Parameters
    ----------
    path : str
        Path of the value, such as ``exceptions[2].scope.region``.
    message : str
        Description of the problem.
    remedy : str
        Instruction that solves the problem.
    line : int
        Line in the file, from 1; 0 if the file's text is unavailable.

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
        location = f'line {self.line}: ' if self.line else ''
        name = self.path or 'file'
        return f'{location}{name}: {self.message}; {self.remedy}'


class ConfigurationError(_errors.BluebellthreadError):
    """Raised for a settings or configuration file with problems.

    Parameters
    ----------
    problems : tuple of Problem
        All problems found, in the order of their lines in the file.

    Examples
    --------
    >>> problem = Problem(path='vm', message='missing', remedy='add it')
    >>> str(ConfigurationError([problem]))
    'vm: missing; add it'
    """

    def __init__(self, problems):
        self.problems = tuple(problems)
        super().__init__('\n'.join(str(item) for item in self.problems))
