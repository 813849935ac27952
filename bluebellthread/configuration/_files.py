"""Load settings and configuration from JSON with comments."""

import pathlib

import attrs
import jsonyx

from bluebellthread.configuration import _locations
from bluebellthread.configuration import _reader
from bluebellthread.configuration import _settings
from bluebellthread import core

_ALLOW = jsonyx.allow.COMMENTS | jsonyx.allow.TRAILING_COMMA
_ADDRESS_FIELDS = ('platform_addresses', 'seed_addresses')


class UnreadableFileError(core.BluebellthreadError):
    """Raised if a file can't be opened or is not UTF-8.

    Examples
    --------
    >>> str(UnreadableFileError('x.json', 'no such file'))
    "can't read x.json: no such file; give the path of a readable file"
    """

    def __init__(self, path, detail):
        super().__init__(
            f"can't read {path}: {detail}; give the path of a readable file"
        )


def read_text(path):
    """Return the text of a UTF-8 file, or raise `UnreadableFileError`."""
    try:
        return pathlib.Path(path).read_text(encoding='utf-8')
    except UnicodeDecodeError:
        raise UnreadableFileError(path, 'the text is not UTF-8') from None
    except OSError as error:
        raise UnreadableFileError(path, error.strerror) from None


def load_settings(path):
    """Load the `Settings` of a VM from a file.

    Raises
    ------
    UnreadableFileError
        The file can't be opened or is not UTF-8.
    ConfigurationError
        The settings are invalid; the error lists every problem.
    """
    return parse_settings(read_text(path))


def parse_settings(text):
    """Parse the `Settings` of a VM, or raise `ConfigurationError`.

    Examples
    --------
    >>> try:
    ...     parse_settings('{"vm": "vm 1"}')
    ... except core.ConfigurationError as error:
    ...     print(error.problems[0].path)
    vm
    """
    return _parse(text, _settings.Settings, _check_settings)


def load_configuration(path):
    """Load the `Configuration` of the fleet from a file.

    Raises the same exceptions as `load_settings`.
    """
    return parse_configuration(read_text(path))


def parse_configuration(text):
    """Parse the `Configuration` of the fleet, or raise `ConfigurationError`.

    Examples
    --------
    >>> parse_configuration('{"revision": 4} // first').revision
    4
    """
    return _parse(text, core.Configuration, core.check_configuration)


def build_configuration(value, *, cache=None):
    """Build a `Configuration` from decoded JSON.

    Its problems carry no line numbers, because there is no text.

    Parameters
    ----------
    value : object
        Decoded JSON of the configuration.
    cache : ItemCache or None
        Items of the previous revision, which are not read again.

    Raises
    ------
    ConfigurationError
        The configuration is invalid.

    Examples
    --------
    >>> build_configuration({'revision': 4}).revision
    4
    """
    result, problems = _read_and_check(
        value, core.Configuration, core.check_configuration, cache
    )
    if problems:
        raise core.ConfigurationError(problems)
    return result


def load_value(text):
    """Decode JSON with comments, or raise `ConfigurationError`.

    Examples
    --------
    >>> load_value('[1] // one')
    [1]
    """
    return _load_json(text)


def parse_published(text, *, cache=None):
    """Parse a published revision; return its JSON and its `Configuration`.

    Raises `ConfigurationError` if the revision is invalid.

    Examples
    --------
    >>> parse_published('{"revision": 4}')[0]
    {'revision': 4}
    """
    value = _load_json(text)
    result, problems = _read_and_check(
        value, core.Configuration, core.check_configuration, cache
    )
    if problems:
        raise core.ConfigurationError(_add_lines(text, problems))
    return value, result


def _parse(text, cls, check):
    result, problems = _read_and_check(_load_json(text), cls, check)
    if problems:
        raise core.ConfigurationError(_add_lines(text, problems))
    return result


def _read_and_check(value, cls, check, cache=None):
    reader = _reader.Reader(cache)
    result = reader.read(cls, value, '')
    problems = list(reader.problems)
    if result is not None:
        faulty = [problem.path for problem in problems]
        problems.extend(
            problem
            for problem in check(result)
            if not _overlaps(problem.path, faulty)
        )
    return result, problems


def _overlaps(path, faulty_paths):
    # An unreadable value causes further problems at paths inside or around
    # it; only the unreadable value is reported.
    return any(
        path.startswith(faulty) or faulty.startswith(path)
        for faulty in faulty_paths
    )


def _load_json(text):
    repeated = []

    def build_object(pairs):
        value = dict(pairs)
        if len(value) < len(pairs):
            repeated.append(value)
        return value

    try:
        value = jsonyx.loads(
            text, allow=_ALLOW, hooks={'object': build_object}
        )
        if not repeated:
            return value
        problems = _find_repeated(text)
        raise core.ConfigurationError(problems)
    except jsonyx.TruncatedSyntaxError as error:
        problem = core.Problem(
            path='',
            message=error.msg,
            remedy='write JSON; comments and trailing commas are allowed',
            line=error.lineno or 0,
        )
    except (RecursionError, ValueError) as error:
        problem = core.Problem(
            path='', message=str(error), remedy='write simpler JSON'
        )
    raise core.ConfigurationError([problem])


def _find_repeated(text):
    return [
        core.Problem(
            path=path,
            message='the key occurs twice in the same object',
            remedy='remove one of them',
            line=line,
        )
        for path, line in _locations.locate_lines(text).repeated
    ]


def _add_lines(text, problems):
    lines = _locations.locate_lines(text).lines
    located = [
        attrs.evolve(item, line=_locations.find_line(lines, item.path))
        for item in problems
    ]
    return sorted(located, key=lambda item: item.line)


def _check_settings(settings):
    problems = []
    for field in _ADDRESS_FIELDS:
        for index, address in enumerate(getattr(settings, field)):
            if address is not None and not _is_address(address):
                problems.append(
                    core.Problem(
                        path=f'{field}[{index}]',
                        message=f'{address!r} is not an address',
                        remedy='write host:port with a port from 1 to 65535',
                    )
                )
    problems.extend(_check_ticket_keys(settings.ticket_keys))
    return problems


def _is_address(text):
    host, _, port = text.rpartition(':')
    return (
        bool(host)
        and port.isascii()
        and port.isdigit()
        and (0 < int(port) <= 65535)
    )


def _check_ticket_keys(keys):
    if None in keys or not keys:
        return []
    problems = []
    issuing = [key for key in keys if key.issuing]
    if len(issuing) != 1:
        problems.append(
            core.Problem(
                path='ticket_keys',
                message=f'{len(issuing)} keys have "issuing": true',
                remedy='set it on exactly one key',
            )
        )
    if len(keys) > core.TICKET_KEYS_MAX:
        problems.append(
            core.Problem(
                path='ticket_keys',
                message=f'{len(keys)} keys are too many',
                remedy=f'give at most {core.TICKET_KEYS_MAX}: the old and '
                'the new key of a rotation',
            )
        )
    if len({key.key_id for key in keys}) != len(keys):
        problems.append(
            core.Problem(
                path='ticket_keys',
                message='two keys have the same key_id',
                remedy='give each key its own key_id',
            )
        )
    return problems
