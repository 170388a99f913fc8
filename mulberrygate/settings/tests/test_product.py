"""Tests of the product settings."""

from __future__ import annotations

import os
import tempfile
import unittest

from mulberrygate.core.outcome import Refusal
from mulberrygate.settings.product import (
    BAD_PRODUCT_SETTINGS,
    HedgeSettings,
    ProductSettings,
    load_product_settings,
)


class TestProductSettings(unittest.TestCase):
    """Files that operators write."""

    def load(self, text):
        """Return what a file with this text holds."""
        with tempfile.TemporaryDirectory() as folder:
            path = os.path.join(folder, "product.json5")
            with open(path, "w", encoding="utf-8") as file:
                file.write(text)
            return load_product_settings(path)

    def test_hedging_is_off_by_default(self):
        """Guards against second copies that nobody has asked for."""
        self.assertEqual(load_product_settings(""), ProductSettings(None))
        self.assertEqual(self.load("{}"), ProductSettings(None))

    def test_file_with_comments(self):
        """Guards against refusing the format of the product's other settings."""
        text = "{hedging: {share: 0.02, /* slowest tenth */ quantile: 0.9}}"
        self.assertEqual(self.load(text), ProductSettings(HedgeSettings(0.02, 0.9)))

    def test_wrong_values_are_refused(self):
        """Guards against a start with a limit that was mistyped or is out of bounds."""
        for hedging in (
            "{}",
            "{share: 2}",
            "{share: -0.01}",
            "{share: '0.02'}",
            "{share: NaN}",
            "{share: 0.02, quantile: 95}",
            "{share: 0.02, quantile: 0.1}",
            "{share: 0.02, min_delay_s: 0}",
            "{share: 0.02, min_samples: 1.5}",
            "{share: 0.02, min_samples: 1}",
            "{share: 0.02, quantil: 0.9}",
            "{share: 0.02, share: 0.1}",
            "true",
        ):
            with self.subTest(hedging):
                refusal = self.load(f"{{hedging: {hedging}}}")
                self.assertIsInstance(refusal, Refusal)
                self.assertEqual(refusal.code, BAD_PRODUCT_SETTINGS)

    def test_missing_file_is_refused(self):
        """Guards against a start without the limits that the operators named."""
        self.assertIsInstance(load_product_settings("/nonexistent/product.json5"), Refusal)


if __name__ == "__main__":
    unittest.main()
