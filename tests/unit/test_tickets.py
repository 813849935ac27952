import string
import unittest

import hypothesis
from hypothesis import strategies

from bluebellthread import core
from bluebellthread import wire

OLD = core.TicketKey(key_id='old', secret=b'o' * 32)
NEW = core.TicketKey(key_id='new', secret=b'n' * 32)
ANSWER = core.ServerAnswer(
    status=201, headers=(('a', 'b'),), body=b'paid \x00\xff'
)
CALLER_DEADLINE_MS = 5000


def make_keeper(*, incarnation=7, **options):
    return core.TicketKeeper(
        vm='vm1',
        incarnation=incarnation,
        host='127.0.0.1',
        peer_port=7000,
        signer=core.TicketSigner((OLD,)),
        options=core.TicketOptions(**options),
    )


def issue(keeper, now_ms=0):
    asked = core.TicketAsked(inbound=0, caller='c', serves='ledger')
    return keeper.handle(asked, now_ms)[0].result


def call(keeper, issued, now_ms, *, caller='c', digest='d', inbound=1):
    ticket = core.TicketSigner((OLD,)).verify(issued.ticket, 'c')
    event = core.CallArrived(
        inbound=inbound,
        ticket=ticket,
        caller=caller,
        call_digest=digest,
        deadline_ms=CALLER_DEADLINE_MS,
        check_path='/check',
    )
    return keeper.handle(event, now_ms)


def answer(keeper, issued, now_ms, answer=ANSWER):
    event = core.AnswerArrived(ticket_id=issued.ticket_id, answer=answer)
    return keeper.handle(event, now_ms)


class TestTicketText(unittest.TestCase):
    @hypothesis.given(strategies.integers(0, 10**6), strategies.characters())
    def test_altered_text_is_refused(self, position, character):
        text = issue(make_keeper()).ticket
        position %= len(text)
        altered = text[:position] + character + text[position + 1 :]
        hypothesis.assume(altered != text)
        signer = core.TicketSigner((OLD,))
        with self.assertRaises(core.InvalidTicketError):
            signer.verify(altered, 'c')

    def test_other_encoding_of_the_same_digest_is_refused(self):
        text = issue(make_keeper()).ticket
        signer = core.TicketSigner((OLD,))
        accepted = []
        for character in string.ascii_letters + string.digits + '-_':
            try:
                signer.verify(text[:-1] + character, 'c')
            except core.InvalidTicketError:
                continue
            accepted.append(character)
        self.assertEqual([text[-1]], accepted)

    def test_ticket_of_another_caller_is_refused(self):
        text = issue(make_keeper()).ticket
        with self.assertRaises(core.InvalidTicketError):
            core.TicketSigner((OLD,)).verify(text, 'other')

    def test_two_keys_are_accepted_during_a_rotation(self):
        text = issue(make_keeper()).ticket
        rotating = core.TicketSigner((NEW, OLD))
        ticket = rotating.verify(text, 'c')
        self.assertEqual(
            ticket, rotating.verify(rotating.sign(ticket, 'c'), 'c')
        )
        with self.assertRaises(core.InvalidTicketError):
            core.TicketSigner((NEW,)).verify(text, 'c')


class TestKeeper(unittest.TestCase):
    def test_repeated_calls_get_one_send_and_the_same_answer(self):
        keeper = make_keeper()
        issued = issue(keeper)
        self.assertIsInstance(call(keeper, issued, 1)[0], core.StartSend)
        self.assertEqual([], call(keeper, issued, 2, inbound=2))
        replies = answer(keeper, issued, 3)
        self.assertEqual([1, 2], [reply.inbound for reply in replies])
        late = call(keeper, issued, 40000)
        outcome = core.Completed(answer=ANSWER)
        self.assertEqual(
            [outcome] * 3, [reply.result for reply in replies + late]
        )

    def test_answer_after_caller_deadline_is_kept(self):
        keeper = make_keeper()
        issued = issue(keeper)
        call(keeper, issued, 1)
        unknown = keeper.handle(core.TicketTick(), CALLER_DEADLINE_MS)[
            0
        ].result
        self.assertEqual('no-answer-yet', unknown.kind)
        self.assertEqual('/check', unknown.check_path)
        self.assertEqual([], answer(keeper, issued, 200000))
        self.assertEqual(ANSWER, call(keeper, issued, 200001)[0].result.answer)

    def test_expired_ticket_never_runs(self):
        keeper = make_keeper()
        issued = issue(keeper)
        expired = call(keeper, issued, 30000)[0].result
        self.assertEqual(core.NotRun(kind='expired'), expired)
        keeper.handle(core.TicketTick(), 500000)
        dropped = call(keeper, issued, 500000)[0].result
        self.assertEqual(('unknown', 'expired'), (dropped.tag, dropped.kind))

    def test_other_call_and_other_caller_do_not_get_the_answer(self):
        keeper = make_keeper()
        issued = issue(keeper)
        call(keeper, issued, 1)
        answer(keeper, issued, 2)
        other_call = call(keeper, issued, 3, digest='x')[0].result
        self.assertEqual(core.AttemptRejected(kind='other-call'), other_call)
        foreign = call(keeper, issued, 3, caller='x')[0].result
        self.assertIsInstance(foreign, core.OutcomeUnknown)
        lookup = core.LookupArrived(
            inbound=1, ticket_id=issued.ticket_id, caller='x'
        )
        self.assertEqual('no-record', keeper.handle(lookup, 4)[0].result.kind)

    def test_restarted_issuer_runs_nothing(self):
        issued = issue(make_keeper())
        unknown = call(make_keeper(incarnation=8), issued, 1)[0].result
        self.assertEqual('issuer-gone', unknown.kind)
        self.assertTrue(unknown.may_renew)
        self.assertEqual(40000, unknown.check_after_ms)

    def test_full_memory_refuses_new_tickets_and_keeps_records(self):
        keeper = make_keeper(limit_bytes=20000)
        issued = []
        while isinstance(fresh := issue(keeper), core.TicketIssued):
            issued.append(fresh)
        self.assertEqual(core.AttemptRejected(kind='full'), fresh)
        large = core.ServerAnswer(status=201, body=b'x' * 9000)
        for ticket in issued:
            call(keeper, ticket, 1)
            answer(keeper, ticket, 2, large)
        results = [call(keeper, ticket, 3)[0].result for ticket in issued]
        self.assertEqual([201] * 4, [r.answer.status for r in results])
        # The first large body does not fit. Dropping it frees the memory
        # reserved for it, so that the second one fits.
        kept = [result.whole for result in results]
        self.assertEqual([False, True, False, False], kept)
        self.assertLessEqual(keeper.store.used_bytes, 20000)
        self.assertIsInstance(issue(keeper, 600000), core.TicketIssued)

    def test_stop_hands_over_final_records_only(self):
        keeper = make_keeper()
        unused, running = issue(keeper), issue(keeper)
        call(keeper, running, 1)
        first = keeper.handle(core.StopRequested(), 2)
        self.assertEqual(
            [core.NotRun(kind='stopping')],
            [record.outcome for record in first[0].records],
        )
        self.assertEqual([], keeper.handle(core.RecordsTaken(batch=1), 3))
        *_, second = answer(keeper, running, 4)
        again = keeper.handle(core.RecordsNotTaken(batch=2), 5)
        self.assertEqual([second], again)
        peer = make_keeper(incarnation=9)
        for batch in (first[0], second, second):
            message = core.TicketRecords(
                records=tuple(core.TicketCopy.of(r) for r in batch.records)
            )
            envelope = wire.Envelope(
                message=message, sender='vm1', sender_incarnation=7
            )
            data = wire.encode(envelope, now_ms=5)
            received = wire.decode(data, now_ms=5).message.records
            records = tuple(copy.to_record() for copy in received)
            self.assertEqual(batch.records, records)
            offered = core.RecordsOffered(inbound=1, records=records)
            self.assertIsNone(peer.handle(offered, 6)[0].result)
        self.assertEqual(2, len(peer.store))
        self.assertEqual('stopping', call(peer, unused, 7)[0].result.kind)
        self.assertEqual(ANSWER, call(peer, running, 7)[0].result.answer)
        finished = keeper.handle(core.RecordsTaken(batch=2), 8)
        self.assertEqual([core.HandOverFinished()], finished)
