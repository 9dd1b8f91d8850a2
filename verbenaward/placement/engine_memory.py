"""Tokens that the requests in flight hold in an engine, against the memory that it declares.

An engine that holds more tokens of prompts and answers than `kv_capacity_tokens` crashes. The
requests of this process are known exactly. Of those of other processes only their number and the
prompt tokens without a first event are reported, so the rest is taken to be of usual lengths.
"""

import contextlib
import math
from collections.abc import Iterator

from ..data import EngineProfile
from .backends import BackendView
from .request_types import Request

RESERVE_SHARE = 0.1
"""Share of an engine's memory that is kept free for requests of other processes whose load reports
are on their way, and for answers that are longer than expected."""


def tokens_of(request: Request, engine: EngineProfile) -> int:
    """Return the tokens of a request's prompt and expected answer.

    A prompt of unknown length counts as a usual one. The answer counts with its limit, which may be
    far above its usual length, only if the caller gives no estimate; an estimate never counts with
    less than the usual length, as estimates may be far off.
    """
    headers = request.parsed_headers
    answer = max(float(headers.hinted_tokens), engine.usual_answer_tokens)
    if headers.answer_tokens:
        limit = float(headers.answer_tokens)
        answer = min(answer, limit) if headers.hinted_tokens else limit
    return math.ceil((headers.prompt_tokens or engine.usual_prompt_tokens) + answer)


def tokens_in_flight(view: BackendView, engine: EngineProfile, now: float) -> float:
    """Return the tokens that the requests of all entry processes hold in an engine.

    Args:
      view: The engine.
      engine: Performance profile that its service declares.
      now: Present time, monotonic, in seconds.
    """
    tokens = float(view.held_tokens)
    for load in view.fresh_remote_loads(now):
        # The reported prompts are those without a first event; the other requests have usual ones.
        tokens += max(float(load.prompt_tokens), load.running * engine.usual_prompt_tokens)
        tokens += load.running * engine.usual_answer_tokens
    return tokens


def fits(view: BackendView, request: Request, now: float) -> bool:
    """Return True if the tokens of a request fit into the free memory of a backend.

    An engine without other requests may be filled completely.

    Args:
      view: The backend.
      request: The request.
      now: Present time, monotonic, in seconds.
    """
    engine = request.engine
    if engine is None or not engine.kv_capacity_tokens:
        return True
    in_flight = tokens_in_flight(view, engine, now)
    reserve = RESERVE_SHARE * engine.kv_capacity_tokens if in_flight else 0.0
    return in_flight + tokens_of(request, engine) + reserve <= engine.kv_capacity_tokens


def is_too_large(request: Request) -> bool:
    """Return True if a request does not even fit into an empty engine."""
    engine = request.engine
    if engine is None or not engine.kv_capacity_tokens:
        return False
    return tokens_of(request, engine) > engine.kv_capacity_tokens


@contextlib.contextmanager
def counted_tokens(view: BackendView, request: Request) -> Iterator[None]:
    """Count the tokens of a request at a backend while it is in flight there."""
    tokens = tokens_of(request, request.engine) if request.engine else 0
    view.held_tokens += tokens
    try:
        yield
    finally:
        view.held_tokens -= tokens
