"""Encoding of tickets as text, signed with a key that all VMs share.

A ticket names the only process that may run its call. The digest also
covers the caller's name, which the text does not contain: a ticket that
another caller presents is as invalid as a forged one.
"""

import base64
import binascii
import hashlib
import hmac
import json

import attrs

from bluebellthread.core import _errors

DIGEST_BYTES = 16
"""Length of the truncated HMAC-SHA-256 digest."""

MAX_TEXT_CHARACTERS = 1024
"""Maximum length of a ticket's text; longer ones are refused undecoded."""

TICKET_KEYS_MAX = 2
"""Largest number of keys; two allow a new key to replace an old one."""


class InvalidTicketError(_errors.BluebellthreadError):
    """Raised for a ticket that is forged, altered or another caller's.

    Examples
    --------
    >>> str(InvalidTicketError())
    'the ticket is invalid for this caller; send it as it was issued'
    """

    def __init__(self):
        super().__init__(
            'the ticket is invalid for this caller; send it as it was issued'
        )


class TicketKeysError(_errors.BluebellthreadError):
    """Raised for an invalid set of ticket keys."""


@attrs.frozen(kw_only=True)
class TicketKey:
    """Hold a signing secret that all VMs share, and its public id."""

    key_id: str
    secret: bytes = attrs.field(repr=False)


@attrs.frozen(kw_only=True)
class Ticket:
    """Grant the right to run one call at most once, at one process.

    Parameters
    ----------
    issuer, issuer_incarnation : str, int
        Name and incarnation of the only VM process that may run the call.
    number : int
        Number of the ticket, unique within the issuing process.
    host, peer_port : str, int
        Address at which other VMs reach the issuer.
    serves : str
        Name of the plain service that the call is for.
    deadline_ms : int
        Time from which the call is no longer sent, on the issuer's clock.
    lifetime_ms : int
        Time from issue to deadline. VMs that cannot read the issuer's clock
        use it as an upper bound of the remaining time.

    Examples
    --------
    >>> Ticket(issuer='vm1', issuer_incarnation=255, number=3,
    ...        host='127.0.0.1', peer_port=7000, serves='ledger',
    ...        deadline_ms=60000, lifetime_ms=30000).ticket_id
    'vm1-ff-3'
    """

    issuer: str
    issuer_incarnation: int
    number: int
    host: str
    peer_port: int
    serves: str
    deadline_ms: int
    lifetime_ms: int

    @property
    def ticket_id(self):
        """Return the id that names the ticket in logs and records."""
        return f'{self.issuer}-{self.issuer_incarnation:x}-{self.number}'


class TicketSigner:
    """Sign tickets as text and verify such texts.

    Parameters
    ----------
    keys : tuple of TicketKey
        The first key signs; verification accepts every key.

    Examples
    --------
    >>> signer = TicketSigner((TicketKey(key_id='a', secret=b'x' * 32),))
    >>> ticket = Ticket(issuer='vm1', issuer_incarnation=255, number=3,
    ...     host='127.0.0.1', peer_port=7000, serves='ledger',
    ...     deadline_ms=60000, lifetime_ms=30000)
    >>> signer.verify(signer.sign(ticket, 'c1'), 'c1') == ticket
    True
    """

    def __init__(self, keys):
        if not 1 <= len(keys) <= TICKET_KEYS_MAX:
            raise TicketKeysError(
                f'{len(keys)} ticket keys are configured; configure one, or '
                'two while a new key replaces an old one'
            )
        self._signing_key = keys[0]
        self._keys = {key.key_id: key for key in keys}
        if len(self._keys) != len(keys):
            raise TicketKeysError(
                'two ticket keys have the same id; rename one of them'
            )

    def sign(self, ticket, caller):
        """Return the signed text of a ticket, valid for one caller only."""
        fields = [
            self._signing_key.key_id,
            ticket.host,
            ticket.peer_port,
            ticket.serves,
            ticket.deadline_ms,
            ticket.lifetime_ms,
        ]
        body = _to_base64(json.dumps(fields, separators=(',', ':')).encode())
        signed = f'{ticket.ticket_id}.{body}'
        digest = _digest(self._signing_key, signed, caller)
        return f'{signed}.{_to_base64(digest)}'

    def verify(self, text, caller):
        """Return the ticket encoded in a text.

        Raises `InvalidTicketError` if the ticket is not valid for the
        caller.
        """
        if len(text) > MAX_TEXT_CHARACTERS:
            raise InvalidTicketError
        try:
            ticket_id, body, digest = text.rsplit('.', 2)
            fields = json.loads(_from_base64(body))
            key_id, host, peer_port, serves, deadline_ms, lifetime_ms = fields
            key = self._keys[key_id]
            expected = _digest(key, f'{ticket_id}.{body}', caller)
            # Compare the encoded digests: several base64 texts decode to the
            # same bytes, and only one of them was issued.
            if not hmac.compare_digest(_to_base64(expected), digest):
                raise InvalidTicketError
            issuer, incarnation, number = ticket_id.rsplit('-', 2)
            return Ticket(
                issuer=issuer,
                issuer_incarnation=int(incarnation, 16),
                number=int(number),
                host=host,
                peer_port=peer_port,
                serves=serves,
                deadline_ms=deadline_ms,
                lifetime_ms=lifetime_ms,
            )
        except (ValueError, KeyError, TypeError, binascii.Error) as error:
            raise InvalidTicketError from error


def parse_ticket_id(text):
    """Return the ticket id from a ticket's text without verifying it.

    A text that is only an id is returned unchanged.

    Examples
    --------
    >>> parse_ticket_id('vm1-ff-3.abc.def'), parse_ticket_id('vm1-ff-3')
    ('vm1-ff-3', 'vm1-ff-3')
    """
    parts = text.rsplit('.', 2)
    return parts[0] if len(parts) == 3 else text


def parse_issuer(ticket_id):
    """Return the name and incarnation of a ticket's issuer.

    Examples
    --------
    >>> parse_issuer('vm-1-ff-3')
    ('vm-1', 255)
    """
    issuer, incarnation, _ = ticket_id.rsplit('-', 2)
    return issuer, int(incarnation, 16)


def digest_call(method, path, body):
    """Return a digest of a call, to recognise repeats of the same call.

    Examples
    --------
    >>> digest_call('POST', '/a', b'') == digest_call('POST', '/', b'a')
    False
    """
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    digest.update(f'{method}\0{path}\0'.encode())
    digest.update(body)
    return digest.hexdigest()


def _digest(key, signed, caller):
    data = f'{signed}\0{caller}'.encode()
    return hmac.digest(key.secret, data, 'sha256')[:DIGEST_BYTES]


def _to_base64(data):
    return base64.urlsafe_b64encode(data).rstrip(b'=').decode()


def _from_base64(text):
    padded = text + '=' * (-len(text) % 4)
    return base64.b64decode(padded, altchars=b'-_', validate=True)
