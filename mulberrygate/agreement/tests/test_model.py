"""Exhaustive search of the model's states."""

import unittest

from minicheck import check_safety

from mulberrygate.agreement.model import protocol

MAX_STATES = 2_000_000
TERMS = 3


def search(terms: int = TERMS, **faults: bool) -> dict:
    """Search all states; raise an error if the search is incomplete."""
    return check_safety(protocol(terms, **faults), max_states=MAX_STATES)


class ModelTest(unittest.TestCase):
    """Safety of elections, commitment and disk replacement."""

    def test_all_states_are_safe(self):
        """Guards against two leaders in a term and against a lost accepted entry."""
        result = search()
        print({key: value for key, value in result.items() if key != "properties"})
        for name, found in result["properties"].items():
            self.assertIs(found["holds"], True, name)

    def test_fault_of_a_kept_identity_is_found(self):
        """Guards against a model that misses an empty disk voting under its former identity."""
        found = search(2, keeps_identity=True)["properties"]
        self.assertIs(found["one_leader_a_term"]["holds"], False)
        self.assertIs(found["accepted_is_kept"]["holds"], False)

    def test_fault_of_an_empty_voter_is_found(self):
        """Guards against a model that misses a learner voting before it has caught up."""
        found = search(2, swaps_empty=True)["properties"]
        self.assertIs(found["accepted_is_kept"]["holds"], False)


if __name__ == "__main__":
    unittest.main()
