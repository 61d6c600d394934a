"""Set up logging for the process."""

import logging
import sys

from .log_lines import JsonFormatter
from .settings import LogFormat, LogSettings

TEXT_FORMAT = "%(asctime)s %(levelname)s %(name)s %(message)s"


def set_up_logging(settings: LogSettings) -> None:
    """Log to standard error in the configured format and level."""
    handler = logging.StreamHandler(sys.stderr)
    if settings.format is LogFormat.JSON:
        handler.setFormatter(JsonFormatter())
    else:
        handler.setFormatter(logging.Formatter(TEXT_FORMAT))
    logging.basicConfig(level=settings.level, handlers=[handler], force=True)
