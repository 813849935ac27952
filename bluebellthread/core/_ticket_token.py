"""Tickets as text: who may run a call, signed with a shared key.

A ticket names the only process that may run its call. The digest also
covers the caller's name, which the text does not carry: a ticket in the
hands of another caller is as invalid as a forged one.
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

LONGEST_TEXT_CHARACTERS = 1024
"""Longer texts are refused before they are decoded."""

TICKET_KEYS_MAX = 2
"""Keys accepted at a time, so that a new one can replace an old one."""


class InvalidTicketError(_errors.BluebellthreadError):
    """A ticket that is forged, altered or another caller's.

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
    """Keys that tickets cannot be signed with."""


@attrs.frozen(kw_only=True)
class TicketKey:
    """A secret that all VMs share, and its short public name."""

    key_id: str
    secret: bytes = attrs.field(repr=False)


@attrs.frozen(kw_only=True)
class Ticket:
    """The right to run one call, once, at one process.

    Parameters
    ----------
    issuer, issuer_incarnation : str, int
        The only VM process that may run the call.
    number : int
        Unique among the tickets of that process.
    host, peer_port : str, int
        Where other VMs reach the issuer.
    serves : str
        The plain service that the call is for.
    deadline_ms : int
        The last moment to run, on the issuer's clock.
    lifetime_ms : int
        From issue to deadline; an upper bound of what remains, for VMs
        that cannot read the issuer's clock.

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
        """The ticket's name in logs and records."""
        return f'{self.issuer}-{self.issuer_incarnation:x}-{self.number}'


class TicketSigner:
    """Writes tickets as text and reads them back.

    Parameters
    ----------
    keys : tuple of TicketKey
        The first one signs; each is accepted.

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
                f'{len(keys)} ticket keys; set one, or two while a new one '
                'replaces an old one'
            )
        self._signing_key = keys[0]
        self._keys = {key.key_id: key for key in keys}
        if len(self._keys) != len(keys):
            raise TicketKeysError(
                'two ticket keys have the same id; rename one of them'
            )

    def sign(self, ticket, caller):
        """Return the text of a ticket for a caller."""
        rest = [
            self._signing_key.key_id,
            ticket.host,
            ticket.peer_port,
            ticket.serves,
            ticket.deadline_ms,
            ticket.lifetime_ms,
        ]
        body = _to_base64(json.dumps(rest, separators=(',', ':')).encode())
        signed = f'{ticket.ticket_id}.{body}'
        digest = _digest(self._signing_key, signed, caller)
        return f'{signed}.{_to_base64(digest)}'

    def verify(self, text, caller):
        """Return the ticket in a text, or raise `InvalidTicketError`."""
        if len(text) > LONGEST_TEXT_CHARACTERS:
            raise InvalidTicketError
        try:
            ticket_id, body, digest = text.rsplit('.', 2)
            rest = json.loads(_from_base64(body))
            key_id, host, peer_port, serves, deadline_ms, lifetime_ms = rest
            key = self._keys[key_id]
            expected = _digest(key, f'{ticket_id}.{body}', caller)
            # As text: several texts stand for the same bytes.
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


def id_of_text(text):
    """Return the id at the start of a ticket's text, unchecked.

    Examples
    --------
    >>> id_of_text('vm1-ff-3.abc.def'), id_of_text('vm1-ff-3')
    ('vm1-ff-3', 'vm1-ff-3')
    """
    parts = text.rsplit('.', 2)
    return parts[0] if len(parts) == 3 else text


def origin_of(ticket_id):
    """Return the name and incarnation of a ticket's issuer.

    Examples
    --------
    >>> origin_of('vm-1-ff-3')
    ('vm-1', 255)
    """
    issuer, incarnation, _ = ticket_id.rsplit('-', 2)
    return issuer, int(incarnation, 16)


def digest_call(method, path, body):
    """Return a digest that tells two calls apart.

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
