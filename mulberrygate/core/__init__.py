"""Shared types and services that all other packages use."""

from mulberrygate.core.clock import HybridClock, Stamp
from mulberrygate.core.codes import Code, all_codes, code_by_number, register_code
from mulberrygate.core.effects import Effect, Persist, Record, Reply, Send
from mulberrygate.core.invariant import InvariantError, invariant, on_violation
from mulberrygate.core.outcome import Execution, Refusal
from mulberrygate.core.timers import Subscription, TimerService
from mulberrygate.core.wire import Ack, DecodeError, decode, encode, message

__all__ = [
    "Ack",
    "Code",
    "DecodeError",
    "Effect",
    "Execution",
    "HybridClock",
    "InvariantError",
    "Persist",
    "Record",
    "Refusal",
    "Reply",
    "Send",
    "Stamp",
    "Subscription",
    "TimerService",
    "all_codes",
    "code_by_number",
    "decode",
    "encode",
    "invariant",
    "message",
    "on_violation",
    "register_code",
]
