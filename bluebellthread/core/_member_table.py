"""Table of all known VMs, and the rules for merging updates into it."""

import hashlib

import attrs

from bluebellthread.core import _membership_messages as messages
from bluebellthread.core import _model

ALIVE = 'alive'
SUSPECT = 'suspect'
LEAVING = 'leaving'
DEAD = 'dead'

UNKNOWN_COUNTER = -1
"""Counter in a record until the first update about its process arrives.

It is lower than every counter that a process assigns to itself.
"""

_STATE_RANK = {ALIVE: 0, SUSPECT: 1, LEAVING: 2, DEAD: 3}
STATES = frozenset(_STATE_RANK)


@attrs.define(kw_only=True)
class MemberRecord:
    """What this VM knows about another VM or itself.

    Parameters
    ----------
    member : Member
        The VM and its state.
    counter, replaced_incarnation : int
        As in `MemberUpdate`.
    heard_ms : int
        Time of the last datagram from the VM itself.
    suspicion_deadline_ms : int or None
        Time at which the VM is declared dead unless it refutes; None if
        it is not suspected.
    died_ms : int
        Time at which this VM learned that the VM is dead.
    listed_state : str
        State in the platform's list; empty if not listed.
    """

    member: _model.Member
    counter: int = 0
    replaced_incarnation: int = 0
    heard_ms: int = 0
    suspicion_deadline_ms: int | None = None
    died_ms: int = 0
    listed_state: str = ''

    def update(self):
        """Return the record as a membership update for other VMs."""
        return messages.MemberUpdate(
            member=self.member,
            counter=self.counter,
            replaced_incarnation=self.replaced_incarnation,
        )

    def fingerprint(self):
        """Return a hash of the fields that other VMs have to agree on."""
        member = self.member
        if member.state == DEAD:
            # VMs remove dead records at different times, so no dead record
            # contributes to the checksum.
            return 0
        text = (
            f'{member.name}\0{member.incarnation}\0{self.counter}\0'
            f'{member.state}'
        )
        digest = hashlib.blake2b(text.encode(), digest_size=8).digest()
        return int.from_bytes(digest, 'big') >> 1


class MemberTable:
    """Hold the records of all known VMs and a checksum per data centre.

    ``version`` rises with each change that may affect the membership view.

    Examples
    --------
    >>> table = MemberTable()
    >>> vm = _model.Member(name='vm1', data_centre='cluj-a', region='t',
    ...     host='127.0.0.1', peer_port=1, caller_port=2, incarnation=5)
    >>> table.merge(messages.MemberUpdate(member=vm), 0)
    'applied'
    >>> table.merge(messages.MemberUpdate(member=vm), 0)
    'ignored'
    """

    def __init__(self):
        self._records = {}
        self._digests = {}
        self.version = 0

    def __iter__(self):
        return iter(self._records.values())

    def find(self, name):
        """Return the record of the VM with a name, or None."""
        return self._records.get(name)

    def digest(self):
        """Return the checksum of the whole table."""
        total = 0
        for digest in self._digests.values():
            total ^= digest
        return total

    def place_digests(self):
        """Return the checksum of each data centre."""
        return tuple(
            messages.PlaceDigest(data_centre=name, digest=digest)
            for name, digest in sorted(self._digests.items())
        )

    def add(self, record):
        """Add a record."""
        self._records[record.member.name] = record
        self._flip_digest(record)

    def remove(self, name):
        """Remove the record of a VM."""
        self._flip_digest(self._records.pop(name))

    def change(self, record, **fields):
        """Set fields of a record and update the checksum."""
        self._flip_digest(record)
        for name, value in fields.items():
            setattr(record, name, value)
        self._flip_digest(record)

    def merge(self, update, now_ms):
        """Merge a membership update and return the outcome.

        Returns
        -------
        str
            ``'applied'``, ``'ignored'``, or ``'conflict'`` if only the VM
            itself can say which of two incarnations is running.
        """
        record = self._records.get(update.member.name)
        if update.member.incarnation == 0:
            return 'ignored'
        if record is None:
            self.add(_make_record(update, now_ms))
            return 'applied'
        known = record.member.incarnation
        if known == update.member.incarnation:
            return self._merge_same_process(record, update, now_ms)
        if update.member.incarnation == record.replaced_incarnation:
            return 'ignored'
        if known in (0, update.replaced_incarnation):
            self._overwrite(record, update, now_ms)
            return 'applied'
        if update.member.state == DEAD:
            # The update reports the death of another process of that VM.
            return 'ignored'
        return 'conflict'

    def replace_process(self, record, *, incarnation, host, port, now_ms):
        """Record that a datagram came from a new process of a known VM."""
        self.change(
            record,
            replaced_incarnation=record.member.incarnation,
            member=attrs.evolve(
                record.member,
                incarnation=incarnation,
                state=ALIVE,
                host=host,
                peer_port=port,
            ),
            # Lets the first update about the new process overwrite this
            # record, which has only the address of the datagram.
            counter=UNKNOWN_COUNTER,
            heard_ms=now_ms,
            suspicion_deadline_ms=None,
        )

    def _merge_same_process(self, record, update, now_ms):
        theirs = (update.counter, _STATE_RANK[update.member.state])
        ours = (record.counter, _STATE_RANK[record.member.state])
        if theirs <= ours:
            return 'ignored'
        self._overwrite(record, update, now_ms)
        return 'applied'

    def _overwrite(self, record, update, now_ms):
        state = update.member.state
        same_process = record.member.incarnation == update.member.incarnation
        keeps_deadline = same_process and state == SUSPECT
        self.change(
            record,
            member=update.member,
            counter=update.counter,
            replaced_incarnation=(
                update.replaced_incarnation or record.replaced_incarnation
            ),
            died_ms=now_ms if state == DEAD else record.died_ms,
            heard_ms=record.heard_ms if same_process else now_ms,
            suspicion_deadline_ms=(
                record.suspicion_deadline_ms if keeps_deadline else None
            ),
        )

    def _flip_digest(self, record):
        self.version += 1
        if record.member.incarnation == 0:
            return
        # XOR adds a record's fingerprint to the checksum or removes it.
        data_centre = record.member.data_centre
        self._digests[data_centre] = (
            self._digests.get(data_centre, 0) ^ record.fingerprint()
        )


def _make_record(update, now_ms):
    return MemberRecord(
        member=update.member,
        counter=update.counter,
        replaced_incarnation=update.replaced_incarnation,
        heard_ms=now_ms,
        died_ms=now_ms,
    )
