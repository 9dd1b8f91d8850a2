"""Prometheus metrics of a process; the number of values of each label is bounded."""

from prometheus_client import REGISTRY, Counter, Gauge, Histogram

LATENCY_BUCKETS_SECONDS = (
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 1.7, 2.5, 5.0, 10.0, 30.0, 60.0,
)  # fmt: skip
MAXIMUM_LABEL_VALUES = 64
"""Limit on the distinct values of one label; each adds time series to every metric with it."""
OTHER = "other"

CONTROL_MESSAGES = Counter(
    "verbenaward_control_messages_total", "Control messages", ["kind", "direction"]
)
CONTROL_BYTES = Counter(
    "verbenaward_control_bytes_total", "Bytes of control messages", ["kind", "direction"]
)
KEY_VALUE_CALLS = Counter(
    "verbenaward_key_value_calls_total", "Calls to the key-value service", ["kind", "outcome"]
)
CONFIGURATION_REVISION = Gauge("verbenaward_configuration_revision", "Revision in force")
CONFIGURATION_REFUSED = Counter(
    "verbenaward_configuration_refused_total", "Offers of older or differing revisions"
)
MEMBERS = Gauge("verbenaward_members", "Known members", ["kind", "status"])
REQUESTS = Counter(
    "verbenaward_requests_total", "Finished requests", ["workspace", "class", "verdict"]
)
REFUSALS = Counter(
    "verbenaward_refusals_total", "Refused requests by level of urgency", ["level", "reason"]
)
ATTEMPTS = Counter("verbenaward_attempts_total", "Attempts at endpoints", ["outcome"])
QUEUE_SECONDS = Histogram(
    "verbenaward_queue_seconds", "Wait for admission", ["workspace", "class"],
    buckets=LATENCY_BUCKETS_SECONDS,
)  # fmt: skip
FIRST_TOKEN_SECONDS = Histogram(
    "verbenaward_first_token_seconds", "Time to the first token", ["workspace", "class"],
    buckets=LATENCY_BUCKETS_SECONDS,
)  # fmt: skip
BETWEEN_TOKENS_SECONDS = Histogram(
    "verbenaward_between_tokens_seconds", "Time between tokens", ["workspace", "class"],
    buckets=LATENCY_BUCKETS_SECONDS,
)  # fmt: skip
ANSWER_SECONDS = Histogram(
    "verbenaward_answer_seconds", "Time to the whole answer", ["workspace", "class"],
    buckets=LATENCY_BUCKETS_SECONDS,
)  # fmt: skip
WEIGHT_BYTES = Counter("verbenaward_weight_bytes_total", "Bytes of weights", ["source"])
CHUNKS = Counter("verbenaward_chunks_total", "Chunks by outcome", ["outcome"])
MISSING_CHUNKS = Gauge(
    "verbenaward_missing_chunks", "Chunks of the next weights that are not staged yet"
)
CHECK_SECONDS = Gauge(
    "verbenaward_check_seconds", "Time of the last check of the staged chunks before a load"
)
UPLOADS = Counter("verbenaward_chunk_uploads_total", "Chunks sent, by outcome", ["outcome"])
READERS = Gauge("verbenaward_chunk_readers", "Versions that this process reads from the origin")
LATE_STARTS = Counter(
    "verbenaward_late_starts_total", "First events from weights older than required"
)
REFUSALS_WITHOUT_BACKEND = Counter(
    "verbenaward_refusals_without_backend_total",
    "Requests refused because no backend may run them", ["reason"],
)  # fmt: skip
EVACUATED_ZONES = Gauge(
    "verbenaward_evacuated_zones", "Availability zones whose backends get no requests"
)
WARMING_BACKENDS = Gauge("verbenaward_warming_backends", "Cold backends to which a limit applies")
RETRY_SHARE = Gauge(
    "verbenaward_retry_share", "Retries to each service beyond the ratio, in a window"
)
RETRIES_SENT = Counter("verbenaward_budgeted_retries_total", "Retries sent", ["service"])
BUFFERED_BYTES = Gauge(
    "verbenaward_buffered_bytes", "Bytes held for slow callers and backends", ["purpose"]
)
MEMORY_REFUSALS = Counter(
    "verbenaward_memory_refusals_total", "Bytes that were refused for lack of memory", ["purpose"]
)
OPEN_CONNECTIONS = Gauge("verbenaward_open_connections", "Open incoming connections", ["kind"])
CONNECTIONS_CLOSED = Counter(
    "verbenaward_connections_closed_total", "Connections closed by this process", ["cause"]
)
CONNECTIONS_REFUSED = Counter(
    "verbenaward_connections_refused_total", "Requests refused for want of descriptors"
)
DESCRIPTOR_SHORTAGES = Counter(
    "verbenaward_descriptor_shortages_total", "Sends that got no descriptor"
)
ORDERS = Counter("verbenaward_engine_orders_total", "Orders to the engine", ["kind", "outcome"])


class LabelValues:
    """Limits the number of distinct values of one label; later values become "other"."""

    def __init__(self, maximum: int = MAXIMUM_LABEL_VALUES) -> None:
        self.maximum = maximum
        self.values: set[str] = set()

    def bounded(self, value: str) -> str:
        """Return the value, or "other" once the limit is reached."""
        if value in self.values:
            return value
        if len(self.values) >= self.maximum:
            return OTHER
        self.values.add(value)
        return value


WORKSPACES = LabelValues()


def sample_sum(name: str, **labels: str) -> float:
    """Return the sum of all samples of a metric that have the given labels; for tests."""
    return sum(
        sample.value
        for metric in REGISTRY.collect()
        for sample in metric.samples
        if sample.name == name and labels.items() <= sample.labels.items()
    )
