"""Constants of the forwarding path."""

BODY_BUFFER_BYTES = 65_536
RESPONSE_BUFFER_BYTES = 65_536
RECV_BYTES = 65_536
MAX_RESPONSE_HEAD_BYTES = 65_536
MAX_CHUNK_FRAMING_BYTES = 32
MAX_SKIPPED_RESPONSES = 8
MAX_SKIPPED_BODY_BYTES = 4_000_000
MAX_REQUEST_ID_LENGTH = 128
MAX_KEY_LENGTH = 255
MAX_PEER_BODY_BYTES = 64_000_000

DEFAULT_CONNECT_TIMEOUT_MS = 2_000
DEFAULT_MAX_IDLE_MS = 15_000
DEFAULT_RECENT_IDLE_MS = 1_000
DEFAULT_MIN_IDLE_MS = 10
DEFAULT_NO_REUSE_MS = 60_000
DEFAULT_MAX_ATTEMPTS = 3

HEADER_CONNECTION = "connection"
HEADER_CONTENT_LENGTH = "content-length"
HEADER_FORWARDED_FOR = "X-Forwarded-For"
HEADER_TRANSFER_ENCODING = "transfer-encoding"
CODING_CHUNKED = "chunked"
METHOD_HEAD = "HEAD"
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

DEFAULT_POLL_MS = 1_000
DEFAULT_POLL_TIMEOUT_MS = 1_000
LOAD_EVERY_POLLS = 4
REFUSALS_TO_UNREACHABLE = 2
