"""Rules of wide pools, whose endpoints in all failure domains are used on equal terms.

They are made for bursts beyond the capacity of engines that differ by a factor of four in speed.
Over many endpoints a slot becomes free every few hundredths of a second, so none is reserved for
upper tiers.
"""

from __future__ import annotations

# Seconds by which each expected output token puts a request behind others of its account, and the
# most for any request. In a burst short requests are then on time, since many of them fit into the
# slots of a long one; a long one is overtaken only by what comes a moment after it.
WIDE_LENGTH_PENALTY_S = 0.0005
WIDE_MAX_LENGTH_PENALTY_S = 0.15
# A late request is refused if its expected wait exceeds the time that its caller still waits by
# this factor.
LONG_WAIT_RATIO = 2.5
# Urgencies of client accounts and, within each, of routes.
WIDE_TIERS = 12
# Bursts last a few seconds.
WIDE_MEMORY_S = 2.5
WIDE_RETRY_AFTER_S = 0.5
WIDE_LONGEST_RETRY_S = 4.0
# Faults of endpoints that took a request; one that is up answers or breaks off, and says nothing of
# the next request.
FAULTS_AFTER_ACCEPT = ("error", "cut")
# Ends of requests for which an endpoint sent something.
FAULTS_WITH_RESPONSE = ("", "error")
# A new connection is all that it costs to find out whether an endpoint is back.
WIDE_LONGEST_BLOCK_S = 1.0
# Calls of plain services take hundredths of a second, so an older load says nothing.
WIDE_MAX_LOAD_REPORT_AGE_S = 0.5
# Time between two scheduling passes while many requests are skipped. A grant that is 5 ms later
# costs a hundredth of the time to a first token, and an endpoint's queue position keeps its slot
# filled.
WIDE_SCHEDULE_INTERVAL_S = 0.005
# An endpoint counts as fast up to this ratio of the least seconds per token.
FAST_RATIO = 1.5
# Time constant of the rate at which slots of fast endpoints become free.
FAST_RATE_MEMORY_S = 1.0
