"""Tests of the headers between callers and endpoints."""

from __future__ import annotations

import math
import random
import types
import unittest

import attrs
from hypothesis import given, settings
from hypothesis import strategies as st
from multidict import CIMultiDict

from mulberrygate.catalog import BackendPool, RetryPolicy, RouteRule, WeightedPool
from mulberrygate.core.wire import encode
from mulberrygate.endpoints.roster import Roster
from mulberrygate.forward import codes
from mulberrygate.forward.notices import EndpointNotices
from mulberrygate.forward.request import Call, Refused
from mulberrygate.platform.headers import MAX_PARTS, PlatformDialect
from mulberrygate.schedule.messages import Ask, Ticket

ROUTE = RouteRule("r", "a.example", "/n/", RetryPolicy.STREAM, (WeightedPool("care", 1.0),), 5.0)


def request(**headers):
    """Return a caller's request with these headers."""
    values = CIMultiDict(
        {"Host": "a.example:80", "X-Mulberrygate-Request-Id": "id-1"}
        | {name.replace("_", "-"): value for name, value in headers.items()}
    )
    return types.SimpleNamespace(headers=values, method="POST", raw_path="/n/7?x=1")


def make_ticket(head):
    """Return a ticket with everything that it takes from a head."""
    return Ticket(
        request=head.request,
        entry="entry",
        pool="care",
        route="r",
        account="hule",
        weight=1.0,
        tier=1,
        prompt_tokens=head.prompt_tokens,
        output_tokens=max(head.output_tokens, head.expected_tokens),
        prefixes=head.shared_parts,
        deadline_s=head.timeout_s or 1.0,
        idempotent=False,
    )


def call_of(sent, account="hule"):
    """Return the call of a request."""
    call = Call(PlatformDialect().call_head(sent), sent.headers, 0.0, ROUTE, BackendPool("care"))
    call.account = account
    return call


class TestRequests(unittest.TestCase):
    """Requests from callers to endpoints."""

    def test_head(self):
        """Guards against an exception for a header that should be a number and is not."""
        sent = request(
            X_Mulberrygate_Token_Count="1460,80",
            X_Mulberrygate_Length_Hint="many",
            X_Mulberrygate_Request_Deadline="1500",
            Authorization="bearer k1",
        )
        head = PlatformDialect().call_head(sent)
        self.assertEqual((head.prompt_tokens, head.output_tokens), (1460, 80))
        self.assertEqual((head.expected_tokens, head.timeout_s, head.key), (0, 1.5, "k1"))
        self.assertEqual(head.host, "a.example")

    def test_numbers_out_of_range(self):
        """Guards against a number that no message between processes can carry."""
        for name in ("Token_Count", "Length_Hint", "Request_Deadline"):
            for digits in (24, 5000):
                with self.subTest(name=name, digits=digits):
                    sent = request(**{f"X_Mulberrygate_{name}": "9" * digits})
                    head = PlatformDialect().call_head(sent)
                    self.assertIn("out of range", head.fault)
                    self.assertEqual(head.request, "id-1")
        sent = request(X_Mulberrygate_Token_Count=f"{'0' * 40}7,80")
        self.assertEqual(PlatformDialect().call_head(sent).prompt_tokens, 7)

    def test_texts_that_are_no_unicode(self):
        """Guards against an identifier that no message between processes can carry.

        Bytes that are no UTF-8 arrive as half of a surrogate pair.
        """
        for name in ("X_Mulberrygate_Request_Id", "X_Mulberrygate_Model", "Authorization", "Host"):
            with self.subTest(name):
                head = PlatformDialect().call_head(request(**{name: "\udcff"}))
                self.assertIn("no Unicode", head.fault)
        sent = request()
        sent.raw_path = "/n/\udcff"
        self.assertIn("path", PlatformDialect().call_head(sent).fault)
        self.assertEqual(PlatformDialect().call_head(request(User_Agent="\udcff")).fault, "")

    @settings(derandomize=True, max_examples=300, deadline=None)
    @given(
        st.dictionaries(
            st.sampled_from(
                ("Request_Id", "Token_Count", "Length_Hint", "Request_Deadline", "Prefix_Hash")
            ),
            st.one_of(
                st.text(st.characters(), max_size=8),
                st.integers(0, 1 << 70).map(str),
                st.sampled_from(["9" * 5000, "1,2", "aa:1,bb:2", "\udcff"]),
            ),
        )
    )
    def test_whatever_is_accepted_can_be_sent_on(self, changes):
        """Guards against a request that makes a message to the owner of a pool impossible."""
        sent = request(**{f"X_Mulberrygate_{name}": text for name, text in changes.items()})
        head = PlatformDialect().call_head(sent)
        if not head.fault:
            encode(Ask(make_ticket(head)))

    def test_shared_parts(self):
        """Guards against blaming a prompt's own last part, or an entry that can't be read."""
        text = "5C1E07a2:800, 91bd3f06:410,nonsense:3,,5c1e07a2:1,e4402b7d:250"
        head = PlatformDialect().call_head(request(X_Mulberrygate_Prefix_Hash=text))
        self.assertEqual(head.shared_parts, ("5c1e07a2", "91bd3f06"))
        self.assertEqual(PlatformDialect().call_head(request()).shared_parts, ())
        many = ",".join(f"{number:x}:1" for number in range(100))
        head = PlatformDialect().call_head(request(X_Mulberrygate_Prefix_Hash=many))
        self.assertEqual(len(head.shared_parts), MAX_PARTS)

    def test_callers_cannot_set_system_headers(self):
        """Guards against a caller that sets its account, a lease or another request's cache."""
        names = ("Tenant-Id", "Expect-Instance", "Hold", "Pin-Ms", "Kv-Backup", "Expect-Version")
        sent = request(Authorization="Bearer k1", Kv_From="10.0.0.1:1/h", Kv_Fetch="10.0.0.1:1")
        for name in names:
            sent.headers[f"x-mulberrygate-{name}"] = "forged"
        headers = PlatformDialect().endpoint_headers(call_of(sent), "i-7", 1.2345, "")
        found = {name.lower(): value for name, value in headers}
        self.assertEqual(len(found), len(headers))
        self.assertNotIn("forged", found.values())
        self.assertNotIn("authorization", found)
        self.assertNotIn("kv-from", found)
        self.assertNotIn("kv-fetch", found)
        self.assertEqual(found["x-mulberrygate-tenant-id"], "hule")
        self.assertEqual(found["x-mulberrygate-expect-instance"], "i-7")
        self.assertEqual(found["x-mulberrygate-request-deadline"], "1234")
        self.assertEqual(found["x-mulberrygate-request-id"], "id-1")

    def test_hop_by_hop_headers_are_not_forwarded(self):
        """Guards against forwarding a header that the caller names in ``Connection``."""
        sent = request(Connection="close, X-Own", X_Own="1", X_Other="2", TE="trailers")
        headers = dict(PlatformDialect().endpoint_headers(call_of(sent), "i-7", 1.0, ""))
        self.assertNotIn("X-Own", headers)
        self.assertNotIn("TE", headers)
        self.assertNotIn("Connection", headers)
        self.assertEqual(headers["X-Other"], "2")


class TestAnswers(unittest.TestCase):
    """Answers from endpoints to callers."""

    def head(self, status=200, **headers):
        """Return the head of an answer to ``id-1``."""
        values = CIMultiDict({name.replace("_", "-"): value for name, value in headers.items()})
        response = types.SimpleNamespace(status=status, headers=values)
        return PlatformDialect().answer_head(call_of(request()), response)

    def test_success_needs_a_signature(self):
        """Guards against forwarding a success without the endpoint's signature."""
        self.assertFalse(self.head().is_genuine)
        self.assertTrue(self.head(X_Mulberrygate_Server_Signature="s").is_genuine)
        self.assertTrue(self.head(status=500).is_genuine)

    def test_answer_to_another_request(self):
        """Guards against forwarding a late answer to an earlier request."""
        signed = {"X_Mulberrygate_Server_Signature": "s"}
        self.assertFalse(self.head(X_Mulberrygate_Request_Id="id-0", **signed).is_genuine)
        self.assertTrue(self.head(X_Mulberrygate_Request_Id="id-1", **signed).is_genuine)

    def test_not_run_needs_the_endpoints_statement(self):
        """Guards against taking a request as not run without the endpoint's statement."""
        stated = {"X_Mulberrygate_Not_Executed": "1"}
        for status in (400, 408, 421, 429, 503):
            with self.subTest(status=status):
                self.assertFalse(self.head(status=status).is_turned_down)
                self.assertTrue(self.head(status=status, **stated).is_turned_down)

    def test_statement_about_another_request(self):
        """A statement in a late answer to another request was taken as one on this request."""
        head = self.head(
            status=503, X_Mulberrygate_Not_Executed="1", X_Mulberrygate_Request_Id="id-0"
        )
        self.assertFalse(head.is_turned_down)

    def test_load(self):
        """Guards against a malformed load header that is read as a number."""
        self.assertEqual(self.head(X_Mulberrygate_Server_Load="3, 2, 8").load, 5)
        self.assertIsNone(self.head(X_Mulberrygate_Server_Load="3").load)
        self.assertIsNone(self.head(X_Mulberrygate_Server_Load=f"{'9' * 5000},1,8").load)
        self.assertIsNone(self.head().load)

    def test_load_and_slowdown(self):
        """The load was lost where endpoints state a fourth figure, the slowdown."""
        for text, load, slowdown in (
            ("3, 2, 8, 250", 5, 2.5),
            ("3,2,8,100", 5, 1.0),
            ("3,2,8", 5, None),
            ("3,2,8,soon", 5, None),
            ("3,2,8,0", 5, None),
            ("3,2,8,-50", 5, None),
            (f"{'9' * 5000},1,8,120", None, None),
            ("3,2", None, None),
        ):
            with self.subTest(text=text):
                head = self.head(X_Mulberrygate_Server_Load=text)
                self.assertEqual((head.load, head.slowdown), (load, slowdown))
        other = {"X_Mulberrygate_Request_Id": "id-0"}
        head = self.head(X_Mulberrygate_Server_Load="3,2,8,250", **other)
        self.assertIsNone(head.slowdown)

    def test_what_an_endpoint_says_of_itself(self):
        """Guards against a notice that comes from the wrong answer or an unreadable text."""
        head = self.head(Server_Leaving="1", Server_Limit="4.3", Retry_After="2")
        self.assertEqual((head.is_leaving, head.rate, head.pause_s), (True, 4.3, None))
        self.assertEqual(self.head(status=503, Retry_After="0.5").pause_s, 0.5)
        self.assertEqual(self.head(status=503, Retry_After="soon").pause_s, math.inf)
        head = self.head()
        self.assertEqual((head.is_leaving, head.rate, head.pause_s), (False, math.inf, None))
        for fields in ({"status": 421}, {"X_Mulberrygate_Request_Id": "id-0"}):
            head = self.head(Server_Leaving="1", Server_Limit="4", Retry_After="2", **fields)
            self.assertEqual((head.is_leaving, head.rate, head.pause_s), (False, None, None))

    @given(st.text(max_size=30), st.text(max_size=30), st.text(max_size=30))
    @settings(derandomize=True, deadline=None)
    def test_whatever_an_endpoint_says_can_be_told(self, leaving, limit, pause):
        """Guards against a header of an endpoint that no message to its pool's owner can carry."""
        said = {"Server_Leaving": leaving, "Server_Limit": limit, "Retry_After": pause}
        notices = EndpointNotices(Roster(), random.Random(1))
        for status in (200, 503):
            notices.record("e1", 1, "care", self.head(status=status, **said), 0.0)
            ticket = make_ticket(PlatformDialect().call_head(request()))
            encode(Ask(attrs.evolve(ticket, notices=notices.for_ticket("care", 0.5))))

    def test_refusal_has_retry_after(self):
        """Guards against a delay of less than a second that is rounded to 0."""
        refused = Refused(codes.OVER_LIMIT, retry_after_s=0.4)
        headers = dict(PlatformDialect().refusal_headers(call_of(request()), refused))
        self.assertEqual(headers["Retry-After"], "0.40")
        self.assertEqual(headers["X-Mulberrygate-Request-Id"], "id-1")


if __name__ == "__main__":
    unittest.main()
