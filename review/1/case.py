"""Case 1: one spoilt manifest of the origin, then the final fault."""

import asyncio
import json
import signal

from review.harness import (
    MODEL,
    RECOVERY_SECONDS,
    TROUBLE,
    CouldNotRunError,
    Deployment,
    main,
    stored_digests,
)

DOWN_SECONDS = 1.3
"""Time for which the machines stay down after the final fault, as on the standard days."""
OBSERVED_SECONDS = 8.0


async def case(deployment: Deployment) -> list[str]:
    """Name a version whose first manifest answer is spoilt; return what broke RECOVER."""
    spoilt: list[int] = []

    def spoil(version: int, body: bytes) -> bytes:
        if not TROUBLE or version != 2 or spoilt:
            return body
        spoilt.append(version)
        manifest = json.loads(body)
        digit = manifest["chunk_hashes"][20][7]
        other = "0" if digit != "0" else "1"
        text = manifest["chunk_hashes"][20]
        return body.replace(text.encode(), (text[:7] + other + text[8:]).encode())

    deployment.origin.spoil_manifest = spoil
    await deployment.start(entries_per_zone=1, models_per_zone=2, plain=3)
    record = deployment.record
    deployment.background(deployment.traffic("/assist/", 20.0, 6060))
    deployment.background(deployment.traffic("/reserve/", 1.5, 626))
    deployment.background(deployment.traffic("/check/", 0.6, 618))
    begun = record.now()
    await asyncio.sleep(4.0)
    deployment.name_version(2)
    await asyncio.sleep(3.5)
    deployment.write_configuration()
    machines = (*deployment.entries, *deployment.endpoints)
    for machine in machines:
        machine.is_up = False
        machine.send(signal.SIGKILL)
    struck = record.now()
    await asyncio.sleep(DOWN_SECONDS)
    for machine in machines:
        machine.is_up = True
    back = record.now()
    await asyncio.sleep(RECOVERY_SECONDS + OBSERVED_SECONDS + 2.0)
    before = deployment.served_share(begun, struck - 1.0)
    after = deployment.served_share(
        back + RECOVERY_SECONDS, back + RECOVERY_SECONDS + OBSERVED_SECONDS
    )
    right = b"".join(bytes.fromhex(item) for item in deployment.origin.digests(2))
    found = stored_digests(deployment, 2)
    held = sorted(item.version for item in deployment.workers.values() if item.is_model)
    record.write("served-before", served=before[0], sent=before[1])
    record.write("served-after", served=after[0], sent=after[1])
    record.write("stored-digests", version=2, model=MODEL, bytes=len(found), right=found == right)
    record.write("held-at-the-end", versions=held)
    print(f"before: {before[0]} of {before[1]} served; after: {after[0]} of {after[1]} served")
    print(f"versions held at the end: {held}; stored digests right: {found == right}")
    if TROUBLE and not spoilt:
        raise CouldNotRunError("no manifest of version 2 was asked for")
    if 4 * before[0] < before[1]:
        raise CouldNotRunError("less than a quarter was served before the final fault")
    if 4 * after[0] < after[1]:
        return [
            f"RECOVER: of {after[1]} requests sent later than {RECOVERY_SECONDS:g} s after the"
            f" machines were back, {after[0]} were served"
        ]
    return []


if __name__ == "__main__":
    main(__file__, case)
