"""Explanation of where a caller's request would go now, step by step, without sending it."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

import attrs

from mulberrygate.forward import codes
from mulberrygate.forward.attempts import Attempts
from mulberrygate.forward.request import Call, CallHead, Refused
from mulberrygate.forward.suspects import Standing
from mulberrygate.observe.jsonlines import rounded_age
from mulberrygate.peers.client import PeerClient
from mulberrygate.schedule.messages import Explain, Explained, Ticket
from mulberrygate.sync.messages import ExplainPlacement

if TYPE_CHECKING:
    from mulberrygate.forward.service import Forwarder

# Longest wait for the explanation of a pool's owner.
OWNER_TIMEOUT_S = 1.0

# Members of the answer to an operator.
Found = dict[str, Any]


class PlacementExplainer:
    """Explains what the forwarding path would do with a request.

    Explanation
    ===========
    It takes the steps of `mulberrygate.forward.service.Forwarder` with the same functions as far as
    these change nothing. Units are not spent, no trial is requested, and no ticket is queued.
    """

    def __init__(self, forwarder: Forwarder, peers: PeerClient):
        self.forwarder = forwarder
        self.peers = peers

    async def explain(self, question: ExplainPlacement) -> Found:
        """Return what each step would decide, up to the first refusal."""
        forwarder = self.forwarder
        now = forwarder.timers.now()
        call = self._make_call(question, now)
        found: Found = {"entry": forwarder.site.instance}
        index = forwarder.index
        if index is None:
            return self._refused(found, Refused(codes.NO_CATALOG))
        found["catalog"] = {
            "version": index.version,
            "age_s": rounded_age(now - forwarder.catalog_current_at),
        }
        refused = forwarder.choose_route(call, index)
        if refused is None:
            found["route"] = self._describe_route(call)
            refused = self._find_account(call, question.account, index)
        if refused is None:
            found["account"] = self._describe_account(call, index)
            refused = forwarder.homes.refuse(call, index)
        if refused is None:
            found["quarantine"] = self._describe_standing(call)
            refused = self._refuse_listed(call) or self._refuse_pool(call, now)
        if refused is not None:
            return self._refused(found, refused)
        found["copies"] = self._describe_copies(call, now)
        found["placement"] = await self._explain_ticket(self._make_ticket(call))
        found["outcome"] = found["placement"].get("verdict", "")
        return found

    @staticmethod
    def _make_call(question: ExplainPlacement, now: float) -> Call:
        head = CallHead(
            request=question.request,
            host=question.host,
            method="POST",
            path=question.path,
            timeout_s=question.timeout_s or None,
            prompt_tokens=question.prompt_tokens,
            output_tokens=question.output_tokens,
            expected_tokens=question.expected_tokens,
            shared_parts=question.parts,
        )
        return Call(head, {}, now)

    def _find_account(self, call: Call, name: str, index) -> Refused | None:
        """Find the account by its name, as `Forwarder.authenticate` does by its key."""
        if not index.needs_keys:
            return None
        account = index.accounts.get(name)
        if account is None:
            if call.route.is_anonymous and not name:
                return None
            return self.forwarder.refuse_unknown(codes.UNKNOWN_KEY, name or "no account")
        call.account = account.name
        call.tier = index.tier(call.route, account)
        return None

    def _describe_route(self, call: Call) -> Found:
        route = call.route
        return {
            "name": route.name,
            "kind": route.retry_policy.value,
            "pool": call.pool.name,
            "weights": {item.pool: item.weight for item in route.pools},
            "max_attempts": route.max_attempts,
            "left_s": round(call.deadline_at - call.received_at, 3),
        }

    def _describe_account(self, call: Call, index) -> Found:
        """Return the account's limit, and whether the units held here would do."""
        account = index.accounts.get(call.account)
        found: Found = {"name": call.account, "tier": call.tier}
        if account is None or account.rate <= 0:
            return {**found, "limit": None}
        units = self.forwarder.count_units(call, account)
        limits = self.forwarder.limits
        held = limits.units.held.get(account.name)
        now = limits.clock()
        available = held.units if held is not None and now < held.valid_until else 0.0
        grantor = limits.find_leader() or next(iter(limits.find_deputies()), "")
        return {
            **found,
            "limit": {"rate": account.rate, "burst": account.burst},
            "units": units,
            "held_units": round(available, 1),
            "held_age_s": None if held is None else rounded_age(now - held.granted_at),
            "decided_by": "this entry" if available >= units else grantor or "this entry's share",
        }

    def _describe_standing(self, call: Call) -> Found:
        """Return what is held against the parts of the prompt.

        Explanation
        ===========
        The body isn't known, so a quarantine of the whole call can't be told.
        """
        finding = self.forwarder.suspects.find(call)
        return {
            "standing": finding.standing.name.lower(),
            "identities": list(finding.identities),
            "trial_wait_s": self.forwarder.gate.trials.wait_s(finding.identities),
        }

    def _refuse_listed(self, call: Call) -> Refused | None:
        finding = self.forwarder.suspects.find(call)
        if finding.standing is Standing.CLEAR:
            return None
        return self.forwarder.gate.refuse_listed(finding)

    def _refuse_pool(self, call: Call, now: float) -> Refused | None:
        """Return the refusal of a call that no endpoint of its pool may get at present."""
        forwarder = self.forwarder
        if forwarder.placement.directory.is_pool_evacuated(call.pool.name):
            return Refused(codes.ENDPOINTS_EVACUATED)
        pause_s = forwarder.notices.pool_pause_s(
            call.pool.name, now, lambda row: forwarder.may_get(call, row)
        )
        return Refused(codes.ENDPOINTS_PAUSED, f"{pause_s:.2f} s") if pause_s > 0 else None

    def _describe_copies(self, call: Call, now: float) -> Found | None:
        """Return when a second copy might be sent, ``None`` if there is none."""
        hedging = self.forwarder.hedging
        may_repeat = Attempts(call.route).may_hedge_first()
        if hedging is None or call.pool.is_engine or not may_repeat:
            return None
        allowance = hedging.allowances.get(call.pool.name)
        return {
            "after_s": hedging.delay_s(call.route.name, now),
            "share_left": round(allowance.level, 2) if allowance is not None else 0.0,
            "retry_budget_left": self._budget_left(call),
        }

    def _budget_left(self, call: Call) -> float | None:
        budget = self.forwarder.retry_budgets.get(call.pool.name)
        return round(budget.level, 2) if budget is not None else None

    def _make_ticket(self, call: Call) -> Ticket:
        """Return the ticket of a caller that has not waited before."""
        # With a timeout, the estimate of earlier waits would learn from a request that never came.
        call.head = attrs.evolve(call.head, timeout_s=None)
        return self.forwarder.make_ticket(call, 0, 0, ())

    async def _explain_ticket(self, ticket: Ticket) -> Found:
        """Ask the owner of the pool, as a request's ticket would."""
        forwarder = self.forwarder
        owner = forwarder.scheduler.owner(ticket.pool)
        if owner == forwarder.site.instance:
            return forwarder.placement.host.explain(ticket)
        answer = await self.peers.call(owner, Explain(ticket), OWNER_TIMEOUT_S)
        if isinstance(answer, Explained):
            return json.loads(answer.text)
        return {
            "scheduler": owner,
            "verdict": f"The owner of the pool, {owner}, did not answer; a request would try the "
            "deputies next.",
        }

    @staticmethod
    def _refused(found: Found, refused: Refused) -> Found:
        code = refused.code
        detail = f" ({refused.detail})" if refused.detail else ""
        return {
            **found,
            "code": code.number,
            "outcome": f"It would be refused with {code}, HTTP {code.http_status}{detail}: "
            f"{code.meaning}",
        }
