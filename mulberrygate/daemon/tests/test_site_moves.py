"""Tests of the evaluation of version moves by a control process."""

import unittest
from types import SimpleNamespace
from unittest import mock

from mulberrygate.control.catalogs import ROLLED_BACK, RUNNING, Move
from mulberrygate.daemon.site_moves import SiteMoves


class SiteMovesTest(unittest.TestCase):
    """A leader that evaluates a move of 10 s without any evidence."""

    def setUp(self):
        self.now = 100.0
        self.wall = 5000.0
        machine = SimpleNamespace(moves={"care": Move("v2", RUNNING, 5000.0, 5010.0)})
        site = SimpleNamespace(instance="me", bounds=SimpleNamespace(exposure_share=0.1))
        self.lines = mock.Mock()
        self.moves = SiteMoves(
            site,
            1,
            lambda: machine,
            mock.Mock(),
            mock.Mock(take=lambda *_: []),
            mock.Mock(now=lambda: self.now),
            self.lines,
        )

    def evaluate(self):
        """Evaluate the move and return the verdicts logged so far."""
        with mock.patch("mulberrygate.daemon.site_moves.time.time", lambda: self.wall):
            self.moves.evaluate_all()
        return [call.kwargs["verdict"] for call in self.lines.note.call_args_list]

    def test_time_of_day_that_jumps_does_not_end_a_move(self):
        """Guards against a jump of the time of day that ends a move early or late."""
        self.evaluate()
        self.now, self.wall = 101.0, 5031.0
        self.assertEqual(self.evaluate(), [])
        self.now, self.wall = 109.5, 4990.0
        self.assertEqual(self.evaluate(), [ROLLED_BACK])


if __name__ == "__main__":
    unittest.main()
