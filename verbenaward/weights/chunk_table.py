"""Chunk tables: the files of a model version as a list of chunks with BLAKE3 hashes."""

from dataclasses import dataclass
from pathlib import Path, PurePosixPath

from blake3 import blake3

from ..data import Fault
from ..platform.sources import ByteRange
from ..schema.messages import ChunkTable, TableFile
from ..wire.codec import MalformedMessageError, decode, encode

HASH_BYTES = 32
MINIMUM_CHUNK_BYTES = 64 * 1024
MAXIMUM_CHUNK_BYTES = 4 * 1024 * 1024
TARGET_CHUNKS = 512
"""Number of chunks above which the chunk size is doubled, up to the maximum."""
TABLE_FOLDER = "tables"
"""Folder of the encoded tables in the sources of weights."""


@dataclass(frozen=True, slots=True)
class Chunk:
    """One chunk of a model: its byte range in a file and its BLAKE3 hash."""

    index: int
    path: str
    offset: int
    length: int
    hash: bytes


@dataclass(frozen=True, slots=True)
class LoadedChunkTable:
    """A chunk table, encoded and decoded.

    Attributes:
      digest: BLAKE3 digest of the encoded table.
      encoded: The encoded table.
      message: The decoded table.
      chunks: All chunks, file by file; a chunk's index is its position here.
    """

    digest: bytes
    encoded: bytes
    message: ChunkTable
    chunks: tuple[Chunk, ...]

    @property
    def folder(self) -> str:
        """Return the folder of the files in the sources of weights."""
        return f"{self.message.name}/{self.message.version}"

    @property
    def size_bytes(self) -> int:
        """Return the total size of the files."""
        return sum(item.size for item in self.message.files)

    def range_of(self, chunk: Chunk) -> ByteRange:
        """Return the byte range of a chunk in the sources of weights."""
        return ByteRange(f"{self.folder}/{chunk.path}", chunk.offset, chunk.length)

    def chunks_of_file(self, path: str) -> tuple[Chunk, ...]:
        """Return the chunks of one file, in order."""
        return tuple(chunk for chunk in self.chunks if chunk.path == path)


def chunk_size_for(total_bytes: int) -> int:
    """Return the chunk size of a model: the minimum, doubled until TARGET_CHUNKS cover it."""
    size = MINIMUM_CHUNK_BYTES
    while size < MAXIMUM_CHUNK_BYTES and total_bytes > size * TARGET_CHUNKS:
        size *= 2
    return size


def build_table(folder: Path, name: str, version: str, chunk_bytes: int = 0) -> LoadedChunkTable:
    """Divide the files of a folder into chunks and hash them.

    Args:
      folder: Folder with the files of one version.
      name: Name of the model or adapter.
      version: Label of the version.
      chunk_bytes: Chunk size; 0 to derive it from the total size of the files.

    Returns:
      The table.
    """
    paths = sorted(path for path in folder.rglob("*") if path.is_file())
    files = tuple(
        TableFile(path=path.relative_to(folder).as_posix(), size=path.stat().st_size)
        for path in paths
    )
    size = chunk_bytes or chunk_size_for(sum(item.size for item in files))
    hashes = b"".join(b"".join(hashes_of(path, size)) for path in paths)
    message = ChunkTable(name=name, version=version, chunk_bytes=size, files=files, hashes=hashes)
    encoded = encode(message)
    return LoadedChunkTable(blake3(encoded).digest(), encoded, message, chunks_of(message))


def hashes_of(path: Path, chunk_bytes: int) -> list[bytes]:
    """Return the hashes of a file's chunks, in order."""
    hashes = []
    with path.open("rb") as stream:
        while piece := stream.read(chunk_bytes):
            hashes.append(blake3(piece).digest())
    return hashes


def parse_table(encoded: bytes, digest: bytes) -> tuple[LoadedChunkTable | None, tuple[Fault, ...]]:
    """Verify and decode a table received from a peer or a source.

    Args:
      encoded: The encoded table.
      digest: Expected BLAKE3 digest of the encoded table.

    Returns:
      The table, or None and the reasons why it is invalid.
    """
    source = f"table {digest.hex()[:12]}"
    if blake3(encoded).digest() != digest:
        return None, (Fault(source, "", "does not match its digest"),)
    try:
        message = decode(ChunkTable, encoded)
    except MalformedMessageError as error:
        return None, (Fault(source, "", str(error)),)
    faults = table_faults(source, message)
    if faults:
        return None, faults
    return LoadedChunkTable(digest, encoded, message, chunks_of(message)), ()


def table_faults(source: str, message: ChunkTable) -> tuple[Fault, ...]:
    """Return why a decoded table is invalid; empty for a valid one."""
    faults = []
    if not MINIMUM_CHUNK_BYTES <= message.chunk_bytes <= MAXIMUM_CHUNK_BYTES:
        faults.append(
            Fault(
                source,
                "chunk_bytes",
                f"{message.chunk_bytes} is not between {MINIMUM_CHUNK_BYTES} "
                f"and {MAXIMUM_CHUNK_BYTES}",
            )
        )
        return tuple(faults)
    paths = [item.path for item in message.files]
    for path in paths:
        if not is_inside(path):
            faults.append(
                Fault(source, f"files.{path}", "is not a relative path inside the release")
            )
    if len(set(paths)) != len(paths):
        faults.append(Fault(source, "files", "a path occurs twice"))
    expected = sum(chunk_count(item.size, message.chunk_bytes) for item in message.files)
    if len(message.hashes) != expected * HASH_BYTES:
        faults.append(
            Fault(
                source, "hashes", f"{len(message.hashes)} bytes instead of {expected * HASH_BYTES}"
            )
        )
    return tuple(faults)


def is_inside(path: str) -> bool:
    """Return True for a relative path that cannot lead out of its folder."""
    parts = PurePosixPath(path).parts
    return bool(parts) and not path.startswith("/") and ".." not in parts and "\\" not in path


def chunk_count(size: int, chunk_bytes: int) -> int:
    """Return the number of chunks of a file of a given size."""
    return -(-size // chunk_bytes)


def chunks_of(message: ChunkTable) -> tuple[Chunk, ...]:
    """Return the chunks of a valid decoded table, file by file."""
    chunks: list[Chunk] = []
    for item in message.files:
        for offset in range(0, item.size, message.chunk_bytes):
            index = len(chunks)
            start = index * HASH_BYTES
            length = min(message.chunk_bytes, item.size - offset)
            hash_bytes = message.hashes[start : start + HASH_BYTES]
            chunks.append(Chunk(index, item.path, offset, length, hash_bytes))
    return tuple(chunks)


def table_path(digest: bytes) -> str:
    """Return the path of an encoded table in the sources of weights."""
    return f"{TABLE_FOLDER}/{digest.hex()}"


def indexes_by_hash(chunks: tuple[Chunk, ...]) -> dict[bytes, list[int]]:
    """Return the chunk indexes for each hash; equal chunks share one."""
    indexes: dict[bytes, list[int]] = {}
    for chunk in chunks:
        indexes.setdefault(chunk.hash, []).append(chunk.index)
    return indexes
