"""The format of structured log lines."""

import msgspec

NO_ID = ""
NO_DATA = msgspec.Raw(b"")


class LogLine(msgspec.Struct, omit_defaults=True):
    """Represent a log line; `data` has the fields if it logs an event."""

    time: str
    level: str
    logger: str
    message: str
    request_id: str = NO_ID
    data: msgspec.Raw = NO_DATA
