"""Compression of rules texts for transfer between instances."""

import base64
import zlib

# Maximum size of a store value.
MAX_UNPACKED_BYTES = 1_000_000


def pack_text(text: str) -> str:
    """Return ``text`` compressed with zlib and encoded with base64."""
    return base64.b64encode(zlib.compress(text.encode(), 6)).decode()


def unpack_text(packed: str) -> str:
    """Reverse ``pack_text``; raise ``ValueError`` if ``packed`` is malformed.

    The output size is bounded to prevent decompression bombs.
    """
    try:
        decompressor = zlib.decompressobj()
        data = decompressor.decompress(
            base64.b64decode(packed, validate=True), MAX_UNPACKED_BYTES + 1
        )
    except zlib.error as error:
        raise ValueError(f"rules text cannot be decompressed: {error}") from error
    if len(data) > MAX_UNPACKED_BYTES:
        raise ValueError(f"rules text exceeds {MAX_UNPACKED_BYTES} bytes")
    if not decompressor.eof:
        raise ValueError("rules text is truncated")
    return data.decode()
