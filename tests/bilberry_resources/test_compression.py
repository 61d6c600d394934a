"""Test compression and decompression of HTTP bodies."""

import zlib

import pytest

from bilberry_core.outcome import Failure
from bilberry_resources.compression import compress, decompress, should_compress

BODY = b'{"node":"vm-1","amounts":[1,2,3]}' * 100


def test_a_body_survives_compression_unchanged():
    packed = compress(BODY)
    assert len(packed) < len(BODY) / 10
    assert decompress(packed, len(BODY)).unwrap() == BODY


def test_small_bodies_are_not_compressed():
    assert not should_compress(b"{}")
    assert should_compress(BODY)


@pytest.mark.parametrize(
    "body",
    [b"no deflate", compress(BODY)[:-3], zlib.compress(b"x" * 10_000_000)],
)
def test_bad_or_huge_bodies_are_refused(body):
    assert isinstance(decompress(body, len(BODY)), Failure)
