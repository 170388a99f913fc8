"""Process tests of bad input and of access control."""

import asyncio
import gzip
import json
import os
import random
import time
import unittest
from unittest import mock

from mulberrygate.core import HybridClock
from mulberrygate.core.wire import Ack
from mulberrygate.daemon.tests.base import ACCOUNTS, SystemTest
from mulberrygate.daemon.web import WebServer
from mulberrygate.peers import PeerClient, PeerServer
from mulberrygate.peers.client import Unreachable
from mulberrygate.standin.local import (
    ENDPOINT_TOKEN,
    OPERATOR_TOKEN,
    PEER_TOKEN,
    free_ports,
    routes_table,
    token_of,
    wait_for,
)

CALLER_TOKEN = token_of("field")
CHAT = "/v1/chat/completions"
NESTED = "[" * 100 + "]" * 100
PIECES = (b'"', b"{", b"]", b"[[", b"\\ud800", b"\xff", b"1e999", b"null", b"-1", b"\x00")


class InputsTest(SystemTest):
    """One instance with an engine and two plain services."""

    instances = {"a1": ("west", "a")}
    voters = ("a1",)

    def add_endpoints(self):
        self.system.add_endpoint("engine", "engine-a", "diagnosis", "a", decode_tokens_s=2000)
        self.system.add_endpoint("service", "booking-a", "booking", "a")
        self.system.add_endpoint("service", "stock-a", "stock", "a")

    def pools(self):
        return {**super().pools(), "stock": {"kind": "service"}}

    def routes(self):
        stock = {"pool": "stock", "accounts": ["salons"]}
        return {**super().routes(), "stock": stock}

    async def send_raw(self, head: bytes, body: bytes = b"") -> tuple[int, bytes]:
        """Send bytes on a connection of their own and return status and body."""
        host, _, port = self.system.daemons["a1"].http_address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(head + b"\r\nHost: x\r\nConnection: close\r\n\r\n")
        if b"100-continue" in head:
            await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 30)
        writer.write(body)
        answer = await asyncio.wait_for(reader.read(), 60)
        writer.close()
        head, _, body = answer.partition(b"\r\n\r\n")
        return int(head.split()[1]), body

    async def chat(self, body: bytes, **headers: str) -> tuple[int, bytes]:
        """Send the body of a chat completion and return status and answer."""
        call = self.system.call("a1", "POST", CHAT, CALLER_TOKEN, headers, body)
        status, answer, _ = await call
        return status, answer

    async def wait_served(self, send) -> bytes:
        """Send a request again while the ledger's shards are set up, and return the answer."""

        async def is_served() -> bytes:
            status, answer = await send()
            if status == 503:
                self.assertEqual(json.loads(answer)["outcome"], "not_run")
                return b""
            self.assertEqual(status, 200, answer)
            return answer

        return await wait_for(is_served, "the request is served")

    async def runs(self) -> list[int]:
        """Return how many calls each endpoint ran."""
        states = [await self.system.json(n, "/standin") for n in self.system.endpoints]
        return [sum(state["runs"].values()) for state in states]

    def check_refused(self, status: int, body: bytes, code: int) -> None:
        """Check that an answer is a problem with a code and says that nothing ran."""
        problem = json.loads(body)
        self.assertEqual((problem["code"], problem["outcome"]), (code, "not_run"), problem)
        self.assertEqual(problem["status"], status)
        self.assertTrue(problem["detail"])

    def check_secrets(self, text: str) -> None:
        """Check that a text holds no token."""
        for token in (PEER_TOKEN, OPERATOR_TOKEN, ENDPOINT_TOKEN, CALLER_TOKEN):
            self.assertNotIn(token, text)


def chat(**members) -> bytes:
    """Return the body of a chat completion."""
    return json.dumps({"model": "write-up", "messages": [], **members}).encode()


def message(content) -> list[dict]:
    """Return the messages of a chat completion."""
    return [{"role": "user", "content": content}]


class RequestTest(InputsTest):
    """Requests that can't be served."""

    async def test_bad_bodies_are_refused_before_they_run(self):
        """Guards against a 500, or a body that fails only after the ledger's begin."""
        bodies = {
            "empty": b"",
            "cut": chat()[:-1],
            "not UTF-8": chat()[:-1] + b', "a": "\xff"}',
            "UTF-16": chat().decode().encode("utf-16"),
            "list": b"[]",
            "nested 100": chat()[:-1] + b', "a": ' + NESTED.encode() + b"}",
            "nested 100,000": b"[" * 100_000,
            "nested content": chat(messages=message(json.loads(NESTED))),
            "NaN": chat(temperature=float("nan")),
            "Infinity": chat(temperature=float("inf")),
            "1e999": chat()[:-1] + b', "a": 1e999}',
            "5,000 digits": chat()[:-1] + b', "a": ' + b"9" * 5000 + b"}",
            "surrogate": chat(messages=message("\ud800" * 2000)),
            "messages": chat(messages="hello"),
            "message": chat(messages=["hello"]),
            "model": chat(model=7),
            "stream": chat(stream="yes"),
            **{f"max_tokens {v!r}": chat(max_tokens=v) for v in (0, -1, 1.5, "9", True, [], None)},
        }
        for name, body in bodies.items():
            with self.subTest(name):
                self.check_refused(*await self.chat(body), 1003)
        self.check_refused(*await self.chat(b" " * (2 << 20)), 1002)
        self.check_refused(*await self.chat(chat(model="\ud800")), 1004)
        self.assertEqual(await self.runs(), [0, 0, 0])
        await self.wait_served(lambda: self.chat(chat(max_tokens=10**30)))

    async def test_bad_headers_are_refused_before_they_run(self):
        """Guards against a 500 or a wrong deadline from a header."""
        headers = [("Idempotency-Key", v, 1008) for v in ("", "a b", "é", "x" * 201)]
        headers += [
            ("Request-Timeout", v, 1006)
            for v in ("", "x", "nan", "inf", "-1", "0", "1e1", "1_0", "٣", "3601", "9" * 400)
        ]
        for name, value, code in headers:
            with self.subTest(name, value=value):
                self.check_refused(*await self.chat(chat(), **{name: value}), code)
        bearer = f"Authorization: Bearer {CALLER_TOKEN}\r\n".encode()
        start = f"POST {CHAT} HTTP/1.1\r\n".encode()
        heads = {
            "long": (start + bearer + b"X: " + b"y" * 9000, 1014),
            "many": (start + bearer + b"X: y\r\n" * 200 + b"Y: y", 1014),
            "long token": (start + bearer[:-2] + b"z" * 9000, 1014),
            "no HTTP": (b"hello", 1014),
            "length": (start + bearer + b"Content-Length: x", 1014),
            "two keys": (start + bearer + b"Idempotency-Key: a\r\nIdempotency-Key: b", 1008),
            "token": (start + b"Authorization: Bearer \xff\xfe", 1001),
        }
        for name, (head, code) in heads.items():
            with self.subTest(name):
                self.check_refused(*await self.send_raw(head), code)
        chunked = start + bearer + b"Transfer-Encoding: chunked\r\nExpect: 100-continue"
        self.check_refused(*await self.send_raw(chunked, b"zz\r\n"), 1016)
        self.assertEqual(await self.runs(), [0, 0, 0])
        with open(self.system.daemons["a1"].log, encoding="utf-8") as file:
            self.check_secrets(file.read())

    async def test_last_event_id_that_is_no_offset(self):
        """Guards against a replay that fails on the offset that the caller sends."""
        key = {"Idempotency-Key": "k"}
        whole = await self.wait_served(lambda: self.chat(chat(stream=True), **key))
        stream = whole.split(b"\n")[0].decode().removeprefix("id: ").rpartition(":")[0]
        for offset in ("²", "9" * 5000, "-1", "", "x"):
            with self.subTest(offset[:9]):
                last = {**key, "Last-Event-ID": f"{stream}:{offset}"}
                again = await self.chat(chat(stream=True), **last)
                self.assertEqual(again, (200, whole))


class PathTest(InputsTest):
    """Paths of calls to plain services."""

    async def test_service_gets_the_path_that_the_caller_sent(self):
        """Guards against a path that is decoded or shortened on its way to the endpoint."""
        bearer = f"Authorization: Bearer {CALLER_TOKEN}".encode()
        targets = [
            "/visits",
            "/",
            "//a//",
            "/a/../b",
            "/../stock/x",
            "/%2e%2e/stock/x",
            "/..%2Fstock%2fx",
            "/a%2Fb%3Fc%23d?x=%26y&z=a+b%20c",
            "/%00%0a%0D%7f",
            "/%ff%C3%A9",
            "/a;b=c,d@e:f?",
            "/http://stock-a/",
            "/?limit=x",
        ]
        for target in targets:
            with self.subTest(target):
                status, answer = await self.send_raw(
                    f"GET /services/booking{target} HTTP/1.1\r\n".encode() + bearer
                )
                self.assertEqual(status, 200, answer)
                self.assertEqual(json.loads(answer)["served_by"], "booking-a")
                self.assertEqual(json.loads(answer)["target"], target.removesuffix("?"))
        self.assertEqual((await self.runs())[2], 0)

    async def test_paths_that_reach_no_endpoint(self):
        """Guards against a path that leads to another route, and against a 500 after the begin."""
        bearer = f"Authorization: Bearer {CALLER_TOKEN}".encode()
        cases = {
            b"POST /services/stock/x": 1005,
            b"POST /services/%73tock/x": 1005,
            b"POST /services/booking%2F..%2Fstock/x": 1004,
            b"POST /services/../booking/x": 1004,
            b"POST /services/bo%00oking/x": 1004,
            b"POST /services/write-up/x": 1011,
            b"POST /services/booking": 1012,
            b"POST /services/../admin/status": 1004,
            b"POST /nothing": 1012,
            b"GET /v1/chat/completions": 1013,
            b"POST /services/booking/\xc3\xa9": 1014,
            b"POST /services/booking/\xff": 1014,
            b"POST /services/booking/a#b": 1003,
            b"POST /services/booking/a\x01b": 1014,
            b"POST /services/booking/a b": 1014,
        }
        for start, code in cases.items():
            with self.subTest(start):
                status, answer = await self.send_raw(start + b" HTTP/1.1\r\n" + bearer)
                self.check_refused(status, answer, code)
        status, answer = await self.send_raw(
            b"POST /services/booking/x HTTP/1.1\r\nAccept: \xff\r\n" + bearer
        )
        self.check_refused(status, answer, 1003)
        self.assertEqual(await self.runs(), [0, 0, 0])

    async def test_compressed_body_is_passed_on_as_it_is(self):
        """Guards against decompressing a body whose header still says that it is compressed."""
        head = f"POST /services/booking/x HTTP/1.1\r\nAuthorization: Bearer {CALLER_TOKEN}"
        head += "\r\nContent-Encoding: identity, x-none\r\nContent-Length: 6"
        await self.wait_served(lambda: self.send_raw(head.encode(), b"abc\xffde"))
        (booking,) = (await self.system.json("booking-a", "/standin"))["bookings"]
        self.assertEqual(booking["body"], "abc\ufffdde")
        packed = gzip.compress(chat())
        self.check_refused(*await self.chat(packed, **{"Content-Encoding": "gzip"}), 1003)


class AnnouncementTest(InputsTest):
    """Announcements from outside."""

    def announcement(self, **values) -> dict:
        """Return an announcement of a service."""
        return {
            "endpoint": "new",
            "incarnation": 1,
            "sequence": 1,
            "address": "127.0.0.1:9",
            "pool": "booking",
            "failure_domain": "a",
            "region": "west",
            **values,
        }

    async def announce(self, body: bytes | dict) -> tuple[int, bytes]:
        """Send an announcement."""
        status, answer, _ = await self.system.call(
            "a1", "POST", "/endpoints/announce", ENDPOINT_TOKEN, {}, body
        )
        return status, answer

    async def known_endpoints(self) -> dict[str, dict]:
        """Return the endpoints that the instance knows."""
        status = await self.system.json("a1", "/admin/status")
        return {e["endpoint"]: e for e in status["instances"]["a1"]["endpoints"]}

    async def test_wrong_values_are_refused(self):
        """Guards against an endpoint that can't be reached, or that takes the work of others."""
        wrong = [
            {"pool": "none"},
            {"pool": ""},
            {"pool": "diagnosis"},
            {"kv_tokens": 5},
            {"failure_domain": "nowhere"},
            {"colour": "red"},
            {"endpoint": ""},
            {"endpoint": "a\nb"},
            {"endpoint": "a\u0000"},
            {"endpoint": "x" * 200},
            {"version": "a\nb"},
            {"version": "\ud800"},
            {"cached_prefixes": "abc"},
            {"cached_prefixes": ["\ud800"]},
            {"cached_prefixes": [7]},
            {"leaving": "no"},
            {"lease_s": "3 s"},
        ]
        addresses = ["", "x", "x:", ":1", "x:0", "x:65536", "x:²", "x:1/y", "u@x:1", "x y:1"]
        wrong += [{"address": address} for address in (*addresses, "x\n:1", "x:1\n")]
        numbers = ("incarnation", "sequence", "slots", "load", "kv_tokens", "cache_sequence")
        wrong += [{name: v} for name in numbers for v in (-1, 10**30, 1.5, "1", None, True)]
        nans = (float("nan"), float("inf"), -1.0)
        wrong += [{name: v} for name in ("lease_s", "load_at") for v in nans]
        wrong += [{"slots": 0}, {"lease_s": 0}]
        for values in wrong:
            with self.subTest(values):
                status, answer = await self.announce(self.announcement(**values))
                self.check_refused(status, answer, 6001)
        for body in (b"", b"[]", b"\xff", b"[" * 100_000, b" " * 300_000, b"{}"):
            with self.subTest(body[:9]):
                self.check_refused(*await self.announce(body), 6001)
        self.assertNotIn("new", await self.known_endpoints())

    async def test_odd_values_are_bounded(self):
        """Guards against a dead endpoint kept alive by a long lease or a clock in the future."""
        values = {"load_at": time.time() + 1e9, "version": "one"}
        status, _ = await self.announce(self.announcement(lease_s=3600.0, **values))
        self.assertEqual(status, 200)
        self.assertEqual((await self.known_endpoints())["new"]["version"], "one")
        for repeated in ({"sequence": 1}, {"sequence": 0}, {"incarnation": 0, "sequence": 9}):
            with self.subTest(repeated):
                await self.announce(self.announcement(**{**values, "version": "two"}, **repeated))
                self.assertEqual((await self.known_endpoints())["new"]["version"], "one")
        head = f"POST /services/booking/x HTTP/1.1\r\nAuthorization: Bearer {CALLER_TOKEN}"
        await self.wait_served(lambda: self.send_raw(head.encode()))


class AdminTest(InputsTest):
    """Bad input of operators."""

    async def test_bad_calls_get_a_code(self):
        """Guards against an unexplained 500 of the admin interface."""
        routes = json.dumps(routes_table(2, ACCOUNTS, self.routes())).encode()
        cases = [
            ("GET", f"/admin/timeline?limit={limit}", None, 1015)
            for limit in ("x", "", "-1", "0", "1.5", "²", "9" * 5000)
        ]
        tables = (b"", b"{", b"\xff", b"[" * 100_000, b"x" * 10_000_000, b'{"table": "pools"}')
        cases += [("POST", "/admin/tables/routes", table, 4090) for table in tables]
        cases += [
            ("POST", "/admin/tables/routes", b"x" * (17 << 20), 1002),
            ("POST", "/admin/tables/none", routes, 4090),
            ("POST", "/admin/tables", routes, 1012),
            ("DELETE", "/admin/tables/routes", None, 1013),
            ("POST", "/admin/partition", b"{", 1003),
            ("POST", "/admin/partition", b"7", 1003),
            ("POST", "/admin/partition", b"[[1]]", 1003),
        ]
        for method, path, body, code in cases:
            with self.subTest(path[:40], body=(body or b"")[:9]):
                status, answer, _ = await self.system.call("a1", method, path, body=body)
                self.check_refused(status, answer, code)
        status, answer, _ = await self.system.call("a1", "GET", "/admin/tables/none")
        self.assertIn(json.loads(answer)["code"] // 1000, (4, 5))
        status, _, _ = await self.system.call("a1", "GET", "/admin/timeline?request=%ff&limit=9")
        self.assertEqual(status, 200)
        table = routes + b"\r\n"
        head = f"POST /admin/tables/routes HTTP/1.1\r\nAuthorization: Bearer {OPERATOR_TOKEN}"
        head += f"\r\nContent-Length: {len(table)}\r\nX-Operator: "
        status, answer = await self.send_raw(head.encode() + b"a\xff\tb", table)
        self.assertEqual(status, 200, answer)


class AccessTest(InputsTest):
    """Tokens of callers, endpoints, operators and instances."""

    paths = [
        ("POST", "/v1/chat/completions", CALLER_TOKEN),
        ("POST", "/services/booking/visits", CALLER_TOKEN),
        ("GET", "/services/booking/visits", CALLER_TOKEN),
        ("POST", "/endpoints/announce", ENDPOINT_TOKEN),
        ("GET", "/admin/tables/routes", OPERATOR_TOKEN),
        ("POST", "/admin/tables/routes", OPERATOR_TOKEN),
        ("POST", "/admin/evacuations/c", OPERATOR_TOKEN),
        ("DELETE", "/admin/evacuations/c", OPERATOR_TOKEN),
        ("GET", "/admin/status", OPERATOR_TOKEN),
        ("GET", "/admin/timeline", OPERATOR_TOKEN),
        ("POST", "/admin/partition", OPERATOR_TOKEN),
    ]
    open_paths = {"/health/live", "/health/ready", "/metrics"}

    async def test_each_path_takes_its_own_token_only(self):
        """Guards against a token that is accepted on the paths of another role."""
        tokens = (PEER_TOKEN, OPERATOR_TOKEN, ENDPOINT_TOKEN, CALLER_TOKEN)
        for method, path, own in self.paths:
            others = [f"Bearer {token}" for token in tokens if token != own]
            wrong = ["", "Bearer", "Bearer wrong", "Bearer é", own, f"Basic {own}"]
            for header in (*others, *wrong, f"Bearer {own}x", f"Bearer {own[:-1]}"):
                with self.subTest(path, header=header):
                    given = {"Authorization": header}
                    status, answer, _ = await self.system.call(
                        "a1", method, path, "", given, b"[]" if method == "POST" else None
                    )
                    self.check_refused(status, answer, 1001)
            with self.subTest(path, header="own"):
                status, _, _ = await self.system.call("a1", method, path, own)
                self.assertNotEqual(status, 401)
        await self.check_no_secret_is_shown()

    async def check_no_secret_is_shown(self) -> None:
        """Check that logs and reports hold no token."""
        await self.wait_served(lambda: self.chat(chat(), **{"Idempotency-Key": "secret-check"}))
        for path in ("/metrics", "/admin/status", "/admin/timeline?limit=5000"):
            status, text, _ = await self.system.call("a1", "GET", path)
            self.assertEqual(status, 200)
            self.check_secrets(text.decode())
        for name in os.listdir(self.folder.name):
            if name.endswith(".log"):
                with open(os.path.join(self.folder.name, name), encoding="utf-8") as file:
                    self.check_secrets(file.read())

    async def test_every_path_of_the_server_is_in_the_list(self):
        """Guards against a new path without a test of its access."""
        parts = mock.Mock()
        parts.settings.partition_switch = True
        server = WebServer(parts, *[mock.Mock()] * 7)
        served = {route.resource.canonical for route in server.application().router.routes()}
        listed = {path for _, path, _ in self.paths}
        named = {"/services/{route}/{path}": "/services/booking/visits"}
        named["/admin/tables/{table}"] = "/admin/tables/routes"
        named["/admin/evacuations/{failure_domain}"] = "/admin/evacuations/c"
        self.assertEqual({named.get(p, p) for p in served} - self.open_paths, listed)


class PeerAccessTest(unittest.IsolatedAsyncioTestCase):
    """The shared token of instances."""

    async def test_stream_without_the_shared_token_is_refused(self):
        """Guards against a process outside the system that sends messages to instances."""
        (port,) = free_ports(1)
        handled = []
        server = PeerServer("a", 1, PEER_TOKEN, HybridClock(lambda: 0))
        server.on(Ack, lambda message, sender: handled.append(sender))
        await server.start("127.0.0.1", port)
        self.addAsyncCleanup(server.close)
        for token in ("", "wrong", OPERATOR_TOKEN, PEER_TOKEN[:-1], PEER_TOKEN):
            with self.subTest(token):
                other = PeerServer("b", 1, token, HybridClock(lambda: 0))
                client = PeerClient(other, lambda name: f"127.0.0.1:{port}")
                answer = await client.call("a", Ack(), 5.0)
                await client.close()
                self.assertEqual(isinstance(answer, Unreachable), token != PEER_TOKEN)
        self.assertEqual(handled, ["b"])


class FuzzTest(InputsTest):
    """Random requests against a running instance."""

    async def test_random_requests_never_end_in_a_500(self):
        """Guards against failures on inputs that the other tests don't list."""
        rng = random.Random(11)
        good = chat(messages=message("héllo"), max_tokens=1, stream=False, temperature=0.5)
        for number in range(200):
            data = bytearray(good)
            for _ in range(rng.randint(1, 4)):
                at = rng.randrange(len(data))
                data[at : at + rng.randint(0, 3)] = rng.choice(PIECES)
            status, answer = await self.chat(bytes(data))
            if status != 200:
                with self.subTest(number, data=bytes(data)):
                    code = json.loads(answer)["code"]
                    self.assertIn(code, (1003, 1004), answer)
                    self.check_refused(status, answer, code)


if __name__ == "__main__":
    unittest.main()
