"""Rules of wide pools, whose endpoints in all failure domains are used on equal terms.

The rules are designed for bursts beyond the capacity of engines that differ in speed by a factor of
four. With many endpoints a slot becomes free every few hundredths of a second, so none is reserved
for upper tiers.
"""

from __future__ import annotations

# Seconds by which each expected output token puts a request behind others of its account, and the
# most for any request. In a burst short requests are then on time, since many of them fit into the
# slots of a long one; a long one is overtaken only by requests that come shortly after it.
WIDE_LENGTH_PENALTY_S = 0.0005
WIDE_MAX_LENGTH_PENALTY_S = 0.15
# A late request is refused if its expected wait exceeds the time that its caller still waits by
# this factor.
LONG_WAIT_RATIO = 2.5
# Number of tiers: urgencies of client accounts and, within each, of routes.
WIDE_TIERS = 12
# Time constant of the demand rates; bursts last a few seconds.
WIDE_MEMORY_S = 2.5
# Bounds of a refusal's retry time, before its random part is added.
WIDE_RETRY_AFTER_S = 0.5
WIDE_LONGEST_RETRY_S = 4.0
# Faults of an endpoint that accepted the request. They show that it is up and predict nothing about
# the next request, so they don't block it.
FAULTS_AFTER_ACCEPT = ("error", "cut")
# Values of `Done.fault` for which the endpoint has sent an answer.
FAULTS_WITH_RESPONSE = ("", "error")
# Longest back-off of a blocked endpoint; short, since a probe costs no more than a new connection.
WIDE_LONGEST_BLOCK_S = 1.0
# Older load reports aren't used, since calls of plain services take hundredths of a second.
WIDE_MAX_LOAD_REPORT_AGE_S = 0.5
# Time between two scheduling passes while many requests are skipped. A delay of 5 ms is a hundredth
# of the time to a first token, and requests queued at the endpoints keep their slots filled.
WIDE_SCHEDULE_INTERVAL_S = 0.005
# Pause after a scheduling pass for each request and each pair of a request and an endpoint that it
# examined. Examining a pair takes about half a microsecond, so passes take a quarter of the time.
WIDE_PAUSE_PER_PAIR_S = 2e-6
# An endpoint counts as fast up to this ratio of the least seconds per token.
FAST_RATIO = 1.5
# Time constant of the rate at which slots of fast endpoints become free.
FAST_RATE_MEMORY_S = 1.0
