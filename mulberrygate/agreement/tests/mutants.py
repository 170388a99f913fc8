"""Mutants of `AgreementNode`, each of which breaks one rule that a check has to detect."""

from mulberrygate.agreement.effects import CaughtUp
from mulberrygate.agreement.node import AgreementNode
from mulberrygate.core.effects import Persist


class LeadsWithoutMajority(AgreementNode):
    """Becomes leader with its own vote only."""

    def count_votes(self, now):
        if self.is_pre:
            self.campaign(now, is_pre=False)
        else:
            self.become_leader(now)


class VotesTwice(AgreementNode):
    """Votes for a second candidate in the same term."""

    def on_vote_request(self, request, sender, now):
        if self.is_for_this_disk(request) and not request.is_pre and request.term == self.term:
            self.set_term(self.term, request.disk)
            self.reply_vote(request, True)
            return
        super().on_vote_request(request, sender, now)


class VotesForShorterLog(AgreementNode):
    """Votes for a candidate that lacks committed entries."""

    def is_up_to_date(self, request):
        return True


class CommitsUnknownEntries(AgreementNode):
    """Adopts the leader's commit index beyond the end of its own log."""

    def known_commit(self, message, match):
        return message.commit


class CommitsEarlierTerms(AgreementNode):
    """Commits entries of earlier terms by counting replicas."""

    def is_committable(self, index):
        return True


class CommitsAlone(AgreementNode):
    """Commits before a majority holds the entry."""

    def majority_index(self):
        return self.log.last_index


class ClaimsCaughtUpTooEarly(AgreementNode):
    """Reports as a leader that it is caught up before an entry of its term is committed."""

    def report_leader_caught_up(self, now):
        self.effects.append(CaughtUp(now))


class AppliesAgain(AgreementNode):
    """Applies the last applied entry again."""

    def set_commit(self, index):
        if index > self.commit and self.applied:
            self.apply_next(self.log.entry_at(self.applied))
        super().set_commit(index)


class SwapsVoters(AgreementNode):
    """Replaces a lost voter by a learner in one step."""

    def promote(self, learner):
        former = self.members.voter_named(learner.name)
        members = super().promote(learner)
        return members if former is None else members.without(former.disk)


class ReadsWithoutMajority(AgreementNode):
    """Confirms reads without replies from a majority."""

    def is_confirmed(self, number):
        return True


class KeepsLeading(AgreementNode):
    """Stays leader after its lease has expired."""

    def is_lease_expired(self, now):
        return False


class InstallsOldSnapshots(AgreementNode):
    """Installs a snapshot that is older than what it has committed."""

    def is_known_committed(self, index):
        return False


class JoinsTwice(AgreementNode):
    """Accepts the first entry of a second group."""

    def may_join(self):
        return True


class ExtendsLeaseAlone(AgreementNode):
    """Extends its lease without replies from a majority."""

    def majority_sent_at(self, now):
        return now


class VotesDuringLease(AgreementNode):
    """Votes within one election timeout after a message from the leader."""

    def on_vote_request(self, request, sender, now):
        self.last_contact_at = float("-inf")
        super().on_vote_request(request, sender, now)


class ReadsAlone(ReadsWithoutMajority, KeepsLeading):
    """Stays leader after its lease, and confirms reads without a majority."""


class ForgetsLeases(AgreementNode):
    """Votes immediately after a restart, although its former process may have confirmed a lease."""

    def begin_step(self, now):
        if self.started_at is None:
            self.silent_since = float("-inf")
        super().begin_step(now)


class ForgetsToSync(AgreementNode):
    """Acknowledges entries that it has not synced."""

    def on_append(self, message, sender, now):
        super().on_append(message, sender, now)
        self.effects = [effect for effect in self.effects if not isinstance(effect, Persist)]
