"""Tests of attributing crashes to calls and to parts of prompts."""

import math
import unittest

from mulberrygate.control.blame import (
    CRASHES_AFTER_ANSWER,
    CRASHES_AFTER_HEAD,
    CRASHES_WITHOUT_HEAD,
    EPISODE_S,
    MAX_CANDIDATES,
    Candidate,
    EndpointCrash,
    joint_identity,
    judge,
)

FIRST, BAD, THIRD = "part-aa", "part-bad", "part-cc"


def crash(at, *candidates):
    """Return a crash at a time, with its candidates."""
    found = EndpointCrash(at)
    for candidate in candidates:
        found.add(candidate)
    return found


def culprit(number, *parts, has_head=True):
    """Return a call that no other one is alike, with these parts."""
    return Candidate(f"c{number}", parts or (FIRST, BAD), has_head)


class TestParts(unittest.TestCase):
    """Parts of prompts that unlike calls share."""

    def guilty(self, crashes, answered=None):
        """Return the guilty identities."""
        return set(judge(crashes, answered or {}).guilty)

    def test_part_is_found_by_elimination(self):
        """Guards against blaming unlike calls one by one while their common part goes on."""
        crashes = [crash(10.0 * n, culprit(n)) for n in range(1, CRASHES_AFTER_HEAD + 1)]
        self.assertEqual(self.guilty(crashes, {FIRST: 100.0}), {BAD})

    def test_one_crash_makes_nobody_guilty(self):
        """Guards against refusing a part because one endpoint was lost."""
        verdicts = judge([crash(1.0, culprit(1))], {FIRST: 2.0})
        self.assertEqual(set(verdicts.guilty), set())
        self.assertEqual(set(verdicts.suspects), {"c1", BAD})

    def test_popular_part_is_not_blamed_for_what_another_part_explains(self):
        """Guards against refusing a popular part during a burst in which nothing is answered."""
        crashes = [crash(1.0, culprit(1, FIRST, THIRD))]
        crashes += [crash(2.0 + n, culprit(n, BAD)) for n in range(2, 5)]
        crashes += [crash(12.0 + n, culprit(n, BAD, FIRST)) for n in range(2, 5)]
        self.assertEqual(self.guilty(crashes), {BAD})

    def test_parts_that_cannot_be_told_apart_wait_for_one_more_crash(self):
        """Guards against refusing a sound part that has not been answered yet."""
        crashes = [crash(10.0 * n, culprit(n)) for n in range(1, CRASHES_AFTER_HEAD + 1)]
        self.assertEqual(self.guilty(crashes), set())
        self.assertLessEqual({FIRST, BAD}, set(judge(crashes, {}).suspects))
        self.assertEqual(self.guilty(crashes, {FIRST: 100.0}), {BAD})
        crashes.append(crash(50.0, culprit(9)))
        verdicts = judge(crashes, {})
        self.assertEqual(set(verdicts.guilty), {joint_identity([FIRST, BAD])})
        self.assertLessEqual({FIRST, BAD}, set(verdicts.suspects))
        self.assertEqual(self.guilty(crashes, {FIRST: 100.0}), {BAD})
        crashes.append(crash(60.0, culprit(10, BAD)))
        self.assertEqual(self.guilty(crashes), {BAD})

    def test_repeated_call_does_not_condemn_its_parts(self):
        """Guards against refusing all calls with a part because one call crashes endpoints."""
        crashes = [crash(10.0 * n, culprit(1)) for n in range(1, 6)]
        self.assertEqual(self.guilty(crashes, {FIRST: 100.0}), {"c1"})

    def test_call_without_the_head_of_an_answer_gives_way_to_one_with_it(self):
        """Guards against blaming calls that waited while the endpoint answered another one."""
        crashes = [
            crash(10.0 * n, culprit(n), culprit(100 + n, THIRD, has_head=False))
            for n in range(1, CRASHES_WITHOUT_HEAD + 1)
        ]
        verdicts = judge(crashes, {FIRST: 100.0})
        self.assertEqual(set(verdicts.guilty), {BAD})
        self.assertNotIn(THIRD, verdicts.suspects)

    def test_part_is_found_without_heads_of_answers(self):
        """Guards against missing a part whose endpoints end before they send a head."""
        crashes = [
            crash(
                10.0 * n, culprit(n, has_head=False), culprit(50 + n, f"part-{n}", has_head=False)
            )
            for n in range(1, CRASHES_WITHOUT_HEAD + 1)
        ]
        self.assertEqual(self.guilty(crashes[:-1], {FIRST: 100.0}), set())
        self.assertEqual(self.guilty(crashes, {FIRST: 100.0}), {BAD})

    def test_part_that_begins_to_crash_endpoints_after_answers(self):
        """Guards against trusting a part for ever because it was answered once."""
        crashes = [crash(10.0 + n, culprit(n)) for n in range(CRASHES_AFTER_ANSWER)]
        answered = {BAD: 9.0, FIRST: 100.0}
        self.assertEqual(self.guilty(crashes[:-1], answered), set())
        self.assertEqual(self.guilty(crashes, answered), {BAD})

    def test_part_that_was_answered_before_is_not_suspected_after_one_crash(self):
        """Guards against holding back a popular part whenever an endpoint is lost."""
        self.assertNotIn(BAD, judge([crash(10.0, culprit(1))], {BAD: 9.0}).suspects)

    def test_known_part_explains_crashes(self):
        """Guards against suspecting calls and parts for the crashes of a quarantined part."""
        verdicts = judge([crash(1.0, culprit(1))], {}, {BAD})
        self.assertEqual((verdicts.guilty, verdicts.suspects), ({}, {}))

    def test_two_parts_at_the_same_time(self):
        """Guards against finding only the first of two parts that crash endpoints."""
        other = "part-bad2"
        crashes = [crash(10.0 * n, culprit(n)) for n in range(1, 4)]
        crashes += [crash(10.0 * n + 5, culprit(10 + n, other, THIRD)) for n in range(1, 4)]
        self.assertEqual(self.guilty(crashes, {FIRST: 100.0, THIRD: 100.0}), {BAD, other})


class TestLostEndpoints(unittest.TestCase):
    """Crashes that no call has caused."""

    def test_endpoints_that_end_together_count_once(self):
        """Guards against blaming a popular call or part for a lost rack or failure domain."""
        crashes = [
            crash(1.0 + n * EPISODE_S / 10, culprit(1, FIRST, has_head=False)) for n in range(8)
        ]
        self.assertEqual(judge(crashes, {}).guilty, {})
        later = [crash(10.0 * n, culprit(1, FIRST, has_head=False)) for n in (2, 3)]
        self.assertEqual(set(judge(crashes + later, {}).guilty), {"c1"})

    def test_call_that_is_sent_again_at_once(self):
        """Guards against taking the crashes of a call that is sent again for a lost rack."""
        crashes = [
            crash(1.0 + n * EPISODE_S / 10, Candidate("a", sent_at=1.0 + (n - 1) * EPISODE_S / 10))
            for n in range(CRASHES_WITHOUT_HEAD)
        ]
        self.assertEqual(set(judge(crashes, {}).guilty), {"a"})

    def test_endpoint_that_ends_without_a_candidate(self):
        """Guards against a verdict from crashes during which no call was still unanswered."""
        verdicts = judge([crash(float(n)) for n in range(9)], {})
        self.assertEqual((verdicts.guilty, verdicts.suspects), ({}, {}))

    def test_popular_part_beside_many_losses(self):
        """Guards against refusing a part that is answered between the losses of endpoints."""
        crashes = [crash(10.0 * n, culprit(n, FIRST)) for n in range(1, 9)]
        self.assertEqual(judge(crashes, {FIRST: 85.0}).guilty, {})

    def test_candidates_are_bounded(self):
        """Guards against unbounded memory for an endpoint that ran very many calls."""
        found = crash(1.0, *(culprit(n, has_head=False) for n in range(10 * MAX_CANDIDATES)))
        self.assertEqual(len(found.candidates), MAX_CANDIDATES)


class TestCalls(unittest.TestCase):
    """Whole calls that their callers repeat."""

    def test_third_crash_without_a_head(self):
        """Guards against running a plain call that crashed three endpoints."""
        crashes = [
            crash(10.0 * n, Candidate("a"), *([Candidate("b")] if n == 1 else []))
            for n in range(1, CRASHES_WITHOUT_HEAD + 1)
        ]
        self.assertEqual(judge(crashes[:-1], {}).guilty, {})
        self.assertEqual(set(judge(crashes, {}).guilty), {"a"})

    def test_calls_that_always_run_together_are_sent_one_at_a_time(self):
        """Guards against refusing a call for the crashes of another one beside it."""
        pair = (Candidate("bad"), Candidate("good"))
        crashes = [crash(10.0 * n, *pair) for n in range(1, CRASHES_WITHOUT_HEAD + 2)]
        verdicts = judge(crashes, {})
        self.assertEqual((verdicts.guilty, set(verdicts.suspects)), ({}, {"bad", "good"}))
        verdicts = judge([*crashes, crash(90.0, Candidate("bad"))], {})
        self.assertEqual((set(verdicts.guilty), verdicts.suspects), ({"bad"}, {}))

    def test_answer_clears_only_earlier_crashes(self):
        """Guards against a late report of an answer that erases crashes seen after it."""
        crashes = [crash(10.0 * n, Candidate("a")) for n in range(1, 9)]
        self.assertEqual(judge(crashes, {"a": math.inf}).guilty, {})
        self.assertEqual(set(judge(crashes, {"a": 15.0}).guilty), {"a"})


if __name__ == "__main__":
    unittest.main()
