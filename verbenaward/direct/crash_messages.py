"""Evidence of crashes in messages: ages in place of times, as clocks of processes differ."""

from ..schema.messages import CrashedBackend, CrashEvidence
from .crash_evidence import PART_RULE, BackendCrash, CrashRecord

MILLISECONDS_PER_SECOND = 1000
MAXIMUM_AGE_MS = 2**32 - 1
"""Largest age that a message holds."""
MAXIMUM_MESSAGE_CRASHES = 16
"""Limit on the crashes of one record in a message; the latest ones are sent."""


def message_of(key: bytes, record: CrashRecord, now: float) -> CrashEvidence:
    """Return the message with the evidence on a key."""
    return CrashEvidence(
        key,
        tuple(
            CrashedBackend(crash.backend, age_ms(crash.at, now), age_ms(crash.sent_at, now))
            for crash in newest_crashes(record)
        ),
        max(1, age_ms(record.answered_at, now)) if record.answered_at else 0,
        record.rule is PART_RULE,
    )


def newest_crashes(record: CrashRecord) -> list[BackendCrash]:
    """Return the crashes that a message holds."""
    crashes = sorted(record.crashes.values(), key=lambda crash: crash.at)
    return crashes[-MAXIMUM_MESSAGE_CRASHES:]


def crashes_of(evidence: CrashEvidence, now: float) -> tuple[BackendCrash, ...]:
    """Return the crashes in a message that was received now."""
    return tuple(
        BackendCrash(
            crash.backend,
            now - crash.age_ms / MILLISECONDS_PER_SECOND,
            now - crash.sent_ms / MILLISECONDS_PER_SECOND,
        )
        for crash in evidence.crashes
    )


def answered_at_of(evidence: CrashEvidence, now: float) -> float:
    """Return the time of the last answer that a message tells; 0 for none."""
    return now - evidence.answered_ms / MILLISECONDS_PER_SECOND if evidence.answered_ms else 0.0


def age_ms(at: float, now: float) -> int:
    """Return the age of a time in milliseconds."""
    return min(MAXIMUM_AGE_MS, max(0, round((now - at) * MILLISECONDS_PER_SECOND)))
