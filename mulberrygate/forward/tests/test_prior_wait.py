"""Tests of the estimate of how long a caller waited before an attempt."""

import random
import unittest

from mulberrygate.forward.prior_wait import PriorWaitEstimator


class PriorWaitEstimatorTest(unittest.TestCase):
    """First attempts of callers, and retries."""

    def test_first_attempts_with_different_timeouts_are_not_late(self):
        """With different timeouts, four of five first attempts were taken for retries."""
        estimator, rng = PriorWaitEstimator(), random.Random(2)
        waited = [estimator.estimate_s("note", 12.0 * rng.uniform(0.85, 1.0)) for _ in range(500)]
        self.assertEqual(max(waited), 0.0)

    def test_caller_that_retries_is_late(self):
        """Guards against serving callers that retry before those that can still be on time."""
        estimator = PriorWaitEstimator()
        for _ in range(20):
            estimator.estimate_s("tag", 2.5)
        self.assertGreater(estimator.estimate_s("tag", 1.3), 0.5)

    def test_routes_are_independent(self):
        """Guards against comparing callers with those of a route with a longer timeout."""
        estimator = PriorWaitEstimator()
        estimator.estimate_s("write-up", 15.0)
        self.assertEqual(estimator.estimate_s("tag", 2.5), 0.0)

    def test_caller_without_a_timeout_is_not_late(self):
        """Guards against a failure to make the ticket of a request without a timeout."""
        self.assertEqual(PriorWaitEstimator().estimate_s("tag", None), 0.0)


if __name__ == "__main__":
    unittest.main()
