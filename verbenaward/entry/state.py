"""State of an entry process that its parts share."""

from ..configuration.follower import ConfigurationFollower
from ..data import Configuration
from ..membership.own_record import OwnRecord

DEFAULT_WEIGHT = 1.0


class EntryState:
    """Configuration in force, in the form that requests need.

    Attributes:
      follower: Configuration in force.
      own: Record of this process.
      leaving: True once this process is being drained.
      weights: Weight of each declared workspace.
    """

    def __init__(self, follower: ConfigurationFollower, own: OwnRecord) -> None:
        self.follower = follower
        self.own = own
        self.leaving = False
        self.weights: dict[str, float] = {}
        follower.listeners.append(self.take_configuration)

    def take_configuration(self, configuration: Configuration) -> None:
        """Take over a configuration that came into force."""
        workspaces = configuration.manifest.workspaces
        self.weights = {item.name: float(item.weight) for item in workspaces}

    def weight_of(self, workspace: str) -> float:
        """Return the weight of a workspace."""
        return self.weights.get(workspace, DEFAULT_WEIGHT)
