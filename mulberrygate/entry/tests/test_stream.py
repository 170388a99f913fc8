"""Tests of parsing and assembling the events of an answer."""

import random
import unittest

from mulberrygate.entry.stream import MAX_EVENT_BYTES, AnswerText, EventReader, StreamError


def event(offset: int, text: str = "a ", request: str = "r") -> bytes:
    """Return an event of a model engine."""
    data = f'{{"choices": [{{"delta": {{"content": "{text}"}}}}]}}'
    return f"id: {request}:{offset}\ndata: {data}\n\n".encode()


def end(offset: int, request: str = "r") -> bytes:
    """Return the end marker."""
    return f"id: {request}:{offset}\ndata: [DONE]\n\n".encode()


WHOLE = event(0) + event(1, "é") + event(2, "c") + end(3)


class EventReaderTest(unittest.TestCase):
    """Events parsed from the bytes of a connection."""

    def test_split_at_every_byte(self):
        """Guards against a lost or truncated event where the network splits the bytes."""
        for size in range(1, len(WHOLE) + 1):
            reader = EventReader("r", 0)
            parts = [WHOLE[at : at + size] for at in range(0, len(WHOLE), size)]
            results = [reader.feed(part) for part in parts]
            with self.subTest(size):
                self.assertEqual(b"".join(r.raw for r in results), WHOLE)
                self.assertEqual(sum(r.count for r in results), 4)
                self.assertTrue(results[-1].is_end)
                self.assertFalse(any(r.is_end for r in results[:-1]))

    def test_late_repeated_and_foreign_events_are_dropped(self):
        """Guards against events of another request, or the same text twice, in an answer."""
        rng = random.Random(2)
        noise = [event(0), event(1, "é"), event(1, "x", "other"), end(2, "rr"), event(-1)]
        noise += [b"id: r\n\n", b"\n\n", b": comment\n\n"]
        reader = EventReader("r", 2)
        sent = b"".join(rng.choices(noise, k=50)) + event(2, "c") + b"".join(noise) + end(3)
        result = reader.feed(sent)
        self.assertEqual(result.raw, event(2, "c") + end(3))
        self.assertTrue(result.is_end)

    def test_events_after_a_gap_are_dropped(self):
        """Guards against an answer with a missing event."""
        reader = EventReader("r", 0)
        result = reader.feed(event(0) + event(2, "c") + end(3))
        self.assertEqual((result.raw, result.has_gap, result.is_end), (event(0), True, False))
        reader.restart()
        self.assertEqual(reader.feed(WHOLE).raw, WHOLE[len(event(0)) :])

    def test_incomplete_event_of_a_broken_connection_is_discarded(self):
        """Guards against joining the halves of events from two connections."""
        reader = EventReader("r", 0)
        reader.feed(WHOLE[:-5])
        reader.restart()
        self.assertEqual(reader.feed(WHOLE).raw, end(3))

    def test_oversize_event_and_wrong_offset(self):
        """Guards against memory that grows with a broken endpoint."""
        reader = EventReader("r", 0)
        half = b"id: r:0\ndata: " + b"x" * (MAX_EVENT_BYTES // 2)
        reader.feed(half)
        self.assertRaises(StreamError, reader.feed, half)
        for offset in (b"x", b"", b"1.5"):
            with self.subTest(offset):
                bad = b"id: r:" + offset + b"\ndata: x\n\n"
                self.assertRaises(StreamError, EventReader("r", 0).feed, bad)

    def test_end_marker_inside_a_text_does_not_end_the_answer(self):
        """Guards against ending an answer where its text contains the end marker."""
        result = EventReader("r", 0).feed(event(0, "write data: [DONE] then"))
        self.assertEqual((result.count, result.is_end), (1, False))


class AnswerTextTest(unittest.TestCase):
    """Assembly of the text of a complete answer."""

    def test_text_of_all_events(self):
        """Guards against an answer that lacks text, or ends at a chunk without text."""
        text = AnswerText()
        text.add(event(0) + b"id: r:1\ndata: not json\n\n" + event(2, "c") + end(3))
        message = text.completion("r", "m", 3, 2)["choices"][0]["message"]
        self.assertEqual(message["content"], "a c")

    def test_chunks_of_another_shape(self):
        """Guards against a 500 for a request that ran, because a chunk has an unexpected shape."""
        chunks = ("7", "null", '{"choices": [7]}', '{"choices": [{"delta": null}]}')
        for chunk in (*chunks, '{"choices": [{"delta": {"content": 7}}]}'):
            text = AnswerText()
            text.add(f"id: r:0\ndata: {chunk}\n\n".encode() + event(1, "c"))
            answer = text.completion("r", "m", 3, 2)
            self.assertEqual(answer["choices"][0]["message"]["content"], "c", chunk)


if __name__ == "__main__":
    unittest.main()
