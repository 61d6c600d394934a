"""One line of a structured log, as processes write it and tools read it."""

import msgspec

NO_ID = ""
NO_DATA = msgspec.Raw(b"")


class LogLine(msgspec.Struct, omit_defaults=True):
    """Hold one line; `data` has the event's fields where it is one."""

    time: str
    level: str
    logger: str
    message: str
    request_id: str = NO_ID
    data: msgspec.Raw = NO_DATA
