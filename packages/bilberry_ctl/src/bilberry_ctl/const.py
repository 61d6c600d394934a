"""Constants of the command-line tool."""

from enum import IntEnum, StrEnum

ENV_SERVER = "BILBERRYCTL_SERVER"
ENV_TOKEN = "BILBERRYCTL_TOKEN"

DEFAULT_SERVER = "http://127.0.0.1:7081"
DEFAULT_REQUEST_TIMEOUT_MS = 15_000
DEFAULT_RETRY_MS = 15_000
RETRY_DELAY_MS = 250
DEFAULT_WAIT_TIMEOUT_MS = 60_000
WAIT_POLL_INTERVAL_MS = 200
WATCH_MAX_WAIT_MS = 20_000
WATCH_RETRY_DELAY_MS = 1_000
TABLE_WIDTH = 200

PREFIX_API = "/api/v1"
PATH_LOOKUP = "/v1/lookup"
PATH_AUDIT = "audit"
PATH_STATUS = "status"


class ExitCode(IntEnum):
    """Define the exit codes of commands."""

    OK = 0
    FAILED = 1
    USAGE = 2
    CONFLICT = 3
    TIMED_OUT = 4


class OutputFormat(StrEnum):
    """Define the output formats."""

    TABLE = "table"
    JSON = "json"
