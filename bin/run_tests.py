"""Run the tests and doctests, except those that KNOWN-RED.txt lists.

KNOWN-RED.txt holds entries whose first line is ``test: <id>``. A listed test runs and may fail. A
listed test that passes fails the run, so that the list stays up to date.
"""

from __future__ import annotations

import argparse
import doctest
import importlib
import importlib.util
import itertools
import os
import pkgutil
import subprocess
import sys
import time
import unittest
from concurrent.futures import ThreadPoolExecutor

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
KNOWN_RED = os.path.join(ROOT, "KNOWN-RED.txt")
# Test modules that run concurrently, each in its own process. Few, as process tests start daemons.
WORKERS = 4
MODULE_LIMIT_S = 1200
RESULT_PREFIX = "run_tests result:"


def load_known_red() -> set[str]:
    """Return the identifiers of tests that are known to fail."""
    if not os.path.exists(KNOWN_RED):
        return set()
    with open(KNOWN_RED, encoding="utf-8") as file:
        return {line[5:].strip() for line in file if line.startswith("test:")}


def all_modules() -> list[str]:
    """Return the names of all modules of the package, without generated code."""
    import mulberrygate

    names = [
        info.name
        for info in pkgutil.walk_packages(mulberrygate.__path__, "mulberrygate.")
        if not info.name.endswith(("_pb2", "_grpc", "__main__"))
    ]
    return sorted(names)


def runs_alone(name: str) -> bool:
    """Return whether a test module says that it runs after all others, by itself."""
    spec = None if name == "doctests" else importlib.util.find_spec(name)
    if spec is None or not spec.origin:
        return False
    with open(spec.origin, encoding="utf-8") as file:
        return any(line.startswith("RUNS_ALONE = True") for line in file)


class Result(unittest.TextTestResult):
    """Test result that counts passes and tolerates the failures of listed tests."""

    listed: set[str] = set()

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self.passed = 0
        self.known: list[str] = []

    def addSuccess(self, test):
        super().addSuccess(test)
        if test.id() in self.listed:
            self.failures.append((test, "listed in KNOWN-RED.txt but passes; remove the entry"))
        else:
            self.passed += 1

    def addFailure(self, test, error):
        if test.id() in self.listed:
            self.known.append(test.id())
        else:
            super().addFailure(test, error)

    def addError(self, test, error):
        if test.id() in self.listed:
            self.known.append(test.id())
        else:
            super().addError(test, error)


def run_module(name: str) -> int:
    """Run one test module, or the doctests of all modules, in this process."""
    suite = unittest.TestSuite()
    if name == "doctests":
        for module_name in all_modules():
            if ".tests" not in module_name:
                module = importlib.import_module(module_name)
                if doctest.DocTestFinder(exclude_empty=True).find(module):
                    suite.addTest(doctest.DocTestSuite(module))
    else:
        suite.addTest(unittest.defaultTestLoader.loadTestsFromName(name))
    Result.listed = load_known_red()
    runner = unittest.TextTestRunner(resultclass=Result, verbosity=1, stream=sys.stdout)
    result = runner.run(suite)
    bad = len(result.failures) + len(result.errors) + len(result.unexpectedSuccesses)
    for test in result.known:
        print(f"known red: {test}")
    skipped = len(result.skipped)
    print(f"{RESULT_PREFIX} {result.passed} {bad} {skipped} {len(result.known)}")
    return 1 if bad else 0


def run_process(name: str) -> tuple[str, int, str, float]:
    """Run one module in its own process; return its name, exit code, output and seconds."""
    start = time.monotonic()
    try:
        done = subprocess.run(
            [sys.executable, os.path.abspath(__file__), "--module", name],
            cwd=ROOT,
            stdin=subprocess.DEVNULL,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            timeout=MODULE_LIMIT_S,
        )
    except subprocess.TimeoutExpired as error:
        output = (error.stdout or b"").decode(errors="replace")
        return name, 1, f"{output}\n{name} did not end", time.monotonic() - start
    return name, done.returncode, done.stdout.decode(errors="replace"), time.monotonic() - start


def main() -> int:
    """Run the selected test modules and print a final line of counts."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--module", help="run one test module in this process")
    parser.add_argument("only", nargs="*", help="run only modules whose name contains one of these")
    options = parser.parse_args()
    if options.module:
        return run_module(options.module)
    names = [name for name in all_modules() if ".tests.test_" in name] + ["doctests"]
    if options.only:
        names = [name for name in names if any(part in name for part in options.only)]
    if not names:
        print("no test module matches")
        return 1
    totals = [0, 0, 0, 0]
    alone = [name for name in names if runs_alone(name)]
    with ThreadPoolExecutor(WORKERS) as pool:
        concurrent = pool.map(run_process, [name for name in names if name not in alone])
        one_by_one = map(run_process, alone)
        for name, code, output, seconds in itertools.chain(concurrent, one_by_one):
            print(f"{name}: {'ok' if code == 0 else 'FAILED'} in {seconds:.1f} s", flush=True)
            lines = output.splitlines()
            counts = [line for line in lines if line.startswith(RESULT_PREFIX)]
            if counts:
                for number, count in enumerate(counts[-1][len(RESULT_PREFIX) :].split()):
                    totals[number] += int(count)
            if code != 0:
                print(output, flush=True)
                if not counts:
                    totals[1] += 1
            for line in lines:
                if line.startswith("known red:"):
                    print(line)
    passed, failed, skipped, red = totals
    if red:
        print(f"{red} known failures of KNOWN-RED.txt were passed over")
    print(f"{passed} passed, {failed} failed, {skipped} skipped")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
