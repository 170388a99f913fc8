"""Exhaustive search of the ledger's model."""

import unittest

from mulberrygate.ledger.model import FAULTS, Model


class ModelTest(unittest.TestCase):
    """At most one attempt is dispatched in every reachable state."""

    def test_complete_search(self):
        """No order of begins, seals, copies and losses lets two attempts run."""
        bounds = [Model(1, 1, True), Model(2, 0, False)]
        for model in bounds:
            result = model.check()
            print(f"{model}: {result['reachable_states']} states")
            self.assertTrue(result["exhaustive"])
            self.assertTrue(result["properties"]["one_dispatch"]["holds"])

    def test_seeded_faults_are_found(self):
        """Each seeded fault leads to a counterexample, so the model can fail."""
        for fault in FAULTS:
            with self.subTest(fault):
                result = Model(1, 1, False, fault).check()
                found = result["properties"]["one_dispatch"]
                print(f"{fault}: counterexample of {len(found['counterexample'])} states")
                self.assertFalse(found["holds"])


if __name__ == "__main__":
    unittest.main()
