"""Collects the body of an answer and checks that it is complete.

A body without a length or chunks ends with its connection, which also ends
if the server dies. Whether it is complete then shows in its content only.
"""

import json

from bluebellthread.core import _body_blocks
from bluebellthread.core import _errors
from bluebellthread.core import _event_splitter
from bluebellthread.core import _framing
from bluebellthread.core import _registry

content_checks = _registry.Registry('content check')
"""Functions that take a body and return whether it is complete, by the content
type; a suffix such as ``+json`` stands for all types that end with it."""

SUFFIX_SEPARATOR = '+'


class AnswerBodyError(_errors.BluebellthreadError):
    """Base class of the errors of a body that can't be used."""


class AnswerCutOffError(AnswerBodyError):
    """A body ended before its content was complete.

    Examples
    --------
    >>> str(AnswerCutOffError('application/json', 20))
    'the connection ended 20 bytes into an incomplete application/json body'
    """

    def __init__(self, content_type, size_bytes):
        super().__init__(
            f'the connection ended {size_bytes} bytes into an incomplete '
            f'{content_type} body'
        )


class AnswerTooLongError(AnswerBodyError):
    """A body is longer than its reader takes, or has memory for.

    Examples
    --------
    >>> str(AnswerTooLongError(100))
    'the body is longer than 100 bytes'
    """

    def __init__(self, size_max_bytes):
        super().__init__(f'the body is longer than {size_max_bytes} bytes')


class AnswerWithoutMemoryError(AnswerTooLongError):
    """A body finds no memory beside others; its server is not to blame.

    Examples
    --------
    >>> str(AnswerWithoutMemoryError(100))
    'there is no memory for the body beyond its first 100 bytes'
    """

    def __init__(self, size_bytes):
        _errors.BluebellthreadError.__init__(
            self,
            'there is no memory for the body beyond its first '
            f'{size_bytes} bytes',
        )


class AnswerBody:
    """Collects the body of one answer.

    Parameters
    ----------
    framing : str
        What marks the end of the body, by `find_framing`.
    content_type : str
        Value of the ``Content-Type`` header; may be empty.
    size_max_bytes : int
        Size of the longest body that is taken.
    length_bytes : int
        Length that the body will have; 0 if it is not known.
    budget : BodyBudget or None
        Memory that is shared with other bodies until `close`; None for no
        such limit.

    Examples
    --------
    >>> body = AnswerBody(
    ...     framing=_framing.FRAMED_BY_CONNECTION,
    ...     content_type='application/json',
    ...     size_max_bytes=100,
    ... )
    >>> body.add(b'{"a": 1}')
    >>> body.finish()
    b'{"a": 1}'
    """

    def __init__(
        self,
        *,
        framing,
        content_type,
        size_max_bytes,
        budget=None,
        length_bytes=0,
    ):
        self._budget = budget
        self._framing = framing
        self._content_type = content_type.partition(';')[0].strip().lower()
        self._size_max_bytes = size_max_bytes
        self._length_bytes = min(length_bytes, size_max_bytes)
        self._reserved_bytes = 0
        self._blocks = _body_blocks.BodyBlocks(self._length_bytes)

    @classmethod
    def of_answer(cls, status, headers, *, method, size_max_bytes):
        """Return the empty body of an answer whose head has been read.

        Parameters
        ----------
        status : int
            Status of the answer.
        headers : iterable of (bytes, bytes)
            Headers of the answer.
        method : bytes
            Method of the request.
        size_max_bytes : int
            Size of the longest body that is taken.
        """
        content_type = b''
        for name, value in headers:
            if name.lower() == b'content-type':
                content_type = value
        return cls(
            framing=_framing.find_framing(status, headers, method=method),
            content_type=content_type.decode('latin-1'),
            size_max_bytes=size_max_bytes,
        )

    @property
    def size_bytes(self):
        """Number of bytes added so far."""
        return self._blocks.size_bytes

    def add(self, data):
        """Add the next bytes.

        Raises
        ------
        AnswerTooLongError
            If the body is too long with them, or the shared memory does not
            suffice for it.
        """
        size_bytes = self.size_bytes + len(data)
        if size_bytes > self._size_max_bytes:
            raise AnswerTooLongError(self._size_max_bytes)
        # The announced length is reserved at once. Of several answers that
        # grew side by side, none could be finished.
        needed_bytes = max(size_bytes, self._length_bytes)
        if self._budget is not None and needed_bytes > self._reserved_bytes:
            if not self._budget.reserve(needed_bytes, self._reserved_bytes):
                raise AnswerWithoutMemoryError(self.size_bytes)
            self._reserved_bytes = needed_bytes
        self._blocks.append(data)

    def keep_reserved(self):
        """Leave the shared memory to whoever keeps the whole body."""
        self._budget = None

    def close(self):
        """Drop the content and release the shared memory."""
        self._blocks.clear()
        if self._budget is not None:
            self._budget.release(self._reserved_bytes)
            self._reserved_bytes = 0

    def finish(self):
        """Return the whole body at its end.

        Raises
        ------
        AnswerCutOffError
            If nothing but the end of the connection marks the end of the
            body, and its content is incomplete.
        """
        content = self._blocks.join()
        if self._framing == _framing.FRAMED_BY_CONNECTION:
            is_complete = _find_check(self._content_type)
            if not is_complete(content):
                raise AnswerCutOffError(self._content_type, len(content))
        return content


@content_checks.register('application/json')
@content_checks.register('+json')
def is_complete_json(content):
    """Return whether a body is one JSON document."""
    try:
        json.loads(content)
    except (RecursionError, ValueError):
        return False
    return True


@content_checks.register('text/event-stream')
def is_complete_event_stream(content):
    """Return whether a body has events and ends after a whole one."""
    splitter = _event_splitter.EventSplitter()
    splitter.push(content)
    return splitter.has_events and not splitter.is_inside_event


def _find_check(content_type):
    _, separator, suffix = content_type.rpartition(SUFFIX_SEPARATOR)
    for name in (content_type, separator + suffix):
        if name in content_checks.names():
            return content_checks.get(name)
    return _is_taken_as_complete


def _is_taken_as_complete(content):
    # Other content doesn't show its end. A connection that fails is reset,
    # which the reader of the connection has seen.
    del content
    return True
