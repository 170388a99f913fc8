"""Tests of the decoding of endpoints' registrations and of the settings file."""

from __future__ import annotations

import json
import tempfile
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from mulberrygate.core.outcome import Refusal
from mulberrygate.core.wire import encode
from mulberrygate.platform.registrations import InvalidRegistration, decode_registration
from mulberrygate.platform.settings import load_site

HEARTBEAT = {
    "service": "care",
    "address": "10.128.0.9:8080",
    "zone": "idukki-a",
    "version": "v1",
    "slots": 15,
    "state": "ready",
    "coldRemainingMs": 1500,
    "sequence": 4,
    "born": 1784461071000,
}


def decode(**changes):
    """Return the registration of a changed heartbeat; a change to ``None`` removes the field."""
    fields = {**HEARTBEAT, **changes}
    body = json.dumps({name: value for name, value in fields.items() if value is not None})
    return decode_registration("i-1", body.encode())


# Any JSON value that another writer may put into a field.
ANY_VALUE = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(-(1 << 70), 1 << 70),
    st.floats(),
    st.text(st.characters(), max_size=6),
    st.sampled_from([*HEARTBEAT.values(), "draining", 1 << 63, (1 << 63) - 1, "\ud800", "\udc80"]),
)


class TestRegistrations(unittest.TestCase):
    """Valid and unusable heartbeats."""

    def test_valid_heartbeat(self):
        """Guards against a field that is decoded as another one or in a wrong unit."""
        found = decode()
        self.assertEqual((found.endpoint, found.pool, found.slots), ("i-1", "care", 15))
        self.assertEqual((found.incarnation, found.sequence), (1784461071000, 4))
        self.assertEqual(found.warmup_s, 1.5)
        self.assertFalse(found.is_leaving)
        self.assertTrue(decode(state="draining").is_leaving)

    def test_malformed_heartbeats(self):
        """Guards against a faulty heartbeat that registers an endpoint that can't be reached."""
        malformed = [
            {"state": "resting"},
            {"state": None},
            {"slots": "15"},
            {"slots": True},
            {"address": "10.128.0.9"},
            {"address": 5},
            {"sequence": None},
            {"service": 3},
            {"born": 1.5},
            {"born": 1 << 63},
            {"sequence": -1},
            {"slots": 10**400},
            {"coldRemainingMs": 1 << 70},
            {"coldRemainingMs": float("nan")},
            {"service": "\ud800"},
            {"note": "\udfff"},
            {"address": "10.128.0.9:\u00b2"},
            {"address": "10.128.0.9:65536"},
            {"address": "10.128.0.9 :80"},
        ]
        for changes in malformed:
            with self.subTest(changes), self.assertRaises(InvalidRegistration):
                decode(**changes)

    def test_malformed_names(self):
        """Guards against a name that no message or no request's header can carry."""
        for name in ("i-\ud800", "i-\r\nX-Own: 1", "i-\x00"):
            with self.subTest(name), self.assertRaises(InvalidRegistration):
                decode_registration(name, json.dumps(HEARTBEAT).encode())

    def test_warmup_that_is_over(self):
        """Guards against refusing an endpoint that counts its warm-up below 0."""
        self.assertEqual(decode(coldRemainingMs=-5).warmup_s, 0.0)

    def test_heartbeat_that_does_not_state_its_warmup(self):
        """Guards against an endpoint that counts as warm since an older format lacks the field."""
        self.assertTrue(decode(coldRemainingMs=0).states_warmup)
        self.assertFalse(decode(coldRemainingMs=None).states_warmup)

    @settings(derandomize=True, max_examples=400, deadline=None)
    @given(
        st.text(st.characters(), max_size=6),
        st.dictionaries(st.sampled_from(sorted(HEARTBEAT)), ANY_VALUE),
    )
    def test_whatever_is_accepted_can_be_sent_on(self, name, changes):
        """Guards against a heartbeat that makes a message between processes impossible to encode.

        No entry would get a configuration from a process that has such an endpoint.
        """
        body = json.dumps({**HEARTBEAT, **changes}).encode()
        try:
            registration = decode_registration(name, body)
        except InvalidRegistration:
            return
        encode(registration)
        for body in (b"", b"[]", b"\xff", b"{", b"[" * 100_000):
            with self.assertRaises(InvalidRegistration):
                decode_registration("i-1", body)


class TestSettings(unittest.TestCase):
    """Settings file of the platform."""

    def load(self, **changes):
        """Return the settings from a changed file."""
        fields = {
            "node": "core-a-1",
            "ip": "10.1.0.28",
            "zone": "a",
            "region": "r",
            "zones": {"a": "r"},
            "listen": {"control": "10.1.0.28:8229"},
            "internalPorts": [7600, 7615],
            "seeds": ["10.1.0.28:8229", "10.2.0.20:8229"],
            "bootstrap": True,
            "dataDir": "/data/core",
            "faultTolerance": {"machines": 2},
            "bounds": {"graceS": 6, "quotaSlack": 1500},
            "somethingNew": [1],
            **changes,
        }
        with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
            json.dump(fields, file)
            file.flush()
            return load_site(file.name)

    def test_valid_file(self):
        """Guards against peer calls to the control addresses by which the file names the seeds."""
        site = self.load()
        self.assertEqual(site.seeds, ("10.1.0.28", "10.2.0.20"))
        self.assertEqual(site.peer_address, "10.1.0.28:7600")
        self.assertTrue(site.is_control and not site.is_entry and site.is_first_start)
        self.assertEqual(
            (site.voters, site.bounds.kill_after_s, site.bounds.quota_slack), (5, 6.0, 1500)
        )

    def test_first_start_needs_true(self):
        """Guards against an instance with a lost disk that forms a second control group."""
        self.assertFalse(self.load(bootstrap=False).is_first_start)
        self.assertFalse(self.load(bootstrap=None).is_first_start)

    def test_limits_of_the_machine(self):
        """Guards against a budget for another machine, and a file that says no limits."""
        limits = self.load(limits={"memoryMb": 152, "maxFds": 1535}).limits
        self.assertEqual((limits.memory_bytes, limits.sockets), (152 << 20, 1335))
        for absent in ({}, None, {"memoryMb": None, "maxFds": 0}):
            self.assertEqual(self.load(limits=absent).limits, self.load().limits)

    def test_unusable_file(self):
        """Guards against a traceback instead of a result code for a faulty file."""
        self.assertIsInstance(self.load(ip=7), Refusal)
        self.assertIsInstance(self.load(internalPorts=None), Refusal)
        self.assertIsInstance(load_site("/nonexistent"), Refusal)


if __name__ == "__main__":
    unittest.main()
