"""Tests of the operator command without a running system."""

import contextlib
import io
import json
import os
import tempfile
import threading
import unittest
from http.server import BaseHTTPRequestHandler, HTTPServer
from unittest import mock

from mulberrygate.cli.codes import markdown
from mulberrygate.cli.command import OK, REFUSED, UNREACHABLE, USAGE
from mulberrygate.cli.main import main
from mulberrygate.standin.local import free_ports

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.dirname(__file__))))
POOLS = '{"table": "pools", "version": 1, "pools": {"care": {}}}'
ROUTES = '{"table": "routes", "version": 1,\n "routes": {"note": {"pool": "none"}}}'


class FakeEntry(BaseHTTPRequestHandler):
    """Entry instance that gives the same answer to every request."""

    status, body, seen = 200, b"", []

    def do_GET(self):
        """Answer a request."""
        size = int(self.headers.get("Content-Length", 0))
        self.seen.append((self.command, self.path, self.rfile.read(size)))
        self.send_response(self.status)
        self.send_header("Content-Length", str(len(self.body)))
        self.end_headers()
        self.wfile.write(self.body)

    do_POST = do_DELETE = do_GET

    def log_message(self, *_):
        """Write no log."""


class CommandTest(unittest.TestCase):
    """Exit codes and output."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory(prefix="mulberrygate-test-")
        self.addCleanup(folder.cleanup)
        self.folder = folder.name
        self.token = self.write("token", "operator-token-0123456789\n")
        variables = mock.patch.dict(os.environ)
        variables.start()
        self.addCleanup(variables.stop)
        for name in ("MULBERRYGATE_ENTRY", "MULBERRYGATE_OPERATOR_TOKEN_FILE"):
            os.environ.pop(name, None)

    def write(self, name: str, text: str | bytes) -> str:
        """Write a file and return its path."""
        path = os.path.join(self.folder, name)
        with open(path, "wb") as file:
            file.write(text.encode() if isinstance(text, str) else text)
        return path

    def run_main(self, *arguments: str) -> tuple[int, str, str]:
        """Return exit code, output and error output."""
        out, err = io.StringIO(), io.StringIO()
        with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
            try:
                code = main(list(arguments))
            except SystemExit as error:
                code = error.code
        return code, out.getvalue(), err.getvalue()

    def serve(self, status: int, body: bytes) -> list[str]:
        """Start an entry instance and return the options that name it."""
        handler = type("Handler", (FakeEntry,), {"status": status, "body": body, "seen": []})
        server = HTTPServer(("127.0.0.1", 0), handler)
        thread = threading.Thread(target=server.serve_forever)
        thread.start()
        self.addCleanup(server.server_close)
        self.addCleanup(thread.join)
        self.addCleanup(server.shutdown)
        self.seen = handler.seen
        return ["--entry", f"127.0.0.1:{server.server_port}", "--token-file", self.token]

    def test_quarantined_calls_are_listed_and_released(self):
        """Guards against an operator who can't see or end the quarantine of a call."""
        part = {"identity": "part-ab12", "kind": "part", "crashes": 3, "trials": 1}
        row = {**part, "expires_s": 3500.4}
        address = self.serve(200, json.dumps({"quarantined": [row]}).encode())[1]
        code, out, _ = self.run_main("quarantine", "--control", address)
        self.assertEqual(code, OK)
        self.assertEqual(out.splitlines()[1].split(), ["part-ab12", "part", "3", "1", "3500"])
        code, out, _ = self.run_main("quarantine", "--control", address, "--release", "part-ab12")
        self.assertEqual((code, out), (OK, "released part-ab12\n"))
        self.assertEqual(
            [seen[:2] for seen in self.seen],
            [("GET", "/quarantine"), ("DELETE", "/quarantine/part-ab12")],
        )

    def test_control_process_that_is_behind_lists_nothing(self):
        """Guards against an empty list of a control process that may lack quarantined calls."""
        address = self.serve(503, b"{}")[1]
        code, out, err = self.run_main("quarantine", "--control", address)
        self.assertEqual((code, out), (REFUSED, ""))
        self.assertIn("not current", err)

    def test_failure_domain_is_evacuated_and_listed(self):
        """Guards against an operator who can't empty a failure domain or see that it is empty."""
        row = {"failure_domain": "north 1", "age_s": 61.6, "running": 2}
        body = {"evacuated": [row], "pools_without_endpoint": ["care"]}
        address = self.serve(200, json.dumps(body).encode())[1]
        for more, state in (((), "evacuated"), (("--end",), "no longer evacuated")):
            code, out, _ = self.run_main("evacuate", "--control", address, "north 1", *more)
            self.assertEqual((code, out), (OK, f"north 1 is {state}\n"))
        code, out, err = self.run_main("evacuate", "--control", address, "--list")
        self.assertEqual(code, OK)
        self.assertEqual(out.splitlines()[1].split(), ["north", "1", "62", "2"])
        self.assertIn("all endpoints of care are evacuated", err)
        path = "/evacuate/north%201"
        self.assertEqual(
            [seen[:2] for seen in self.seen],
            [("POST", path), ("DELETE", path), ("GET", "/evacuate")],
        )
        self.assertEqual(self.run_main("evacuate", "--control", address)[0], USAGE)

    def test_failure_domain_of_the_own_daemons(self):
        """Guards against operators of the product's own daemons who can't evacuate."""
        row = {"operator": "ana", "at": 0.0, "running": 2, "in_force_on": 1}
        status = {
            "instances": {"a1": {}, "b1": {}},
            "unreachable": ["b2"],
            "summary": {"evacuations": {"b": row}},
        }
        access = self.serve(200, json.dumps(status).encode())
        self.assertEqual(self.run_main("evacuate", *access, "b")[1], "b is evacuated\n")
        code, out, err = self.run_main("evacuate", *access, "--list")
        self.assertEqual(code, OK)
        self.assertEqual(out.splitlines()[1].split()[::2], ["b", "2"])
        self.assertIn("not reached: b2", err)
        self.assertIn("b is not evacuated yet on 1 instances", err)
        self.assertEqual(
            [seen[:2] for seen in self.seen],
            [("POST", "/admin/evacuations/b"), ("GET", "/admin/status")],
        )

    def test_refused_evacuation(self):
        """Guards against an order that looks accepted though it is not committed."""
        for status, body, reason in (
            (503, b"{}", "can't confirm"),
            (422, b'{"error": "unknown zone"}', "unknown zone"),
        ):
            address = self.serve(status, body)[1]
            code, out, err = self.run_main("evacuate", "--control", address, "a")
            self.assertEqual((code, out), (REFUSED, ""))
            self.assertIn(reason, err)

    def test_check_names_line_and_column(self):
        """Guards against a fault that is reported without its position in the file."""
        cases = {
            '{"table": "pools", "version": 1,\n  "pools": {"care": {"tier": 1}}}': ":2:22: ",
            '{"table": "pools",\n "version" 1}': ":2:",
            b'{"table": "pools",\n "a\xff": 1}': ":2:4: byte 0xff is not UTF-8",
            "": ":1:1: empty table",
        }
        for text, expected in cases.items():
            with self.subTest(text):
                path = self.write("table.json", text)
                code, out, err = self.run_main("check", path)
                self.assertEqual((code, out), (REFUSED, ""))
                self.assertIn(path + expected, err)

    def test_check_of_both_tables_finds_a_missing_pool(self):
        """Guards against accepting tables that are valid alone but refer to missing pools."""
        pools, routes = self.write("pools.json", POOLS), self.write("routes.json", ROUTES)
        self.assertEqual(self.run_main("check", routes)[0], OK)
        code, _, err = self.run_main("check", pools, routes)
        self.assertEqual(code, REFUSED)
        self.assertIn(f"{routes}:2:22: pool 'none' is missing", err)
        code, out, _ = self.run_main("check", pools)
        self.assertEqual((code, out), (OK, f"{pools}: pools version 1 is valid\n"))

    def test_two_files_of_one_kind_are_both_checked(self):
        """Guards against a file that is skipped silently."""
        first = self.write("first.json", POOLS.replace('"care": {}', '"bad name": {}'))
        second = self.write("second.json", POOLS)
        code, _, err = self.run_main("check", first, second)
        self.assertEqual(code, REFUSED)
        self.assertIn(first, err)

    def test_unreadable_files_and_wrong_usage(self):
        """Guards against a traceback, or exit code 0, for a command that did nothing."""
        missing = os.path.join(self.folder, "none")
        for command in ("check", "apply"):
            for path in (missing, self.folder):
                with self.subTest(command, path=path):
                    code, _, err = self.run_main(command, path)
                    self.assertEqual(code, REFUSED)
                    self.assertIn(path, err)
        for arguments in ((), ("none",), ("check",), ("get", "none"), ("timeline", "--limit", "x")):
            with self.subTest(arguments):
                self.assertEqual(self.run_main(*arguments)[0], USAGE)

    def test_apply_of_a_broken_file_sends_nothing(self):
        """Guards against sending an invalid table to the system."""
        options = self.serve(200, b"{}")
        code, _, err = self.run_main("apply", self.write("t", '{"table": "pools"}'), *options)
        self.assertEqual((code, self.seen), (REFUSED, []))
        self.assertIn(":1:", err)

    def test_entry_that_can_not_be_used(self):
        """Guards against a traceback when there is no entry, no token or no HTTP."""
        pools = self.write("pools.json", POOLS)
        (port,) = free_ports(1)
        entry = ["--entry", f"127.0.0.1:{port}"]
        bad = self.write("bad", b"\xff\n")
        for options, wanted in (
            ([], USAGE),
            (entry, USAGE),
            ([*entry, "--token-file", self.token], UNREACHABLE),
            ([*entry, "--token-file", self.folder], USAGE),
            ([*entry, "--token-file", bad], USAGE),
            (["--entry", "no port", "--token-file", self.token], UNREACHABLE),
            (["--entry", "127.0.0.1:x", "--token-file", self.token], UNREACHABLE),
        ):
            for command in (["apply", pools], ["status"], ["timeline"], ["get", "pools"]):
                with self.subTest(command=command[0], options=options):
                    code, out, err = self.run_main(*command, *options)
                    self.assertEqual((code, out), (wanted, ""), err)
                    self.assertNotIn("operator-token", err)

    def test_refusal_is_shown_with_its_code(self):
        """Guards against reporting a refused change as accepted."""
        pools = self.write("pools.json", POOLS)
        problem = {"code": 4020, "title": "conflict", "detail": "version 1 is in force"}
        options = self.serve(409, json.dumps(problem).encode())
        code, out, err = self.run_main("apply", pools, *options)
        self.assertEqual((code, out), (REFUSED, ""))
        self.assertIn("4020 conflict: version 1 is in force", err)
        self.assertEqual(self.seen, [("POST", "/admin/tables/pools", POOLS.encode())])
        for body in (b"<html>", b"[]", b"{}", b"\xff"):
            with self.subTest(body):
                options = self.serve(502, body)
                code, _, err = self.run_main("status", *options)
                self.assertEqual(code, REFUSED)
                self.assertIn("502", err)

    def test_answer_that_is_no_json(self):
        """Guards against a traceback when something else listens at the address."""
        pools = self.write("pools.json", POOLS)
        options = self.serve(200, b"<html>")
        for command in (["apply", pools], ["status"], ["timeline"]):
            with self.subTest(command[0]):
                self.assertEqual(self.run_main(*command, *options)[0], UNREACHABLE)

    def test_json_output_is_one_document(self):
        """Guards against other text in the JSON output, which scripts parse."""
        pools = self.write("pools.json", POOLS)
        options = self.serve(200, b'{"revision": 7, "detail": ""}')
        code, out, _ = self.run_main("apply", pools, "--format", "json", *options)
        self.assertEqual((code, json.loads(out)["revision"]), (OK, 7))
        code, out, _ = self.run_main("codes", "--format", "json")
        self.assertEqual(code, OK)
        self.assertIn(1001, [row["code"] for row in json.loads(out)])
        options = self.serve(200, b'{"events": [], "unreachable": ["b"]}')
        code, out, _ = self.run_main("timeline", "--format", "json", *options)
        self.assertEqual((code, json.loads(out)["unreachable"]), (OK, ["b"]))

    def test_timeline_marks_instances_without_an_answer(self):
        """Guards against a timeline that hides missing instances."""
        options = self.serve(200, b'{"events": [], "unreachable": ["b"]}')
        code, out, _ = self.run_main("timeline", "--request", "r", *options)
        self.assertEqual(code, OK)
        self.assertIn("not reached: b", out)
        self.assertIn("request=r", self.seen[0][1])

    def test_page_of_result_codes_is_current(self):
        """Guards against a code that is missing in the documentation."""
        with open(os.path.join(ROOT, "docs", "result-codes.md"), encoding="utf-8") as file:
            self.assertEqual(file.read(), markdown(), "run mulberrygate codes --markdown")


if __name__ == "__main__":
    unittest.main()
