import unittest

from bluebellthread.core import routing


class TestWindowedRetryBudget(unittest.TestCase):
    def test_shares_of_all_vms_add_up_to_the_fleet_budget(self):
        # 8 VMs with 40 requests each: the fleet may retry 0.2 x 320 + 56.
        spent = 0
        for _ in range(8):
            budget = routing.WindowedRetryBudget(
                ratio=0.2, window_ms=10000, slack=56
            )
            for _ in range(40):
                budget.note_request(0)
            while budget.spend(now_ms=5, vm_count=8):
                spent += 1
        self.assertEqual(int(0.2 * 320 + 56), spent)

    def test_spent_retries_expire_with_the_window(self):
        budget = routing.WindowedRetryBudget(ratio=0, window_ms=1000, slack=1)
        self.assertTrue(budget.spend(now_ms=0, vm_count=1))
        self.assertFalse(budget.spend(now_ms=999, vm_count=1))
        self.assertTrue(budget.spend(now_ms=1000, vm_count=1))

    def test_several_retries_are_spent_all_or_none(self):
        budget = routing.WindowedRetryBudget(ratio=0, window_ms=1000, slack=3)
        self.assertTrue(budget.spend(now_ms=0, vm_count=1, count=2))
        self.assertFalse(budget.spend(now_ms=0, vm_count=1, count=2))
        self.assertTrue(budget.spend(now_ms=0, vm_count=1, count=1))
