"""Tests of the judgement how long a caller has waited before an attempt."""

import random
import unittest

from mulberrygate.forward.prior_wait import PriorWaitEstimator


class PriorWaitEstimatorTest(unittest.TestCase):
    """First and further attempts of callers."""

    def test_first_attempts_of_unlike_callers_are_not_late(self):
        """Four of five requests counted as late when they came, as their deadlines differed."""
        estimator, rng = PriorWaitEstimator(), random.Random(2)
        waited = [estimator.estimate_s("note", 12.0 * rng.uniform(0.85, 1.0)) for _ in range(500)]
        self.assertEqual(max(waited), 0.0)

    def test_caller_that_comes_back_is_late(self):
        """Callers that had been refused went before those that could still be on time."""
        estimator = PriorWaitEstimator()
        for _ in range(20):
            estimator.estimate_s("tag", 2.5)
        self.assertGreater(estimator.estimate_s("tag", 1.3), 0.5)

    def test_routes_are_apart(self):
        """Callers of a route with a short deadline counted as late beside those of another."""
        estimator = PriorWaitEstimator()
        estimator.estimate_s("write-up", 15.0)
        self.assertEqual(estimator.estimate_s("tag", 2.5), 0.0)

    def test_caller_that_names_no_deadline_is_not_late(self):
        """A request without a deadline failed in the scheduler's ticket."""
        self.assertEqual(PriorWaitEstimator().estimate_s("tag", None), 0.0)


if __name__ == "__main__":
    unittest.main()
