"""HTTP connections of callers, with numbered codes for requests that never reach a handler."""

from __future__ import annotations

import asyncio

from aiohttp import web

from mulberrygate.core.outcome import Refusal
from mulberrygate.daemon.bounded_connection import BoundedConnection
from mulberrygate.entry.answers import problem_response
from mulberrygate.entry.codes import (
    BAD_HTTP,
    BODY_TOO_LARGE,
    INTERNAL,
    MALFORMED,
    UNKNOWN_PATH,
    WRONG_METHOD,
)
from mulberrygate.observe.logs import logger

log = logger("web")

CODES_BY_STATUS = {404: UNKNOWN_PATH, 405: WRONG_METHOD, 413: BODY_TOO_LARGE}


class Connection(BoundedConnection):
    """Connection of a caller; answers a malformed request head with a problem document."""

    def handle_error(self, request, status=500, exc=None, message=None) -> web.StreamResponse:
        """Answer a request that has no handler, or whose handler raised."""
        if request.writer.output_size > 0:
            raise ConnectionError("the answer had begun")
        # The message of the parser quotes the head, which may hold a token.
        log.warning("A request is not valid HTTP.", status=status, error=type(exc).__name__)
        refusal = Refusal(INTERNAL) if status >= 500 else Refusal(BAD_HTTP)
        response = problem_response(refusal, headers={"Connection": "close"})
        response.force_close()
        return response


@web.middleware
async def error_middleware(request: web.Request, handler) -> web.StreamResponse:
    """Answer with a problem document where a handler or the router raises."""
    try:
        return await handler(request)
    except web.HTTPException as error:
        code = CODES_BY_STATUS.get(error.status, MALFORMED)
        allowed = {n: v for n, v in error.headers.items() if n == "Allow"}
        return problem_response(Refusal(code), headers=allowed)
    except (ConnectionError, asyncio.CancelledError):
        raise
    except Exception as error:
        log.error("A handler failed.", path=request.path[:200], error=type(error).__name__)
        return problem_response(Refusal(INTERNAL))
