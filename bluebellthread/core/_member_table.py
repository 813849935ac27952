"""What one VM knows of all others, and how two accounts are merged."""

import hashlib

import attrs

from bluebellthread.core import _membership_messages as messages
from bluebellthread.core import _model

ALIVE = 'alive'
SUSPECT = 'suspect'
LEAVING = 'leaving'
DEAD = 'dead'

UNHEARD = -1
"""Counter of a process that has not told of itself yet."""

_STATE_RANK = {ALIVE: 0, SUSPECT: 1, LEAVING: 2, DEAD: 3}


@attrs.define(kw_only=True)
class MemberRecord:
    """The entry of one VM.

    Parameters
    ----------
    member : Member
        The VM with its state.
    counter, replaced_incarnation : int
        As in `MemberUpdate`.
    heard_ms : int
        When the VM itself was heard last.
    suspicion_deadline_ms : int or None
        When the VM counts as dead, if it is suspected.
    died_ms : int
        When it was found dead.
    listed_state : str
        Its state by the platform's list, or empty if not listed.
    """

    member: _model.Member
    counter: int = 0
    replaced_incarnation: int = 0
    heard_ms: int = 0
    suspicion_deadline_ms: int | None = None
    died_ms: int = 0
    listed_state: str = ''

    def update(self):
        """Return the entry as news for other VMs."""
        return messages.MemberUpdate(
            member=self.member,
            counter=self.counter,
            replaced_incarnation=self.replaced_incarnation,
        )

    def fingerprint(self):
        """Return a number that changes with what other VMs should know."""
        member = self.member
        if member.state == DEAD:
            # Dead entries are forgotten at different times.
            return 0
        text = (
            f'{member.name}\0{member.incarnation}\0{self.counter}\0'
            f'{member.state}'
        )
        digest = hashlib.blake2b(text.encode(), digest_size=8).digest()
        return int.from_bytes(digest, 'big') >> 1


class MemberTable:
    """All known VMs by name, with checksums kept up to date.

    ``version`` rises with each change that a view may show.

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
        """Return the record of a name, or None."""
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
        """Put a record in."""
        self._records[record.member.name] = record
        self._flip_digest(record)

    def remove(self, name):
        """Forget a VM."""
        self._flip_digest(self._records.pop(name))

    def change(self, record, **fields):
        """Change fields of a record, and the checksum with them."""
        self._flip_digest(record)
        for name, value in fields.items():
            setattr(record, name, value)
        self._flip_digest(record)

    def merge(self, update, now_ms):
        """Take in news and return what became of it.

        Returns
        -------
        str
            ``'applied'``, ``'ignored'``, or ``'conflict'`` where only the
            VM itself can tell which of two incarnations runs.
        """
        record = self._records.get(update.member.name)
        if update.member.incarnation == 0:
            return 'ignored'
        if record is None:
            self.add(_record_of(update, now_ms))
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
            # The death of some other process of that VM.
            return 'ignored'
        return 'conflict'

    def replace_process(self, record, *, incarnation, host, port, now_ms):
        """Note that another process of a VM was heard from directly."""
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
            # The first word of the process itself on its address wins.
            counter=UNHEARD,
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
        same = record.member.incarnation == update.member.incarnation
        keeps = same and state == SUSPECT
        self.change(
            record,
            member=update.member,
            counter=update.counter,
            replaced_incarnation=(
                update.replaced_incarnation or record.replaced_incarnation
            ),
            died_ms=now_ms if state == DEAD else record.died_ms,
            heard_ms=record.heard_ms if same else now_ms,
            suspicion_deadline_ms=(
                record.suspicion_deadline_ms if keeps else None
            ),
        )

    def _flip_digest(self, record):
        self.version += 1
        if record.member.incarnation == 0:
            return
        place = record.member.data_centre
        self._digests[place] = (
            self._digests.get(place, 0) ^ record.fingerprint()
        )


def _record_of(update, now_ms):
    return MemberRecord(
        member=update.member,
        counter=update.counter,
        replaced_incarnation=update.replaced_incarnation,
        heard_ms=now_ms,
        died_ms=now_ms,
    )
