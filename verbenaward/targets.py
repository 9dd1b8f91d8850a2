"""Targets of HTTP requests (path and query), which are forwarded byte by byte.

A URL that is parsed and put together again loses an empty query and a fragment, and its
percent-encoding is decoded or written in another form.
"""

import re

from aiohttp import web
from yarl import URL

VISIBLE = re.compile(r"/[!-~]*")
PATH = re.compile(r"[^?#]*")
SCHEME_AND_HOST = re.compile(r"[^/?#]*://[^/?#]*")


def target_of(request: web.Request) -> str:
    """Return path and query as received; scheme and host of an absolute URL are removed."""
    target = request.raw_path
    if target.startswith("/"):
        return target
    rest = SCHEME_AND_HOST.sub("", target, count=1)
    return rest if rest.startswith("/") else f"/{rest}"


def checked_target(target: str) -> str:
    """Return a target that another process sent in a header, if it fits into a request line.

    Raises:
      ValueError: It does not.
    """
    if not VISIBLE.fullmatch(target):
        raise ValueError(f"{target[:80]!r} is no path with a query")
    return target


def target_below(target: str, segments: int) -> str:
    """Return a target without the first segments of its path."""
    path_end = PATH.match(target).end()  # type: ignore[union-attr]
    _, _, *below = target[:path_end].split("/", segments + 1)
    return f"/{below[-1] if len(below) == segments else ''}{target[path_end:]}"


def exact_url(base: str, target: str) -> URL:
    """Return a URL for which aiohttp's client sends exactly this target.

    Args:
      base: URL to whose path the target is added.
      target: Path and query. All of it is passed as the URL's path, which is not parsed.
    """
    url = URL(base, encoded=True)
    path = url.raw_path.rstrip("/") + target
    return URL.build(scheme=url.scheme, authority=url.raw_authority, path=path, encoded=True)
