"""Tests of the explanation of a request from structured logs."""

from __future__ import annotations

import contextlib
import io
import json
import tempfile
import unittest

from mulberrygate.cli.explain import collect_request_lines, describe_outcome, parse_lines
from mulberrygate.cli.main import main
from mulberrygate.core.codes import all_codes
from mulberrygate.forward import codes as forward_codes

CODES = {code.number: code for code in all_codes()}


def text(at, event, node="entry-1", **fields):
    """Return a log line with the prefix that a log collector adds."""
    line = json.dumps({"at": at, "node": node, "event": event, **fields}, separators=(",", ":"))
    return f"  {at:.4f} {node} {line}\n"


class TestExplain(unittest.TestCase):
    """Log lines and outcomes of failed requests."""

    def setUp(self):
        self.texts = [
            "Traceback of another program\n",
            text(9.0, "request.answered", id="r1", status=200, endpoint="e1", total_s=0.2,
                 granted_s=0.01, sends=1),
            text(1.0, "catalog.in_force", version=7),
            text(2.0, "catalog.in_force", node="entry-2", version=7),
            text(3.0, "endpoint.known", endpoint="e1"),
            text(3.5, "endpoint.known", endpoint="e2"),
            '  5.0 entry-1 {"at":5.0,"node":"entry-1","event":"request.re',
            text(4.0, "endpoint.broke", id="r2", endpoint="e1", reason="reset", events=3),
            text(5.0, "request.answered", id="r2", status=0, endpoint="e1", total_s=1.0,
                 granted_s=0.01, sends=1, fault="broken off: not resumed"),
            text(6.0, "request.refused", id="r3", status=429, endpoint="", total_s=0.02,
                 granted_s=-1, code=str(forward_codes.OVER_LIMIT)),
            text(6.5, "endpoint.ambiguous", id="r6", endpoint="e2", status=429),
            text(6.6, "request.refused", id="r6", status=502, endpoint="e2", total_s=0.1,
                 granted_s=0.01, code=str(forward_codes.AMBIGUOUS_REJECTION)),
            text(7.0, "request.left", id="r4", status=0, endpoint="", total_s=2.0, granted_s=-1),
        ]  # fmt: skip
        self.lines = parse_lines(self.texts)

    def test_other_text_is_skipped(self):
        """Guards against an exception at a truncated line."""
        self.assertEqual(len(self.lines), 11)
        self.assertEqual([line["at"] for line in self.lines], sorted(x["at"] for x in self.lines))

    def test_crashes_for_which_a_call_was_refused(self):
        """Guards against a refused part whose crashes an operator has to search for."""
        code = str(forward_codes.CRASHES_ENDPOINTS)
        texts = [
            text(1.0, "call.crashed", fingerprint="f1", parts="part-aa,part-bad", endpoint="e1"),
            text(2.0, "call.crashed", fingerprint="f2", parts="part-aa", endpoint="e2"),
            text(3.0, "quarantine.added", node="core-1", identity="part-bad", endpoints="e1"),
            text(4.0, "quarantine.added", node="core-1", identity="part-aa", endpoints="e2"),
            text(5.0, "request.refused", id="r5", status=503, code=code, detail="part-bad"),
            text(6.0, "call.crashed", fingerprint="f3", parts="part-bad", endpoint="e3"),
        ]
        found = collect_request_lines(parse_lines(texts), "r5")
        self.assertEqual([line["at"] for line in found], [1.0, 3.0, 5.0])

    def test_context_events_of_the_process_are_included(self):
        """Guards against omitting the process's catalog, or showing that of another process."""
        events = [(line["event"], line["node"]) for line in collect_request_lines(self.lines, "r2")]
        self.assertEqual(
            events,
            [
                ("catalog.in_force", "entry-1"),
                ("endpoint.known", "entry-1"),
                ("endpoint.broke", "entry-1"),
                ("request.answered", "entry-1"),
            ],
        )

    def test_outcome_descriptions(self):
        """Guards against naming a step that did not decide the outcome."""
        self.assertIn(
            "e1 was broken off: not resumed: reset", describe_outcome(self.lines, "r2", CODES)
        )
        self.assertIn(forward_codes.OVER_LIMIT.meaning, describe_outcome(self.lines, "r3", CODES))
        self.assertIn("Before, e2 answered 429.", describe_outcome(self.lines, "r6", CODES))
        self.assertIn("left after 2.0 s", describe_outcome(self.lines, "r4", CODES))
        self.assertIn("Answered 200 at e1", describe_outcome(self.lines, "r1", CODES))
        self.assertIn("no end", describe_outcome(self.lines, "r9", CODES))

    def test_command(self):
        """Guards against a command that needs a running entry instance."""
        with tempfile.NamedTemporaryFile("w") as file:
            file.writelines(self.texts)
            file.flush()
            output = io.StringIO()
            with contextlib.redirect_stdout(output):
                self.assertEqual(main(["explain", "r3", file.name]), 0)
                self.assertEqual(main(["explain", "r3", file.name, "--format", "json"]), 0)
            with contextlib.redirect_stderr(io.StringIO()):
                self.assertEqual(main(["explain", "none", file.name]), 1)
        self.assertIn("request.refused", output.getvalue())


if __name__ == "__main__":
    unittest.main()
