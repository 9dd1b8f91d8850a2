import random
import tempfile
from pathlib import Path

from behave import given, then, when
from blake3 import blake3

from verbenaward.schema.messages import ChunkTable, TableFile
from verbenaward.weights.chunk_table import (
    MINIMUM_CHUNK_BYTES,
    build_table,
    parse_table,
    table_faults,
)


@given("files of random sizes")
def make_files(context):
    rng = random.Random(7)
    context.folder = tempfile.TemporaryDirectory()
    context.files = {}
    for index, size in enumerate((0, 1, MINIMUM_CHUNK_BYTES, 3 * MINIMUM_CHUNK_BYTES + 17)):
        path = Path(context.folder.name) / f"part-{index}.bin"
        context.files[path.name] = rng.randbytes(size)
        path.write_bytes(context.files[path.name])


@when("a table is built from them")
def build(context):
    context.built = build_table(Path(context.folder.name), "model", "v1")
    context.folder.cleanup()


@then("its chunks are the consecutive parts of each file")
def check_chunks(context):
    for name, body in context.files.items():
        chunks = context.built.chunks_of_file(name)
        pieces = [body[chunk.offset : chunk.offset + chunk.length] for chunk in chunks]
        assert b"".join(pieces) == body, name
        assert all(
            blake3(piece).digest() == chunk.hash
            for piece, chunk in zip(pieces, chunks, strict=True)
        )


@then("decoding the encoded table gives the same table")
def check_parse(context):
    table, faults = parse_table(context.built.encoded, context.built.digest)
    assert not faults
    assert table == context.built


@then("no encoded table with a changed byte is accepted")
def check_damage(context):
    encoded = context.built.encoded
    for position in range(0, len(encoded), 7):
        damaged = bytearray(encoded)
        damaged[position] ^= 0x55
        table, faults = parse_table(bytes(damaged), context.built.digest)
        assert table is None
        assert faults


@when('a table contains the path "{path}"')
def bad_path(context, path):
    files = (TableFile(path=path, size=0),)
    message = ChunkTable("m", "v", MINIMUM_CHUNK_BYTES, files, b"")
    context.faults = table_faults("test", message)


@then("the table is invalid")
def check_fault(context):
    assert context.faults
