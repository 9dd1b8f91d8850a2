"""The connections to an entry process of the direct mode, whose refusals stand in its log."""

from aiohttp import web

from ..connections import Connections
from ..data import Refusal
from ..placement.connection_limits import OTHER_SHARE
from ..placement.memory_budget import MemoryBudget
from ..platform import names
from .request_log import RequestLog


class EntryConnections(Connections):
    """The connections to this process.

    Attributes:
      log: Writes log lines about requests.
    """

    def __init__(self, log: RequestLog, memory: MemoryBudget) -> None:
        super().__init__(memory)
        self.table.other_share = OTHER_SHARE
        self.log = log

    def log_refused(self, request: web.BaseRequest, refusal: Refusal) -> None:
        """Log the refusal of a request."""
        self.log.refused_early(request.headers.get(names.REQUEST_ID, ""), refusal)
