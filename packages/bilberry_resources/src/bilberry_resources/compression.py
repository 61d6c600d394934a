"""Compress the HTTP bodies that nodes exchange."""

import zlib

from bilberry_core.outcome import Failure, FieldError, Result, Success

ENCODING_DEFLATE = "deflate"
HEADER_CONTENT_ENCODING = "Content-Encoding"
HEADER_ACCEPT_ENCODING = "Accept-Encoding"
MIN_COMPRESSIBLE_BYTES = 400
COMPRESSION_LEVEL = 6


def should_compress(body: bytes) -> bool:
    """Return whether a body is large enough to be worth compressing."""
    return len(body) >= MIN_COMPRESSIBLE_BYTES


def compress(body: bytes) -> bytes:
    """Return the compressed body."""
    return zlib.compress(body, COMPRESSION_LEVEL)


def decompress(body: bytes, limit_bytes: int) -> Result[bytes, FieldError]:
    """Return the decompressed body, or an error for invalid data.

    A body that expands to more than `limit_bytes` is rejected.
    """
    decompressor = zlib.decompressobj()
    try:
        plain = decompressor.decompress(body, limit_bytes)
    except zlib.error as error:
        return Failure(FieldError("(body)", f"not deflate: {error}"))
    if decompressor.unconsumed_tail:
        return Failure(FieldError("(body)", f"over {limit_bytes} bytes"))
    if not decompressor.eof:
        return Failure(FieldError("(body)", "cut short"))
    return Success(plain)
