"""Tests of the replica: single steps, copies and retention."""

import random
import unittest

from mulberrygate.core import InvariantError, Reply, Send, decode, encode
from mulberrygate.ledger import Replica, ReplicaId, SendCopyReport, Shard, View
from mulberrygate.ledger.keys import mint
from mulberrygate.ledger.merge import merge
from mulberrygate.ledger.messages import (
    ANSWER_RETENTION_S,
    NO_ATTEMPT,
    NOT_RUN,
    RETENTION_S,
    Absent,
    Accepted,
    Attempt,
    Begin,
    Claim,
    Conflict,
    CopyShard,
    Finish,
    Lookup,
    NotServing,
    Phase,
    Record,
    Release,
    Withdrawn,
)

ONE, TWO = Attempt("a", 1, 1), Attempt("b", 1, 1)
WALL = 1_700_000_000.0


def view(number, *names, lost_at=0.0):
    return View(number, tuple(ReplicaId(name, 1) for name in names), lost_at)


class ReplicaTest(unittest.TestCase):
    """Steps and copies at one replica with one shard."""

    def setUp(self):
        self.replica = Replica("a", 1, WALL)
        self.first = view(1, "a", "b", "c")
        self.install(None, self.first)
        self.install(self.first, None)

    def install(self, active, preparing, now=0.0):
        return self.replica.install({"d/0": Shard("d", 0, active, preparing)}, now)

    def step(self, cls, *values, now=1.0, number=1, **options):
        message = decode(*encode(cls("d/0", number, *values, **options)))
        effects = self.replica.handle(message, "e", now)
        return effects[0].message if isinstance(effects[0], Reply) else effects[0]

    def claim(self, attempt, replaces=NO_ATTEMPT, key="d/k", body=b"f", **options):
        return self.step(Claim, key, body, attempt, replaces, **options)

    def begin(self, attempt, key="d/k", **options):
        return self.step(Begin, key, b"f", attempt, "e", "h:1", **options)

    def test_second_attempt_sees_the_first(self):
        """A second attempt is refused with the record of the first; otherwise both would begin."""
        self.assertEqual(self.claim(ONE), Accepted())
        self.assertEqual(self.claim(TWO).record.attempt, ONE)
        self.assertEqual(self.begin(TWO).record.attempt, ONE)
        self.assertEqual(self.begin(ONE), Accepted())
        self.assertEqual(self.claim(TWO, ONE).record.phase, Phase.RUNNING)

    def test_begin_at_another_endpoint_replaces_the_first(self):
        """The record names the new endpoint.

        Otherwise a re-send would look for the stream at the one that refused the connection.
        """
        self.assertEqual(self.begin(ONE), Accepted())
        elsewhere = self.step(Begin, "d/k", b"f", ONE, "other", "h:2")
        self.assertEqual(elsewhere, Accepted())
        self.assertEqual(self.step(Lookup, "d/k").record.address, "h:2")
        self.assertEqual(self.begin(TWO).record.attempt, ONE)

    def test_takeover_ends_the_old_attempt(self):
        """A suspended entry can't begin after its claim was taken over and then released."""
        self.claim(ONE)
        self.assertEqual(self.claim(TWO, ONE), Accepted())
        self.step(Release, "d/k", TWO)
        self.assertEqual(self.begin(ONE), Withdrawn())

    def test_other_body_is_a_conflict(self):
        """A key with another body is refused, or the caller would get another request's answer."""
        self.claim(ONE)
        self.assertIsInstance(self.claim(TWO, body=b"g"), Conflict)

    def test_released_begin_stays_and_is_not_run(self):
        """A released begin stays recorded, so that no second attempt begins at this replica."""
        self.begin(ONE)
        self.step(Release, "d/k", ONE)
        self.assertEqual(self.begin(ONE), Withdrawn())
        self.assertEqual(self.begin(TWO).record.outcome, NOT_RUN)

    def test_late_messages_of_a_released_attempt_are_refused(self):
        """A claim that arrives after its release does not block the key for the retention time."""
        self.step(Release, "d/k", ONE)
        self.assertEqual(self.claim(ONE), Withdrawn())

    def test_two_outcomes_break_the_invariant(self):
        """Two outcomes of one key are reported as two runs."""
        self.step(Finish, "d/k", b"f", ONE)
        with self.assertRaises(InvariantError):
            self.step(Finish, "d/k", b"f", TWO)

    def test_answers_and_records_expire(self):
        """Expiry bounds the memory and frees keys."""
        self.step(Finish, "d/k", b"f", ONE, answer=b"x" * 100)
        self.assertEqual(self.step(Lookup, "d/k").record.answer, b"x" * 100)
        self.replica.tick(ANSWER_RETENTION_S + 2)
        self.assertEqual(self.step(Lookup, "d/k").record.answer, b"")
        self.replica.tick(RETENTION_S + 2)
        self.assertEqual(self.step(Lookup, "d/k"), Absent())

    def test_serves_only_its_own_complete_view(self):
        """A step under any other view is refused, or it would count towards a wrong majority."""
        self.assertEqual(self.claim(ONE, number=2), NotServing(1))
        effects = self.install(self.first, view(2, "a", "b", "x"))
        self.assertEqual(self.claim(ONE, number=2), NotServing(1))
        self.replica.handle(effects[0].message, "a", 1.0)
        self.assertEqual(self.claim(ONE, number=2), NotServing(0))
        self.assertEqual(self.claim(ONE), NotServing(0))

    def test_new_incarnation_serves_nothing(self):
        """A restarted replica has no records, so it must not accept a begin under the old view."""
        self.replica = Replica("a", 2, WALL)
        self.install(self.first, None)
        self.assertEqual(self.begin(ONE), NotServing(0))

    def test_copy_is_resumed_and_reported(self):
        """Lost parts and reports are repeated; otherwise the new view would never be complete."""
        for number in range(2000):
            self.claim(ONE, key=f"d/{number}")
        source, other = self.replica, Replica("x", 1, WALL)
        self.replica = other
        second = view(2, "x", "b", "a")
        effects = self.install(View(1, self.first.replicas[:1]), second, 1.0)
        lost = effects.pop()
        self.assertEqual(other.tick(1.1), [])
        effects = other.tick(2.0)
        self.assertEqual(effects, [lost])
        while isinstance(effects[0], Send):
            if effects[0].to == "x":
                effects = other.handle(effects[0].message, "x", 2.0)
                continue
            part = source.handle(effects[0].message, "x", 2.0)[0]
            effects = other.handle(decode(*encode(part.message)), "a", 2.0)
        self.assertEqual(effects, [SendCopyReport(effects[0].report)])
        self.assertEqual(other.tick(5.0), effects)
        self.assertEqual(len(other.shards["d/0"].tables[2].records), 2000)

    def test_superseded_copy_is_dropped_and_base_is_kept(self):
        """After a superseded copy the next view is copied from the same sealed active view."""
        self.begin(ONE)
        self.install(self.first, view(2, "b", "c", "x"))
        self.replica.handle(CopyShard("d/0", 1, 2), "x", 1.0)
        self.install(self.first, view(3, "b", "c", "y"))
        part = self.replica.handle(CopyShard("d/0", 1, 3), "y", 2.0)[0].message
        self.assertEqual([record.attempt for record in part.records], [ONE])
        self.assertEqual(self.begin(TWO, key="d/other"), NotServing(0))

    def test_older_configuration_changes_nothing(self):
        """A configuration that is delivered late does not reactivate an old view."""
        second = view(2, "a", "b", "c")
        self.install(second, None)
        self.install(self.first, second)
        self.assertEqual(self.replica.shards["d/0"].active, 2)

    def test_unknown_keys_after_a_loss(self):
        """After a loss, keys that may be older are uncertain; newly minted keys are accepted."""
        table_view = view(1, "a", lost_at=WALL + 1000)
        self.replica = Replica("a", 1, WALL)
        self.install(None, table_view)
        rng = random.Random(1)
        old, new = mint("d", WALL + 500, rng), mint("d", WALL + 1100, rng)
        now = 1110.0
        for key in ("d/unknown", old):
            self.assertEqual(self.begin(ONE, key=key, now=now).record.phase, Phase.UNCERTAIN)
            self.assertEqual(self.claim(ONE, key=key, now=now).record.phase, Phase.UNCERTAIN)
        self.assertEqual(self.claim(ONE, key=new, now=now), Accepted())
        later = now + RETENTION_S
        self.assertEqual(self.claim(ONE, key="d/unknown", now=later), Accepted())


class MergeTest(unittest.TestCase):
    """Merge of the records of several replicas."""

    def merge(self, *records, majority=2):
        return [r.phase for r in merge([{r.key: r} if r else {} for r in records], majority)]

    def record(self, attempt, phase, outcome=""):
        return Record("d/k", b"f", attempt, phase, outcome=outcome, expires=9.0)

    def test_rules(self):
        """No begin is lost in a merge, and two begins of a key become uncertain."""
        runs, other = self.record(ONE, Phase.RUNNING), self.record(TWO, Phase.RUNNING)
        waits, done = self.record(TWO, Phase.WAITING), self.record(TWO, Phase.FINISHED, "completed")
        spent = self.record(ONE, Phase.FINISHED, NOT_RUN)
        self.assertEqual(self.merge(runs, None), [Phase.RUNNING])
        self.assertEqual(self.merge(runs, waits), [Phase.RUNNING])
        self.assertEqual(self.merge(runs, other), [Phase.UNCERTAIN])
        self.assertEqual(self.merge(runs, done), [Phase.FINISHED])
        self.assertEqual(self.merge(runs, spent), [])
        self.assertEqual(self.merge(spent, waits, waits), [Phase.WAITING])
        self.assertEqual(self.merge(waits, None), [])
        self.assertEqual(self.merge(runs, majority=3), [Phase.UNCERTAIN])
        self.assertEqual(self.merge(waits, majority=3), [Phase.UNCERTAIN])
        self.assertEqual(self.merge(done, majority=3), [Phase.FINISHED])


if __name__ == "__main__":
    unittest.main()
