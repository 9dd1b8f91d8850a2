"""State that the components of an entry process share."""

from ..configuration.follower import ConfigurationFollower
from ..data import Configuration
from ..membership.own_record import OwnRecord

DEFAULT_WEIGHT = 1.0
"""Weight of a workspace that the configuration does not declare."""


class EntryState:
    """Workspace weights from the configuration in force, and the drain state.

    Attributes:
      follower: Follows the configuration in force.
      own: Record of this process.
      leaving: True once this process is draining.
      weights: Weight of each declared workspace in the admission queues.
    """

    def __init__(self, follower: ConfigurationFollower, own: OwnRecord) -> None:
        self.follower = follower
        self.own = own
        self.leaving = False
        self.weights: dict[str, float] = {}
        follower.listeners.append(self.apply_configuration)

    def apply_configuration(self, configuration: Configuration) -> None:
        """Read the workspace weights from a new configuration."""
        workspaces = configuration.manifest.workspaces
        self.weights = {item.name: float(item.weight) for item in workspaces}

    def weight_of(self, workspace: str) -> float:
        """Return the weight of a workspace in the admission queues."""
        return self.weights.get(workspace, DEFAULT_WEIGHT)
