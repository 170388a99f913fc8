"""Tests of the addresses that are read before the rest of the program is loaded."""

import json
import os
import tempfile
import unittest

from mulberrygate.platform.listen import served_addresses


class ServedAddressesTest(unittest.TestCase):
    """Addresses of a settings file."""

    def read(self, text: str) -> tuple[str, ...]:
        """Return the addresses from a settings file with this content."""
        with tempfile.TemporaryDirectory() as folder:
            path = os.path.join(folder, "node.json")
            with open(path, "w", encoding="utf-8") as file:
                file.write(text)
            return served_addresses(path)

    def test_addresses_of_an_entry(self):
        """Guards against a missed address, which refuses callers until the program is loaded."""
        listen = {"frontend": "10.1.0.25:8221", "readiness": "10.1.0.25:8224"}
        self.assertEqual(self.read(json.dumps({"listen": listen})), tuple(listen.values()))

    def test_faulty_files_give_no_address(self):
        """Guards against a traceback instead of a result code for a faulty file."""
        texts = ("", "{", "[]", "{}", '{"listen": 5}', '{"listen": {"control": 7}}', "null")
        for text in texts:
            with self.subTest(text=text):
                self.assertEqual(self.read(text), ())

    def test_missing_file_gives_no_address(self):
        """Guards against a traceback if the environment variable is not set."""
        self.assertEqual(served_addresses(""), ())


if __name__ == "__main__":
    unittest.main()
