import unittest

from bluebellthread.daemon import _request_log


class TestRequestLog(unittest.TestCase):
    def test_end_of_a_superseded_request_keeps_the_newer_ones_state(self):
        log = _request_log.RequestLog(vm='vm1')
        older = log.begin('r1')
        newer = log.begin('r1')
        log.end(newer, state='done')
        log.end(older, state='refused', detail='superseded')
        self.assertEqual('done', log.find('r1').state)

    def test_only_the_oldest_ended_request_is_forgotten(self):
        log = _request_log.RequestLog(vm='vm1')
        log.begin('live')
        for number in range(_request_log.MAX_ENDED_REQUESTS + 1):
            log.end(log.begin(f'r{number}'), state='done')
        self.assertEqual('in-progress', log.find('live').state)
        self.assertEqual('unknown', log.find('r0').state)
        self.assertEqual('done', log.find('r1').state)
