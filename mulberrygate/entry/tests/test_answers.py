"""Tests of the responses that are made from refusals and from answers of services."""

import unittest
from unittest import mock

import msgpack
from hypothesis import given
from hypothesis import strategies as st

from mulberrygate.core.outcome import Execution
from mulberrygate.core.promises import NOT_RUN_STATUSES
from mulberrygate.entry.codes import AMBIGUOUS_ANSWER
from mulberrygate.entry.context import RequestContext
from mulberrygate.entry.relay import unpack_service_answer


class TestServiceAnswers(unittest.TestCase):
    """Answers of services that are replayed from the ledger."""

    @given(st.integers(200, 599))
    def test_status_is_no_untrue_promise(self, status):
        """A recorded answer of a service, also of an earlier release, was replayed as a promise."""
        request = mock.create_autospec(RequestContext, instance=True)
        request.request_id, request.key = "r", "k"
        response = unpack_service_answer(msgpack.packb([status, {"ETag": "e"}, b"b"]), request)
        if status in NOT_RUN_STATUSES:
            self.assertEqual(response.code, AMBIGUOUS_ANSWER)
            self.assertIs(response.execution, Execution.UNKNOWN)
        else:
            self.assertEqual((response.status, response.headers["ETag"]), (status, "e"))


if __name__ == "__main__":
    unittest.main()
