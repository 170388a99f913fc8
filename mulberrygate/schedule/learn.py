"""Learning from completed requests."""

from __future__ import annotations

from mulberrygate.schedule.effects import ObservedRequest
from mulberrygate.schedule.endpoint import EndpointState, GrantedRequest
from mulberrygate.schedule.messages import Done, Running
from mulberrygate.schedule.speed import (
    MIN_DECODE_TOKENS,
    GenerationSpeed,
    LengthModel,
)

# Weights of an endpoint's observations in its generation's speed: usually, and if it is slow.
FULL_WEIGHT = 1.0
SLOW_WEIGHT = 0.1


def observe_request(
    granted: GrantedRequest, done: Done, load: float, reference: GenerationSpeed | None = None
) -> ObservedRequest:
    """Return the evidence from a completed request.

    Parameters
    ==========
    reference : GenerationSpeed or None
        Speed that the request is compared with; the one of its endpoint's generation by default.
    """
    state = granted.state
    concurrent = max(0.0, min(load, state.view.slots) - 1.0)
    generation = reference or state.generation
    uncached = max(done.prompt_tokens - granted.cached, 1.0)
    # The predicted wait depends on the load, and a version under a move has little of it.
    wait_s = 0.0 if reference else granted.wait_s
    expected_s = generation.expected_s(uncached, done.output_tokens, concurrent)
    # A busy or slow machine says nothing of the version.
    expected = wait_s + expected_s * granted.slowdown
    return ObservedRequest(
        route=done.route,
        version=done.version,
        endpoint=done.endpoint,
        hardware=state.view.hardware,
        load=load,
        expected_s=expected,
        total_s=done.total_s,
        first_token_s=done.first_token_s,
        fault=_fault_of(granted, done),
    )


def _fault_of(granted: GrantedRequest, done: Done) -> str:
    """Return the fault of a request; a cancellation counts only if the answer was overdue."""
    if not done.cancelled:
        return done.fault
    return "silent" if is_unanswered(granted, done) else "cancelled"


def is_unanswered(granted: GrantedRequest, done: Done) -> bool:
    """Return whether a cancelled request had no answer although it was overdue."""
    has_answer = done.first_token_s < done.total_s
    return done.cancelled and not has_answer and granted.is_overdue(done.total_s)


def learn_reference(
    reference: GenerationSpeed, granted: GrantedRequest, done: Done, load: float
) -> None:
    """Learn the mean speed of a pool's endpoints from a request that ended without a fault.

    Explanation
    ===========
    Each endpoint without stated hardware has a speed model of its own, which a slow version would
    shift. A new version must not be compared with a speed that was learned from itself.
    """
    if granted.is_presented or done.total_s <= 0:
        return
    concurrent = max(0.0, min(load, granted.state.view.slots) - 1.0)
    later_tokens = done.output_tokens - done.first_tokens
    if later_tokens >= MIN_DECODE_TOKENS - 1:
        per_token = max(done.total_s - done.first_token_s, 1e-6) / later_tokens
        per_token /= granted.slowdown
        reference.learn_decode(per_token, concurrent, FULL_WEIGHT)
    if not granted.waited_for_slot and not granted.cached:
        tokens = granted.prefill_ahead + max(done.prompt_tokens, 1)
        first_token_s = done.first_token_s / granted.first_slowdown
        reference.learn_prefill(first_token_s, tokens, FULL_WEIGHT)


def learn_presented(state: EndpointState, running: Running) -> None:
    """Learn the speed of an endpoint from a request that a former owner granted.

    Explanation
    ===========
    A new owner doesn't know yet how endpoints differ in speed. Without these observations it would
    place the requests of the first seconds as if all endpoints were equally fast.
    """
    later_tokens = running.emitted_tokens - running.first_tokens
    if later_tokens < MIN_DECODE_TOKENS - 1 or running.emitting_s <= 0:
        return
    per_token = running.emitting_s / later_tokens / state.slowdown.usual
    concurrent = max(0, min(state.used, state.view.slots) - 1)
    generation = state.generation
    state.speed.learn_decode(per_token / generation.per_token_s(concurrent))
    generation.learn_decode(per_token, concurrent, FULL_WEIGHT)
    state.refresh_speed()


def learn(
    granted: GrantedRequest,
    done: Done,
    evidence: ObservedRequest,
    lengths: LengthModel,
    learns_generation: bool,
    learns_queued: bool,
) -> None:
    """Learn lengths and speeds from a request that ended without a fault.

    Parameters
    ==========
    learns_generation : bool
        False for the version under a move, which must not shift the speed it is compared with.
    learns_queued : bool
        Whether the time to the first token is also learned from requests queued behind other
        prompts. Under load, an endpoint whose speed is learned separately has no other ones.
    """
    state = granted.state
    if granted.is_presented or done.total_s <= 0:
        return
    lengths.learn(done.route, granted.ticket.output_tokens, done.output_tokens)
    generation, speed = state.generation, state.speed
    learns_generation = learns_generation and generation.count_and_sample()
    trust = SLOW_WEIGHT if state.detector.is_slow else FULL_WEIGHT
    concurrent = max(0.0, min(evidence.load, state.view.slots) - 1.0)
    ratio = 0.0
    later_tokens = done.output_tokens - done.first_tokens
    if later_tokens >= MIN_DECODE_TOKENS - 1:
        per_token = max(done.total_s - done.first_token_s, 1e-6) / later_tokens
        per_token /= granted.slowdown
        ratio = per_token / generation.per_token_s(concurrent)
        speed.learn_decode(ratio)
        if learns_generation:
            generation.learn_decode(per_token, concurrent, trust)
    has_waited = granted.waited_for_slot if learns_queued else granted.was_queued
    if not has_waited and not granted.cached:
        tokens = granted.prefill_ahead + max(done.prompt_tokens, 1)
        first_token_s = done.first_token_s / granted.first_slowdown
        speed.learn_prefill(first_token_s / generation.first_token_s(tokens))
        if learns_generation:
            generation.learn_prefill(first_token_s, tokens, trust)
    if not granted.was_queued:
        ratio = done.total_s / max(evidence.expected_s, 1e-6)
    if ratio:
        state.detector.observe(ratio / (1.0 + state.slowdown.spread))
    state.refresh_speed()
