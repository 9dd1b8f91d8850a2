"""Lower bound on the time that distributing a model takes."""

import math
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class DistributionRun:
    """Sizes in bytes and link rates in bytes a second of one distribution run.

    Attributes:
      vms: Number of VMs that load the model.
      model_bytes: Size of the model.
      chunk_bytes: Size of a chunk.
      upload_rate: Rate of a VM's upload link.
      download_rate: Rate of a VM's download link.
      origin_rate: Rate of the origin's link.
      region_link_rate: Rate of the link between regions; 0 for no limit.
      regions: Number of regions.
    """

    vms: int
    model_bytes: int
    chunk_bytes: int
    upload_rate: float
    download_rate: float
    origin_rate: float
    region_link_rate: float
    regions: int


def bound_seconds(run: DistributionRun, imports_over_region_link: bool) -> float:
    """Return the shortest possible time until all VMs hold the model.

    Args:
      run: Sizes and link rates.
      imports_over_region_link: True if each region fetches its share of the model from
        the origin and the rest from the other regions, over the link between them.
    """
    times = [
        run.model_bytes / run.origin_rate,
        run.model_bytes / run.download_rate,
        run.vms * run.model_bytes / (run.origin_rate + run.vms * run.upload_rate),
    ]
    if run.region_link_rate and imports_over_region_link and run.regions > 1:
        imported = run.model_bytes * (run.regions - 1) / run.regions
        times.append(imported / run.region_link_rate)
    return max(times) + math.ceil(math.log2(max(2, run.vms))) * run.chunk_bytes / run.upload_rate
