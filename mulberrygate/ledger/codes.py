"""Result codes and invariant codes of the ledger."""

from mulberrygate.core.codes import register_code

CONFLICTING = register_code(
    3001, "key_conflict", "The key was used before for a request with another body.", 409
)
UNCERTAIN = register_code(
    3002, "run_unknown", "It can't be determined whether an earlier attempt ran.", 409
)
UNAVAILABLE = register_code(
    3003, "ledger_unavailable", "No majority of the key's ledger shard answered.", 503
)
SUPERSEDED = register_code(
    3004, "attempt_superseded", "Another attempt took the key over or has begun.", 409
)
IN_PROGRESS = register_code(3005, "attempt_in_progress", "Another attempt of the key runs.", 409)
FINISHED = register_code(3006, "attempt_finished", "An attempt of the key has finished.", 200)
BEGIN_FAILED = register_code(
    3007, "begin_failed", "A replica may have accepted the begin, but no majority did.", 503
)

SECOND_BEGIN = register_code(9301, "second_begin", "A replica let a second attempt begin.")
TWO_RUNS = register_code(9302, "two_runs", "Two attempts of one key ran.")
SEALED_CHANGED = register_code(9303, "sealed_changed", "A sealed ledger table was changed.")
COPY_TOO_SMALL = register_code(
    9304, "copy_too_small", "A copy does not cover a majority of the active view."
)
ATTEMPT_REUSED = register_code(9305, "attempt_reused", "An attempt began twice at its entry.")
CLAIM_LOST = register_code(9306, "claim_lost", "A completed repair lost a claim that had begun.")
