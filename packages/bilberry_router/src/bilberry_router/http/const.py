"""Constants of HTTP, for callers and upstreams."""

ENV_CONNECTION = "bilberry.connection"
ENV_HEAD = "bilberry.head"

RECV_BYTES = 65_536
# A connection that waits with bytes of later requests holds no more of them.
HEAD_RECV_BYTES = 16_384
# Work after which a greenlet lets others run. With four times as much, an
# ordinary request waited for seconds behind bodies in chunks of one byte.
WORK_BUDGET_BYTES = 262_144
# What a chunk, a header line or a read counts as.
ITEM_WORK_BYTES = 1_024
MAX_CHUNKS_PER_CALL = 256
MAX_CHUNK_LINE_BYTES = 1_024
# Of one body; signed chunks of 8 KiB take 700 kB for a body of 64 MiB.
MAX_EXTENSION_BYTES = 1_000_000
MAX_TRAILER_LINES = 64
MAX_TRAILER_BYTES = 8_192
MIN_BODY_BYTES_PER_S = 1_000
MAX_LENGTH_DIGITS = 18
MAX_CHUNK_DIGITS = 16
MAX_JOINED_WRITE_BYTES = 65_536
MAX_RESPONSE_HEAD_BYTES = 65_536
MAX_CHUNK_FRAMING_BYTES = 32
MAX_SKIPPED_RESPONSES = 8
MAX_SKIPPED_BODY_BYTES = 4_000_000

# For a caller that has taken its answers to close its side.
DEFAULT_LINGER_MS = 500
MAX_LINGER_BYTES = 1_000_000
DEFAULT_GONE_MS = 5_000
DELIVERY_POLL_MS = 250
# Pace at which a caller is taken to read what its system has received.
SLOW_READER_BYTES_PER_S = 50_000
DRAIN_POLL_MS = 10

HEADER_AUTHORIZATION = "authorization"
HEADER_CONNECTION = "connection"
HEADER_CONTENT_LENGTH = "content-length"
HEADER_EXPECT = "expect"
HEADER_HOST = "host"
HEADER_TRANSFER_ENCODING = "transfer-encoding"
CODING_CHUNKED = "chunked"
EXPECT_CONTINUE = "100-continue"
METHOD_HEAD = "HEAD"
BODILESS_STATUSES = frozenset({204, 304})
END_OF_HEAD = b"\r\n\r\n"
END_OF_LINE = b"\r\n"
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
LAST_CHUNK = b"0\r\n\r\n"

HOP_BY_HOP_HEADERS = frozenset(
    {
        "connection",
        "expect",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
