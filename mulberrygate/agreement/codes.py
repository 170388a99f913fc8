"""Codes of the invariants that a voter checks at run time."""

from __future__ import annotations

from mulberrygate.core.codes import register_code

TWO_LEADERS = register_code(9100, "two_leaders_in_a_term", "Two voters led in one term.")
VOTED_TWICE = register_code(9101, "voted_twice_in_a_term", "A vote of the same term was changed.")
COMMITTED_CUT = register_code(
    9102, "committed_entry_replaced", "A committed entry was about to be replaced."
)
COMMIT_RANGE = register_code(
    9103, "commit_index_out_of_range", "The commit index fell or passed the end of the log."
)
COMMIT_TERM = register_code(
    9104, "commit_of_earlier_term", "A leader counted replicas of an entry of an earlier term."
)
APPLY_ORDER = register_code(9105, "apply_out_of_order", "Entries were applied out of order.")
CHANGE_STEP = register_code(
    9106, "voter_change_too_large", "A voter change touched more than one voter at a time."
)
READ_UNCONFIRMED = register_code(
    9107, "read_without_majority", "A read was released without a majority's confirmation."
)
STALE_LEADER = register_code(
    9108, "stale_leader_acted", "A leader past its lease accepted a proposal or a read."
)
SNAPSHOT_STALE = register_code(
    9109, "snapshot_behind_commit", "A snapshot older than the commit index was installed."
)
FORMED_TWICE = register_code(
    9110, "group_formed_twice", "A disk that belongs to a group was about to form or join another."
)
LEASE_RANGE = register_code(
    9111, "lease_too_long", "A lease reached beyond what a majority has confirmed."
)
