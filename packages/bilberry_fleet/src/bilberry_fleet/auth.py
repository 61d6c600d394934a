"""Sign and verify calls between nodes with shared keys.

A signature covers the method, path, time and body. The first key signs and
every key verifies, so that keys can be rotated one node at a time.
"""

import hashlib
import hmac

from bilberry_core.clock import Clock
from bilberry_core.outcome import Failure, Result, Success

DIGEST_CHARS = 32

REASON_MISSING = "signature header is missing"
REASON_MALFORMED = "signature header must be TIME_MS:DIGEST"
REASON_NO_MATCH = "signature matches no key"
REASON_CLOCK_SKEW = "signature time is too far from this node's wall clock"


class Signer:
    """Sign and verify calls; without keys every call is accepted."""

    __slots__ = ("clock", "keys", "skew_ms")

    def __init__(self, keys: list[str], clock: Clock, skew_ms: int) -> None:
        self.keys = [key.encode() for key in keys]
        self.clock = clock
        self.skew_ms = skew_ms

    def sign(self, method: str, path: str, body: bytes) -> str:
        """Return the signature header's value, empty without keys."""
        if not self.keys:
            return ""
        time_ms = self.clock.wall_ms()
        return f"{time_ms}:{_digest(self.keys[0], method, path, time_ms, body)}"

    def verify(
        self, header: str | None, method: str, path: str, body: bytes
    ) -> Result[None, str]:
        """Verify a signature header; return the reason on failure."""
        if not self.keys:
            return Success(None)
        if not header:
            return Failure(REASON_MISSING)
        time_text, _, digest = header.partition(":")
        if not time_text.isdigit() or not digest.isascii():
            return Failure(REASON_MALFORMED)
        time_ms = int(time_text)
        expected = [_digest(key, method, path, time_ms, body) for key in self.keys]
        if not any(hmac.compare_digest(digest, candidate) for candidate in expected):
            return Failure(REASON_NO_MATCH)
        if abs(time_ms - self.clock.wall_ms()) > self.skew_ms:
            return Failure(REASON_CLOCK_SKEW)
        return Success(None)


def _digest(key: bytes, method: str, path: str, time_ms: int, body: bytes) -> str:
    head = f"{method}\n{path}\n{time_ms}\n".encode()
    digest = hmac.new(key, head + body, hashlib.sha256).hexdigest()
    return digest[:DIGEST_CHARS]
