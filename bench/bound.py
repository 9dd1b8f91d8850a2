"""The physical bound of a spread."""

import math
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Shape:
    """Sizes and rates of a spread, in bytes and bytes a second.

    Attributes:
      vms: Number of VMs.
      size: Bytes of the model.
      chunk: Bytes of a chunk.
      upload: Rate of a VM's upload link.
      download: Rate of a VM's download link.
      origin: Rate of the origin's link.
      region: Rate of the link between regions; 0 for no limit.
      regions: Number of regions.
    """

    vms: int
    size: int
    chunk: int
    upload: float
    download: float
    origin: float
    region: float
    regions: int


def bound_seconds(shape: Shape, imports_over_region_link: bool) -> float:
    """Return the shortest possible time until all VMs hold the model.

    Args:
      shape: Sizes and rates.
      imports_over_region_link: True where each region draws its share of the model from
        the origin and gets the rest over its link to the others.
    """
    times = [
        shape.size / shape.origin,
        shape.size / shape.download,
        shape.vms * shape.size / (shape.origin + shape.vms * shape.upload),
    ]
    if shape.region and imports_over_region_link and shape.regions > 1:
        imported = shape.size * (shape.regions - 1) / shape.regions
        times.append(imported / shape.region)
    return max(times) + math.ceil(math.log2(max(2, shape.vms))) * shape.chunk / shape.upload
