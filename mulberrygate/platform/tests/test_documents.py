"""Tests of the decoding of configuration documents."""

from __future__ import annotations

import copy
import json
import unittest

from mulberrygate.catalog import RetryPolicy
from mulberrygate.platform.documents import InvalidDocument, decode_document

DOCUMENT = {
    "version": 7,
    "routes": [
        {
            "name": "r1",
            "host": "Ficu95.example",
            "pathPrefix": "/pufi/",
            "kind": "streaming",
            "timeoutMs": 15000,
            "targetLatencyMs": 400,
            "priority": 1,
            "service": "care",
            "maxAttempts": 2,
            "resumable": True,
            "targetGapMs": 300,
        },
        {
            "name": "r2",
            "host": "ficu95.example",
            "pathPrefix": "/lohu/",
            "kind": "non_idempotent",
            "timeoutMs": 1000,
            "trafficSplit": [
                {"service": "care", "weight": 90},
                {"service": "booking", "weight": 10},
            ],
        },
    ],
    "services": [
        {"name": "care", "maxConnections": 300, "engine": {"slots": 14, "stride": 5}},
        {"name": "booking", "maxConnections": 100},
    ],
    "tenants": [
        {"name": "hule", "apiKeys": ["k1", "k2"], "unit": "tokens", "ratePerS": 10, "burst": 5}
    ],
    "limits": {"maxBodyBytes": 1000, "idleTimeoutMs": 15000},
}


class TestDocuments(unittest.TestCase):
    """Valid and invalid documents."""

    def refused(self, change):
        """Check that the document is refused after a change of its fields."""
        fields = copy.deepcopy(DOCUMENT)
        change(fields)
        with self.assertRaises(InvalidDocument):
            decode_document(json.dumps(fields).encode())

    def test_valid_document(self):
        """Guards against a field that is decoded as another one or in a wrong unit."""
        catalog = decode_document(json.dumps(DOCUMENT).encode())
        route = catalog.routes[0]
        self.assertEqual((catalog.version, route.host, route.timeout_s), (7, "ficu95.example", 15))
        self.assertEqual((route.target_first_s, route.target_gap_s), (0.4, 0.3))
        self.assertTrue(route.is_resumable and route.may_retry)
        self.assertIs(catalog.routes[1].retry_policy, RetryPolicy.ONCE)
        self.assertFalse(catalog.routes[1].may_retry)
        self.assertEqual(catalog.pools[0].tokens_per_event, 5)
        self.assertTrue(catalog.accounts[0].counts_tokens)
        self.assertEqual(catalog.limits.max_body_bytes, 1000)

    def test_truncated_document(self):
        """Guards against a truncated document that is applied in part."""
        body = json.dumps(DOCUMENT).encode()
        for length in range(0, len(body) - 1, 37):
            with self.assertRaises(InvalidDocument):
                decode_document(body[:length])

    def test_unknown_service(self):
        """Guards against a route to a service that the document doesn't define."""
        self.refused(lambda d: d["routes"][0].update(service="none"))
        self.refused(lambda d: d["routes"][1]["trafficSplit"][1].update(service="none"))

    def test_two_routes_with_one_host_and_prefix(self):
        """Guards against two routes of one host and prefix, of which the last one would win."""
        self.refused(lambda d: d["routes"][1].update(pathPrefix="/pufi/"))

    def test_weights_that_add_up_to_zero(self):
        """Guards against a route that has no pool to send to because all weights are 0."""

        def clear(fields):
            for item in fields["routes"][1]["trafficSplit"]:
                item["weight"] = 0

        self.refused(clear)

    def test_timeout_of_zero(self):
        """Guards against a timeout of 0, with which every request of the route would be refused."""
        self.refused(lambda d: d["routes"][0].update(timeoutMs=0))

    def test_shared_key(self):
        """Guards against a key of two accounts, which would identify the last one only."""
        self.refused(lambda d: d["tenants"].append({"name": "other", "apiKeys": ["k2"]}))

    def test_texts_that_are_no_unicode(self):
        """Guards against names that no message between processes can carry."""
        self.refused(lambda d: d["routes"][0].update(name="\ud800"))
        self.refused(lambda d: d["tenants"][0].update(name="\udc80"))
        self.refused(lambda d: d["services"][0].update(note="\ud800"))
        body = json.dumps(DOCUMENT).encode()
        for raw in (b"\xed\xa0\x80", b"\xff"):
            with self.assertRaises(InvalidDocument):
                decode_document(body.replace(b"hule", raw))

    def test_numbers_out_of_range(self):
        """Guards against numbers that no message between processes can carry."""
        self.refused(lambda d: d.update(version=1 << 63))
        self.refused(lambda d: d["routes"][0].update(priority=1e300))
        self.refused(lambda d: d["tenants"][0].update(ratePerS=float("inf")))
        body = json.dumps(DOCUMENT).encode().replace(b'"version": 7', b'"version": ' + b"9" * 5000)
        with self.assertRaises(InvalidDocument):
            decode_document(body)

    def test_text_in_escapes_and_other_scripts(self):
        """Guards against refusing a valid document whose texts are not all ASCII."""
        fields = copy.deepcopy(DOCUMENT)
        fields["tenants"][0]["name"] = "Teranga Lumière \U0001f9fa"
        for is_escaped in (True, False):
            body = json.dumps(fields, ensure_ascii=is_escaped).encode()
            self.assertEqual(decode_document(body).accounts[0].name, fields["tenants"][0]["name"])

    def test_home_regions_and_cold_endpoints(self):
        """Guards against limits on places and on cold endpoints that are not read."""
        fields = copy.deepcopy(DOCUMENT)
        fields["routes"][0]["allowedRegions"] = ["dakar", "thies"]
        fields["routes"][1]["allowedRegions"] = []
        fields["tenants"][0]["allowedRegions"] = ["thies"]
        fields["services"][0].update(coldStartS=3.0, coldPerS=11.0)
        catalog = decode_document(json.dumps(fields).encode())
        homes = [route.home_regions for route in catalog.routes]
        self.assertEqual(homes, [("dakar", "thies"), ()])
        self.assertEqual(catalog.accounts[0].home_regions, ("thies",))
        limits = [(pool.cold_start_s, pool.cold_rate) for pool in catalog.pools]
        self.assertEqual(limits, [(3.0, 11.0), (0.0, 0.0)])
        for regions in ("dakar", [3], [""], {"dakar": 1}, False):
            self.refused(lambda d, names=regions: d["routes"][0].update(allowedRegions=names))
            self.refused(lambda d, names=regions: d["tenants"][0].update(allowedRegions=names))
        for value in ("3", -1, True):
            self.refused(lambda d, number=value: d["services"][0].update(coldStartS=number))
            self.refused(lambda d, number=value: d["services"][0].update(coldPerS=number))

    def test_wrong_types(self):
        """Guards against a field of a wrong type that raises another exception."""
        self.refused(lambda d: d.update(version="7"))
        self.refused(lambda d: d.update(version=True))
        self.refused(lambda d: d.update(routes={}))
        self.refused(lambda d: d["routes"][0].update(timeoutMs="soon"))
        self.refused(lambda d: d["routes"][0].update(kind="other"))
        self.refused(lambda d: d["routes"][1].update(trafficSplit=[3]))
        self.refused(lambda d: d["tenants"][0].update(apiKeys="k1"))
        with self.assertRaises(InvalidDocument):
            decode_document(b"[1, 2]")
        with self.assertRaises(InvalidDocument):
            decode_document(b"\xff\xfe")


if __name__ == "__main__":
    unittest.main()
